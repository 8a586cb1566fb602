package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	newestFrom           string
	newest, newestConfig uint64
	// behindSince is when a peer was first seen to have newer keys.
	behindSince time.Time
	startedAt   time.Time
	running     bool
}

// keyUpdate carries a router's copy of the store's keys to another router: the changes
// since a revision, or all entries. The field names are part of its JSON encoding.
type keyUpdate struct {
	Revision uint64
	Changes  []store.Change `json:",omitempty"`
	Whole    bool           `json:",omitempty"`
	Entries  []store.Entry  `json:",omitempty"`
}

// copySituation is what decides, at this router, when the keys of a peer are copied.
type copySituation struct {
	domain string
	// lastChange and config are those of the own copy, 0 if there is none.
	lastChange, config uint64
	storeLost, watches bool
}

// keysReport is what a peer's datagram says of its copy of the store's keys.
type keysReport struct {
	from, domain       string
	lastChange, config uint64
}

// observe returns the peer from which to copy keys, after the report of one, and whether
// a copy is due: some peer has newer keys, and the store or a nearer peer is not expected
// to deliver them sooner.
func (c *copyState) observe(now time.Time, own copySituation, r keysReport) (from string, due bool) {
	if r.lastChange <= own.lastChange && r.config <= own.config {
		if own.lastChange >= c.newest && own.config >= c.newestConfig {
			c.behindSince = time.Time{}
		}
		return "", false
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	c.newestConfig = max(c.newestConfig, r.config)
	if r.lastChange >= c.newest || c.newestFrom == "" {
		c.newest, c.newestFrom = max(c.newest, r.lastChange), r.from
	}
	from = r.from
	wait := time.Duration(0)
	switch {
	case own.lastChange == 0:
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
	p.mu.Lock()
	defer p.mu.Unlock()
	from, due := p.copying.observe(now, own, keysReport{from: d.addr, domain: d.domain, lastChange: d.lastChange, config: d.config})
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
	resp, err := p.client.Get(fmt.Sprintf("http://%s%s?after=%d", addr, copyPath, p.g.revision()))
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

// applyPeerKeys applies the entries of a peer's copy that are newer than the own ones.
func (g *Gateway) applyPeerKeys(from string, k keyUpdate) {
	now := time.Now()
	g.mirrorMu.Lock()
	before := g.mirror.LastChange()
	var changed bool
	if k.Whole {
		changed = g.mirror.Replace(now, k.Entries, k.Revision)
	} else {
		changed = g.mirror.Apply(now, k.Changes, k.Revision)
	}
	after := g.mirror.LastChange()
	g.mirrorMu.Unlock()
	logs.Info("peer-copied", "Peers: store's keys copied from a peer.", "from", from, "before", before, "after", after,
		"whole", k.Whole, "changes", len(k.Changes))
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
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: no revision", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.g.keysSince(after)); err != nil {
			logs.Info("peer-serve", "Peers: sending the store's keys to a peer failed.", "err", err)
		}
	})
	return mux
}

// keysSince returns the changes after a revision, or all entries if the changes are no
// longer kept.
func (g *Gateway) keysSince(after uint64) keyUpdate {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	k := keyUpdate{Revision: g.mirror.Revision()}
	var ok bool
	if k.Changes, ok = g.mirror.ChangesSince(after); !ok {
		k.Whole, k.Entries = true, g.mirror.EntriesInStore()
	}
	return k
}
