package config

import "time"

// The limits of a configuration.
const (
	// MinShare and MaxShare bound an organisation's weight.
	MinShare = 1
	MaxShare = 10_000
	// MaxServices and MaxOrganisations bound the lists.
	MaxServices      = 256
	MaxOrganisations = 10_000
	// MaxKeys bounds the API keys of one organisation.
	MaxKeys = 16
	// MaxLoad bounds the names that one service's upstreams have loaded.
	MaxLoad = 256
	// MaxOnce bounds the once rules of one service.
	MaxOnce = 64
	// MaxNameLength bounds names, in bytes.
	MaxNameLength = 63
	// MaxTextLength bounds other strings, in bytes.
	MaxTextLength = 200
	// MaxSlots bounds the requests that one upstream runs at a time.
	MaxSlots = 10_000
	// MaxQueuedLimit bounds the requests of one organisation at one router.
	MaxQueuedLimit = 1_000_000
	// MaxDuration bounds every duration.
	MaxDuration = time.Hour
	// MaxSize bounds the text of a whole configuration, in bytes.
	MaxSize = 4 << 20
	// headerReserve is the room for the header in MaxSize, in bytes.
	headerReserve = 4 << 10
)

// The defaults of the constructors.
const (
	// DefaultSlots is how many requests one upstream runs at a time.
	DefaultSlots = 8
	// DefaultMaxWait is how long a request waits for a slot.
	DefaultMaxWait = 10 * time.Second
	// DefaultSilentAfter is how long a running upstream may say nothing.
	DefaultSilentAfter = 5 * time.Second
	// DefaultMaxQueued bounds the waiting requests of one organisation.
	DefaultMaxQueued = 1_000
)
