package gateway

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// minCopyInterval is the minimum time between two copies of a peer's keys.
	minCopyInterval = 50 * time.Millisecond
	// copyDelayRemote is how long a peer of another failure domain must have had newer
	// keys before they are copied from it: a peer of the own domain is nearer.
	copyDelayRemote = 300 * time.Millisecond
	// copyDelayWatching is the delay for a router that watches the store itself: its
	// connection to the store may have gone silent.
	copyDelayWatching = 500 * time.Millisecond
)

// firstCopyDelay is how long a router that has no keys listens to its peers before it copies
// those of the one with the newest: one that has been cut off has old ones, with upstreams
// that have left and API keys that have been withdrawn. Peers report within that time.
const firstCopyDelay = 300 * time.Millisecond

// copyState is the state of copying keys from peers.
type copyState struct {
	// newestFrom is the peer whose last change, newest, is the latest that was heard, and
	// newestConfig the latest configuration that was.
	newestFrom   string
	newest       store.Position
	newestConfig uint64
	// behindSince is when a peer was first seen to have newer keys.
	behindSince time.Time
	startedAt   time.Time
	running     bool
}

// copySituation is what decides, at this router, when the keys of a peer are copied.
type copySituation struct {
	domain string
	// lastChange and config are those of the own copy, zero if there is none.
	lastChange         store.Position
	config             uint64
	storeLost, watches bool
}

// keysReport is what a peer's datagram says of its copy of the store's keys.
type keysReport struct {
	from, domain string
	lastChange   store.Position
	config       uint64
}

// observe returns the peer from which to copy keys, after the report of one, and whether
// a copy is due: some peer has newer keys, and the store or a nearer peer is not expected
// to deliver them sooner.
func (c *copyState) observe(now time.Time, own copySituation, r keysReport) (from string, due bool) {
	if !own.lastChange.Before(r.lastChange) && r.config <= own.config {
		if !own.lastChange.Before(c.newest) && own.config >= c.newestConfig {
			c.behindSince = time.Time{}
		}
		return "", false
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	c.newestConfig = max(c.newestConfig, r.config)
	if !r.lastChange.Before(c.newest) {
		c.newest, c.newestFrom = r.lastChange, r.from
	} else if c.newestFrom == "" {
		c.newestFrom = r.from
	}
	from = r.from
	wait := time.Duration(0)
	switch {
	case own.lastChange == store.Position{}:
		wait, from = firstCopyDelay, c.newestFrom
	case own.storeLost:
	case own.watches:
		wait = copyDelayWatching
	case r.domain != own.domain:
		wait = copyDelayRemote
	}
	return from, now.Sub(c.behindSince) >= wait && !c.running && now.Sub(c.startedAt) >= minCopyInterval
}

// catchUp starts a copy of a peer's keys if one is due after a datagram.
func (p *peers) catchUp(now time.Time, d *datagram) {
	own := copySituation{
		domain: p.g.options.Domain, lastChange: p.g.lastChange(), config: p.g.configVersion(),
		storeLost: p.g.isStoreLost(), watches: p.mustWatch(now),
	}
	lastChange := store.Position{Era: d.era, Revision: d.lastChange}
	if d.era == 0 {
		// Earlier builds name no era.
		lastChange.Era = own.lastChange.Era
	}
	p.g.confirmCurrent(now, lastChange, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	from, due := p.copying.observe(now, own, keysReport{from: d.addr, domain: d.domain, lastChange: lastChange, config: d.config})
	if !due {
		return
	}
	p.copying.running, p.copying.startedAt = true, now
	go p.copyFrom(from)
}

// copyFrom copies a peer's keys and clears the running flag.
func (p *peers) copyFrom(addr string) {
	err := p.copyKeys(addr)
	p.mu.Lock()
	p.copying.running = false
	if err != nil {
		// Another peer may answer.
		p.copying.newestFrom = ""
	}
	p.mu.Unlock()
	if err != nil {
		logs.Info("peer-copy", "Peers: copying the store's keys from a peer failed.", "from", addr, "err", err)
	}
}

func (g *Gateway) isStoreLost() bool {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.mirror.IsStoreUnavailable()
}
