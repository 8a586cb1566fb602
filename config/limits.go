package config

import "time"

// The limits of a configuration.
const (
	// MinShare and MaxShare bound an organisation's share.
	MinShare = 1
	MaxShare = 10_000
	// MaxServices and MaxOrganisations are the maximum lengths of the two lists.
	MaxServices      = 256
	MaxOrganisations = 10_000
	// MaxKeys is the maximum number of API keys of one organisation.
	MaxKeys = 16
	// MaxLoad is the maximum number of names in one service's load list.
	MaxLoad = 256
	// MaxOnce is the maximum number of once rules of one service.
	MaxOnce = 64
	// MaxNameLength is the maximum length of a name, in bytes.
	MaxNameLength = 63
	// MaxTextLength is the maximum length of any other string, in bytes.
	MaxTextLength = 200
	// MaxSlots is the maximum of Service.Slots.
	MaxSlots = 10_000
	// MaxQueuedLimit is the maximum of Organisation.MaxQueued.
	MaxQueuedLimit = 1_000_000
	// MaxDuration is the maximum of every duration.
	MaxDuration = time.Hour
	// MaxSize is the maximum size of a configuration's text, in bytes.
	MaxSize = 4 << 20
	// headerReserve is the part of MaxSize that is reserved for the header, in
	// bytes.
	headerReserve = 4 << 10
)

// The defaults that the constructors set.
const (
	// DefaultSlots is the default of Service.Slots.
	DefaultSlots = 8
	// DefaultMaxWait is the default of Service.MaxWait.
	DefaultMaxWait = 10 * time.Second
	// DefaultSilentAfter is the default of Service.SilentAfter.
	DefaultSilentAfter = 5 * time.Second
	// DefaultMaxQueued is the default of Organisation.MaxQueued.
	DefaultMaxQueued = 1_000
)
