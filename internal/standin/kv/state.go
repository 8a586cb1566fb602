package kv

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// entry is a key with its value.
type entry struct {
	key         string
	value       []byte
	createIndex uint64
	modifyIndex uint64
	lockIndex   uint64
	session     string
}

// session is a lease; it ends by its timer.
type session struct {
	id    string
	ttl   time.Duration
	timer *time.Timer
}

// state is what the service holds. Each change takes a new index and wakes the
// watches of its topic.
type state struct {
	mu       sync.Mutex
	index    uint64
	epoch    uint64
	entries  map[string]entry
	deleted  map[string]uint64
	sessions map[string]*session
	waiters  map[string]map[chan struct{}]struct{}
	// stale is what reads see while old values are served; nil otherwise.
	stale   map[string]entry
	catalog catalog
}

func newState(listLag time.Duration) *state {
	return &state{
		index:    1,
		entries:  make(map[string]entry),
		deleted:  make(map[string]uint64),
		sessions: make(map[string]*session),
		waiters:  make(map[string]map[chan struct{}]struct{}),
		catalog:  newCatalog(listLag),
	}
}

// readView is the map that reads see.
func (s *state) readView() map[string]entry {
	if s.stale != nil {
		return s.stale
	}
	return s.entries
}

// get reads a key with the index that a watch may wait on.
func (s *state) get(key string) (e entry, index uint64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.readView()[key]
	if found {
		return e, e.modifyIndex, true
	}
	return entry{}, s.index, false
}

// keyChangedSince reports whether a watch on key from index has something to say.
func (s *state) keyChangedSince(key string, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, found := s.readView()[key]; found {
		return e.modifyIndex > index
	}
	return s.stale == nil && s.deleted[key] > index
}

// list reads all keys under a prefix, in order.
func (s *state) list(prefix string) ([]entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []entry
	for key, e := range s.readView() {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	return found, s.index
}

// put writes a key if its index is *cas; a nil cas writes in any case.
func (s *state) put(key string, value []byte, cas *uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries[key]
	if cas != nil && old.modifyIndex != *cas {
		return false
	}
	s.write(key, value, old, old.session)
	return true
}

// remove deletes a key if its index is *cas.
func (s *state) remove(key string, cas *uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.entries[key]
	if cas != nil && old.modifyIndex != *cas {
		return false
	}
	if !found {
		return true
	}
	delete(s.entries, key)
	s.index++
	s.deleted[key] = s.index
	s.wake(key)
	return true
}

// acquire writes a key and binds it to a session. known is false if there is no
// such session.
func (s *state) acquire(key string, value []byte, id string) (known, acquired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[id] == nil {
		return false, false
	}
	old := s.entries[key]
	if old.session != "" && old.session != id {
		return true, false
	}
	if old.session == "" {
		old.lockIndex++
	}
	s.write(key, value, old, id)
	return true, true
}

// release unbinds a key from a session.
func (s *state) release(key string, value []byte, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries[key]
	if id == "" || old.session != id {
		return false
	}
	s.write(key, value, old, "")
	return true
}

func (s *state) write(key string, value []byte, old entry, holder string) {
	s.index++
	if old.createIndex == 0 {
		old.createIndex = s.index
	}
	delete(s.deleted, key)
	s.entries[key] = entry{
		key:         key,
		value:       value,
		createIndex: old.createIndex,
		modifyIndex: s.index,
		lockIndex:   old.lockIndex,
		session:     holder,
	}
	s.wake(key)
}

// createSession makes a lease that ends ttl after its last renewal.
func (s *state) createSession(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	s.sessions[id] = &session{
		id:    id,
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.endSession(id) }),
	}
	return id
}

// renewSession extends a lease; false if it has ended.
func (s *state) renewSession(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sessions[id]
	if found == nil || !found.timer.Stop() {
		return 0, false
	}
	found.timer.Reset(found.ttl)
	return found.ttl, true
}

// endSession ends a lease and frees its keys.
func (s *state) endSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.sessions[id]
	if found == nil {
		return
	}
	found.timer.Stop()
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.session == id {
			s.write(key, e.value, e, "")
		}
	}
}

// setStale starts or stops serving the values of now.
func (s *state) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale == (s.stale != nil) {
		return
	}
	s.stale = nil
	if stale {
		s.stale = maps.Clone(s.entries)
	}
	s.wakeAll()
}

// resetIndex numbers everything anew from 1, as after a restore.
func (s *state) resetIndex() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return s.entries[keys[i]].modifyIndex < s.entries[keys[j]].modifyIndex
	})
	s.index = 1
	for _, key := range keys {
		s.index++
		e := s.entries[key]
		e.createIndex, e.modifyIndex = s.index, s.index
		s.entries[key] = e
	}
	clear(s.deleted)
	s.catalog.index = s.index
	s.epoch++
	s.wakeAll()
}
