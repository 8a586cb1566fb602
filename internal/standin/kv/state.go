package kv

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// entry is a key with its value, its indexes and the id of the session that holds
// its lock.
type entry struct {
	key         string
	value       []byte
	createIndex uint64
	modifyIndex uint64
	lockIndex   uint64
	session     string
}

// session is a lease that expires when its timer fires.
type session struct {
	id    string
	ttl   time.Duration
	timer *time.Timer
}

// state holds the data of the store. Each change increments index and wakes the
// blocking queries on its topic, which is a key or catalogTopic.
type state struct {
	mu    sync.Mutex
	index uint64
	// epoch is incremented when the indexes are renumbered.
	epoch   uint64
	entries map[string]entry
	// deleted holds the index at which a key was deleted.
	deleted  map[string]uint64
	sessions map[string]*session
	// waiters are the channels of the blocking queries on each topic.
	waiters map[string]map[chan struct{}]struct{}
	// stale is the snapshot from which reads are answered during the StaleReads
	// fault; nil otherwise.
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

// readView returns the map from which reads are answered; s.mu is held.
func (s *state) readView() map[string]entry {
	if s.stale != nil {
		return s.stale
	}
	return s.entries
}

// get returns the entry of a key and the index from which a blocking query on the
// key can wait.
func (s *state) get(key string) (e entry, index uint64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.readView()[key]
	if found {
		return e, e.modifyIndex, true
	}
	return entry{}, s.index, false
}

// keyChangedSince reports whether a key was written or deleted after index.
func (s *state) keyChangedSince(key string, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, found := s.readView()[key]; found {
		return e.modifyIndex > index
	}
	return s.stale == nil && s.deleted[key] > index
}

// list returns the entries whose keys have a prefix, sorted by key.
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

// put writes a key if its modify index is *cas, where 0 stands for an absent key.
// A nil cas writes unconditionally. It reports whether the condition was met.
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

// remove deletes a key if its modify index is *cas, where 0 stands for an absent
// key. A nil cas deletes unconditionally. It reports whether the condition was met,
// which doesn't mean that the key existed.
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

// acquire writes a key and locks it with a session, unless another session holds
// the lock. known is false if there is no such session.
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

// release writes a key and gives up the lock on it if the session holds the lock. It
// reports whether the session held it.
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

// write stores an entry under a new index; s.mu is held.
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

// createSession creates a session that expires ttl after its last renewal.
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

// renewSession renews a session and returns its TTL, or false if it has ended.
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

// endSession ends a session and releases the locks that it holds.
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

// setStale starts answering reads from a snapshot of the present entries, or
// stops doing so.
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

// resetIndex renumbers all indexes from 1 in their present order, as happens when
// the store is restored from a backup, and wakes all blocking queries.
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
