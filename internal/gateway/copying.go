package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/mirror"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// copyPath is the path at which a router serves its copy of the store's keys.
	copyPath = "/v1/keys"
	// copyTimeout bounds one piece of a copy.
	copyTimeout = time.Second
	// pieceBytes bounds the keys and values in one piece of a copy, in bytes, unless a single
	// value is larger. The largest value of the store fits.
	pieceBytes = store.MaxValue + 4<<10
	// copyBytes bounds the size of an answer, in bytes: a piece in base64 and a configuration
	// beside it, and what earlier builds send, who know no pieces.
	copyBytes = 8 << 20
	// maxPieces bounds the pieces of one copy.
	maxPieces = 256
	// maxServedCopies bounds the answers to peers that are in memory together.
	maxServedCopies = 4
)

// keyUpdate carries a router's copy of the store's keys, or a piece of it, to another router:
// the changes since a position, or all entries. The field names are part of its JSON encoding.
type keyUpdate struct {
	// Era and Revision are the position of the copy, or of a piece of changes. Earlier builds
	// name no era.
	Era      uint64 `json:",omitempty"`
	Revision uint64
	// LastChange is the revision of the last change in the copy.
	LastChange uint64         `json:",omitempty"`
	Changes    []store.Change `json:",omitempty"`
	Whole      bool           `json:",omitempty"`
	Entries    []store.Entry  `json:",omitempty"`
	// Config is the configuration in force, if it is newer than the receiver's and no entry
	// of the copy holds it: the store may have lost it.
	Config []byte `json:",omitempty"`
	// More means that further pieces follow.
	More bool `json:",omitempty"`
	ages
}

// copyKeys takes a copy of a peer's keys, piece by piece, and applies it.
func (p *peers) copyKeys(addr string) error {
	reader := mirror.NewReader(p.g.position())
	for range maxPieces {
		c := reader.Cursor()
		k, err := p.getPiece(addr, c)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) && !c.List && c.At.Revision > 0 {
			// Earlier builds send each value that a key has had, but a list from position 0.
			reader = mirror.NewReader(store.Position{Era: c.At.Era})
			continue
		}
		if err != nil {
			return err
		}
		piece, complete, err := reader.Take(k.piece(reader.Cursor().At.Era))
		if err != nil {
			return err
		}
		if complete {
			k.Era, k.Revision, k.Entries, k.Changes = piece.At.Era, piece.At.Revision, piece.Entries, piece.Changes
			p.g.applyPeerKeys(addr, k)
		}
		if !k.More {
			return nil
		}
	}
	return errors.Errorf("the copy has more than %d pieces", maxPieces)
}

// getPiece gets the piece of a peer's keys that begins at a cursor.
func (p *peers) getPiece(addr string, c mirror.Cursor) (k keyUpdate, err error) {
	q := url.Values{
		"after": {strconv.FormatUint(c.At.Revision, 10)}, "era": {strconv.FormatUint(c.At.Era, 10)},
		"config": {strconv.FormatUint(p.g.configVersion(), 10)}, "pieces": {"1"},
	}
	if c.List {
		q.Set("list", "1")
	}
	if c.Key != "" {
		q.Set("key", c.Key)
	}
	resp, err := p.client.Get(fmt.Sprintf("http://%s%s?%s", addr, copyPath, q.Encode()))
	if err != nil {
		return keyUpdate{}, errors.Wrap(err, "get keys from peer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return keyUpdate{}, errors.Errorf("get keys from peer: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, copyBytes)).Decode(&k)
	return k, errors.Wrap(err, "decode")
}

// piece returns the piece that an update carries. Earlier builds name no era; it is then taken
// for the given one.
func (k keyUpdate) piece(era uint64) mirror.Piece {
	p := mirror.Piece{At: store.Position{Era: k.Era, Revision: k.Revision}, List: k.Whole, Entries: k.Entries, Changes: k.Changes, More: k.More}
	if k.Era == 0 {
		p.At.Era = era
	}
	return p
}

// entry returns an entry of a list.
func (k keyUpdate) entry(key string) (store.Entry, bool) {
	for _, e := range k.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return store.Entry{}, false
}

