package faults

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/store"
)

// answerTimeout is the time after which a router gives up on a key-value call.
const answerTimeout = time.Second

// fakeStore is an in-memory key-value service with fault injection.
type fakeStore struct {
	fleet   *fleet
	entries map[string]store.Entry
	index   uint64
	calls   int
	// down makes all calls fail without an effect.
	down bool
	// loseAnswers applies writes but doesn't answer them.
	loseAnswers bool
	// lateBy, if set, is the delay after which writes are applied. They are not
	// answered.
	lateBy time.Duration
	// stale makes reads of the configuration return the first one.
	stale bool
}

// call executes a key-value effect of a router and delivers the result.
func (s *fakeStore) call(n *node, e core.Effect) {
	s.calls++
	f := s.fleet
	f.after(storeDelay, func() {
		if f.cutFromPlatform(n) {
			f.deliverLater(n, answerTimeout, core.KVResult{Op: opOf(e), Status: core.KVUnknown})
			return
		}
		if s.down {
			f.deliverLater(n, storeDelay, core.KVResult{Op: opOf(e), Status: core.KVUnavailable})
			return
		}
		_, read := e.(core.KVGet)
		switch {
		case !read && s.lateBy > 0:
			f.after(s.lateBy, func() { s.apply(e) })
			f.deliverLater(n, answerTimeout, core.KVResult{Op: opOf(e), Status: core.KVUnknown})
		case !read && s.loseAnswers:
			s.apply(e)
			f.deliverLater(n, answerTimeout, core.KVResult{Op: opOf(e), Status: core.KVUnknown})
		default:
			f.deliverLater(n, storeDelay, s.apply(e))
		}
	})
}

func opOf(e core.Effect) core.OpID {
	switch e := e.(type) {
	case core.KVGet:
		return e.Op
	case core.KVCAS:
		return e.Op
	case core.KVDelete:
		return e.Op
	}
	return 0
}

func (s *fakeStore) apply(e core.Effect) core.KVResult {
	status := func(ok bool) core.KVStatus {
		if ok {
			return core.KVOK
		}
		return core.KVConflict
	}
	switch e := e.(type) {
	case core.KVGet:
		have, ok := s.entries[e.Key]
		if !ok {
			return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVNotFound}
		}
		return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVOK, Value: have.Value, Index: have.Index}
	case core.KVCAS:
		ok := s.write(e.Key, e.Value, e.Index)
		return core.KVResult{Op: e.Op, Key: e.Key, Status: status(ok), Index: s.entries[e.Key].Index}
	case core.KVDelete:
		return core.KVResult{Op: e.Op, Key: e.Key, Status: status(s.remove(e.Key, e.Index))}
	}
	panic("not a key-value effect")
}

func (s *fakeStore) write(key string, value []byte, index uint64) bool {
	if s.entries[key].Index != index {
		return false
	}
	s.index++
	s.entries[key] = store.Entry{Key: key, Value: value, Index: s.index}
	return true
}

func (s *fakeStore) remove(key string, index uint64) bool {
	if s.entries[key].Index != index {
		return false
	}
	s.index++
	delete(s.entries, key)
	return true
}

// operator gives operators' programs access to the store. Calls take effect at
// once and are not subject to faults. before holds functions that are called
// before the first write of a key.
type operator struct {
	store.Store
	store  *fakeStore
	before map[string]func()
}

func (o *operator) Get(_ context.Context, key string) (store.Entry, error) {
	have, ok := o.store.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return have, nil
}

func (o *operator) List(_ context.Context, prefix string) ([]store.Entry, error) {
	var out []store.Entry
	for _, key := range slices.Sorted(maps.Keys(o.store.entries)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o.store.entries[key])
		}
	}
	return out, nil
}

func (o *operator) CAS(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	if before := o.before[key]; before != nil {
		delete(o.before, key)
		before()
	}
	return o.store.write(key, value, index), nil
}

func (o *operator) Delete(_ context.Context, key string, index uint64) (bool, error) {
	return o.store.remove(key, index), nil
}
