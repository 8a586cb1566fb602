package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// minCopyInterval is the minimum time between two copies of a peer's keys, and
	// copyTimeout bounds one copy.
	minCopyInterval = 50 * time.Millisecond
	copyTimeout     = time.Second
	// copyBytes bounds the size of a copy, in bytes.
	copyBytes = 16 << 20
	// copyPath is the path at which a router serves its copy of the store's keys.
	copyPath = "/v1/keys"
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

// keyUpdate carries a router's copy of the store's keys to another router: the changes
// since a position, or all entries. The field names are part of its JSON encoding.
type keyUpdate struct {
	// Era and Revision are the position of the copy. Earlier builds name no era.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// LastChange is the revision of the last change in the copy.
	LastChange uint64         `json:",omitempty"`
	Changes    []store.Change `json:",omitempty"`
	Whole      bool           `json:",omitempty"`
	Entries    []store.Entry  `json:",omitempty"`
	// Config is the configuration in force, if it is newer than the receiver's: the store
	// may have lost it.
	Config []byte `json:",omitempty"`
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
		storeLost: p.g.isStoreLost(), watches: p.mustWatch(),
	}
	lastChange := store.Position{Era: d.era, Revision: d.lastChange}
	if d.era == 0 {
		// Earlier builds name no era.
		lastChange.Era = own.lastChange.Era
	}
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

func (p *peers) copyKeys(addr string) error {
	after := p.g.position()
	resp, err := p.client.Get(fmt.Sprintf("http://%s%s?after=%d&era=%d&config=%d", addr, copyPath, after.Revision, after.Era, p.g.configVersion()))
	if err != nil {
		return errors.Wrap(err, "get keys from peer")
	}
	defer resp.Body.Close()
	var k keyUpdate
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, copyBytes)).Decode(&k); err != nil {
		return errors.Wrap(err, "decode")
	}
	p.g.applyPeerKeys(addr, k)
	return nil
}

// applyPeerKeys applies what is newer in a peer's copy.
func (g *Gateway) applyPeerKeys(from string, k keyUpdate) {
	now := time.Now()
	g.mirrorMu.Lock()
	before := g.mirror.LastChange()
	at := store.Position{Era: k.Era, Revision: k.Revision}
	if k.Era == 0 {
		at.Era = before.Era
	}
	var changed bool
	if k.Whole {
		changed = g.replaceMirror(now, k.Entries, at)
	} else {
		changed = g.mirror.Apply(now, k.Changes, at)
	}
	g.mirror.AdoptLastChange(store.Position{Era: at.Era, Revision: k.LastChange})
	if len(k.Config) > 0 {
		g.applyTable(k.Config, store.Position{Era: at.Era})
	}
	after := g.mirror.LastChange()
	g.mirrorMu.Unlock()
	logs.Info("peer-copied", "Peers: store's keys copied from a peer.", "from", from, "before", before, "after", after,
		"whole", k.Whole, "changes", len(k.Changes), "config", len(k.Config) > 0)
	if changed || k.Whole {
		g.applyMirror()
	}
}

func (g *Gateway) isStoreLost() bool {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.mirror.IsStoreUnavailable()
}

// mux serves this router's copy of the store's keys to its peers.
func (p *peers) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+copyPath, func(w http.ResponseWriter, r *http.Request) {
		after, config, err := p.parseCopyQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.g.keysSince(after, config)); err != nil {
			logs.Info("peer-serve", "Peers: sending the store's keys to a peer failed.", "err", err)
		}
	})
	return mux
}

// parseCopyQuery parses the position of a peer's copy and the version of its configuration.
// Earlier builds name neither the era, which is taken for the own one, nor the version.
func (p *peers) parseCopyQuery(q url.Values) (after store.Position, config uint64, err error) {
	after.Era, config = p.g.position().Era, math.MaxUint64
	for _, f := range []struct {
		name     string
		value    *uint64
		optional bool
	}{{"after", &after.Revision, false}, {"era", &after.Era, true}, {"config", &config, true}} {
		text := q.Get(f.name)
		if text == "" && f.optional {
			continue
		}
		if *f.value, err = strconv.ParseUint(text, 10, 64); err != nil {
			return after, config, errors.Errorf("%s: %q is not a number", f.name, text)
		}
	}
	return after, config, nil
}

// keysSince returns the changes after a position, or all entries if the changes are not
// kept, and the configuration in force if its version is above the given one.
func (g *Gateway) keysSince(after store.Position, config uint64) keyUpdate {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	at := g.mirror.Position()
	k := keyUpdate{Era: at.Era, Revision: at.Revision, LastChange: g.mirror.LastChange().Revision}
	var ok bool
	if k.Changes, ok = g.mirror.ChangesSince(after); !ok {
		k.Whole, k.Entries = true, g.mirror.EntriesInStore()
	}
	if g.configVersion() > config {
		k.Config = g.inForce.value
	}
	return k
}