// applyPeerKeys applies what is newer in a peer's copy.
func (g *Gateway) applyPeerKeys(from string, k keyUpdate) {
	now := time.Now()
	g.mirrorMu.Lock()
	before := g.mirror.LastChange()
	p := k.piece(before.Era)
	// Earlier builds keep all values.
	for i := range p.Entries {
		g.dropUnused(&p.Entries[i])
	}
	for i := range p.Changes {
		g.dropUnused(&p.Changes[i].Entry)
	}
	g.markCurrentBefore(now, k)
	var changed bool
	if p.List {
		changed = g.replaceMirror(now, p.Entries, p.At)
	} else {
		changed = g.mirror.Apply(now, p.Changes, p.At)
	}
	g.mirror.Retain(now, k.retained())
	if !p.More {
		g.mirror.AdoptLastChange(store.Position{Era: p.At.Era, Revision: k.LastChange})
		g.markCurrentAsOf(now, p.At.Era, k)
	}
	if len(k.Config) > 0 {
		g.applyTable(k.Config, store.Position{Era: p.At.Era})
	} else if p.At.Before(g.mirror.Position()) {
		// The list changes nothing, but the store may have lost the configuration in it. Without
		// an era only a higher version counts.
		if e, ok := k.entry(g.options.Directory.ConfigKey()); ok {
			g.applyTable(e.Value, store.Position{})
		}
	}
	after := g.mirror.LastChange()
	g.mirrorMu.Unlock()
	logs.Info("peer-copied", "Peers: store's keys copied from a peer.", "from", from, "before", before, "after", after,
		"whole", k.Whole, "changes", len(k.Changes), "config", len(k.Config) > 0, "more", k.More)
	if changed || k.Whole {
		g.applyMirror()
	}
}

// mux serves this router's copy of the store's keys to its peers.
func (p *peers) mux() http.Handler {
	served := make(chan struct{}, maxServedCopies)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+copyPath, func(w http.ResponseWriter, r *http.Request) {
		cursor, config, maxBytes, err := p.parseCopyQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case served <- struct{}{}:
			defer func() { <-served }()
		case <-r.Context().Done():
			return
		}
		// A peer that reads nothing must not keep others from their copies.
		if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(copyTimeout)); err != nil {
			logs.Info("peer-serve", "Peers: bounding the time of a copy failed.", "err", err)
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.g.keyPiece(cursor, config, maxBytes)); err != nil {
			logs.Info("peer-serve", "Peers: sending the store's keys to a peer failed.", "err", err)
		}
	})
	return mux
}

// parseCopyQuery parses where a peer's copy continues, the version of its configuration, and
// the size of its pieces. Earlier builds name neither the era, which is taken for the own one,
// nor the version, and know no pieces.
func (p *peers) parseCopyQuery(q url.Values) (c mirror.Cursor, config uint64, maxBytes int, err error) {
	c.At.Era, config, maxBytes = p.g.position().Era, math.MaxUint64, math.MaxInt
	for _, f := range []struct {
		name     string
		value    *uint64
		optional bool
	}{{"after", &c.At.Revision, false}, {"era", &c.At.Era, true}, {"config", &config, true}} {
		text := q.Get(f.name)
		if text == "" && f.optional {
			continue
		}
		if *f.value, err = strconv.ParseUint(text, 10, 64); err != nil {
			return c, config, maxBytes, errors.Errorf("%s: %q is not a number", f.name, text)
		}
	}
	c.List, c.Key = q.Get("list") != "", q.Get("key")
	if q.Get("pieces") != "" {
		maxBytes = pieceBytes
	}
	return c, config, maxBytes, nil
}

// keysSince returns the changes after a position, or all entries if the changes are not
// known, in one piece.
func (g *Gateway) keysSince(after store.Position, config uint64) keyUpdate {
	return g.keyPiece(mirror.Cursor{At: after}, config, math.MaxInt)
}

// keyPiece returns the piece of this router's keys that begins at a cursor, with the
// configuration in force if its version is above the given one and the copy doesn't hold it.
func (g *Gateway) keyPiece(c mirror.Cursor, config uint64, maxBytes int) keyUpdate {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	p := g.mirror.Piece(c, maxBytes)
	k := keyUpdate{
		Era: p.At.Era, Revision: p.At.Revision, LastChange: g.mirror.LastChange().Revision,
		Changes: p.Changes, Whole: p.List, Entries: p.Entries, More: p.More, ages: g.ages(time.Now()),
	}
	if p.More || g.configVersion() <= config {
		return k
	}
	e, ok := g.mirror.Get(g.options.Directory.ConfigKey())
	if !ok || !bytes.Equal(e.Value, g.inForce.value) || !p.List && e.Index <= c.At.Revision {
		k.Config = g.inForce.value
	}
	return k
}
