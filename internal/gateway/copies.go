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
	// minCopyInterval is the least time between two copies of a peer's keys, and
	// copyTimeout bounds one.
	minCopyInterval = 50 * time.Millisecond
	copyTimeout     = time.Second
	// copyBytes bounds a copy, in bytes.
	copyBytes = 16 << 20
	// copyPath is where a router serves its copy of the store's keys.
	copyPath = "/v1/keys"
	// copyDelayRemote is how long a peer of another failure domain may have newer keys
	// before they are copied from there: one of the own domain is nearer.
	copyDelayRemote = 300 * time.Millisecond
	// copyDelayWatching is the same for a router that watches the store itself; its
	// connection may have gone silent.
	copyDelayWatching = 500 * time.Millisecond
)

// copyState is the state of copying keys from peers.
type copyState struct {
	// behindSince is when a peer was first seen to have newer keys.
	behindSince time.Time
	startedAt   time.Time
	running     bool
}

// keyUpdate is a router's copy of the store's keys as it passes between routers: the
// changes since a revision, or all entries.
type keyUpdate struct {
	Revision uint64
	Changes  []store.Change `json:",omitempty"`
	Whole    bool           `json:",omitempty"`
	Entries  []store.Entry  `json:",omitempty"`
}

// catchUp copies a peer's keys if they are newer and will not come sooner from
// the store.
func (p *peers) catchUp(now time.Time, d *datagram) {
	own, lost, watches := p.g.lastChange(), p.g.isStoreLost(), p.mustWatch()
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.lastChange <= own && d.config <= p.g.configVersion() {
		if d.lastChange == own {
			p.copying.behindSince = time.Time{}
		}
		return
	}
	if p.copying.behindSince.IsZero() {
		p.copying.behindSince = now
	}
	wait := time.Duration(0)
	switch {
	case own == 0 || lost:
	case watches:
		wait = copyDelayWatching
	case d.domain != p.g.options.Domain:
		wait = copyDelayRemote
	}
	if now.Sub(p.copying.behindSince) < wait || p.copying.running || now.Sub(p.copying.startedAt) < minCopyInterval {
		return
	}
	p.copying.running, p.copying.startedAt = true, now
	go p.copyFrom(d.addr)
}

// copyFrom takes over a peer's keys.
func (p *peers) copyFrom(addr string) {
	err := p.copyKeys(addr)
	p.mu.Lock()
	p.copying.running = false
	p.mu.Unlock()
	if err != nil {
		logs.Info("peer-copy", "Peers: keys not copied.", "from", addr, "err", err)
	}
}

func (p *peers) copyKeys(addr string) error {
	resp, err := p.client.Get(fmt.Sprintf("http://%s%s?after=%d", addr, copyPath, p.g.revision()))
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	var k keyUpdate
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, copyBytes)).Decode(&k); err != nil {
		return errors.Wrap(err, "decode")
	}
	p.g.applyPeerKeys(addr, k)
	return nil
}

// applyPeerKeys applies what a peer's copy has that is newer.
func (g *Gateway) applyPeerKeys(from string, k keyUpdate) {
	now := time.Now()
	g.mirrorMu.Lock()
	before := g.mirror.News()
	var changed bool
	if k.Whole {
		changed = g.mirror.Replace(now, k.Entries, k.Revision)
	} else {
		changed = g.mirror.Apply(now, k.Changes, k.Revision)
	}
	after := g.mirror.News()
	g.mirrorMu.Unlock()
	logs.Info("peer-copied", "Peers: keys copied.", "from", from, "before", before, "after", after,
		"whole", k.Whole, "changes", len(k.Changes))
	if changed || k.Whole {
		g.applyMirror()
	}
}

func (g *Gateway) isStoreLost() bool {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.mirror.IsLost()
}

// mux serves this router's copy of the keys to its peers.
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
			logs.Info("peer-serve", "Peers: keys not served.", "err", err)
		}
	})
	return mux
}

// keysSince is what a peer that has a revision lacks.
func (g *Gateway) keysSince(after uint64) keyUpdate {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	k := keyUpdate{Revision: g.mirror.At()}
	var ok bool
	if k.Changes, ok = g.mirror.Since(after); !ok {
		k.Whole, k.Entries = true, g.mirror.Present()
	}
	return k
}
