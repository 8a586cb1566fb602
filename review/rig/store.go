//go:build review

// Package rig holds the stand-ins of the second review: the platform's store, replicas,
// consumers, and the router processes of a small deployment.
package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store, or in the history its removal.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// answerTime and linkRate are those of the platform's store: an answer takes 4 ms, and its link
// carries 1,000 Mbit/s.
const (
	answerTime = 4 * time.Millisecond
	linkRate   = 125e6
)

// Store is a stand-in for the platform's store. A lease lasts as long as it was granted
// for from each renewal on, and runs on while the store is silent.
type Store struct {
	Addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]Item
	history []Item
	leases  map[uint64]*storeLease
	last    uint64
	changed chan struct{}
	silent  bool
	// lost is closed when the store turns silent: calls that wait then get no answer any more.
	lost chan struct{}
	web  *http.Server

	// link guards linkFree, when all that was answered has been sent.
	link     sync.Mutex
	linkFree time.Time
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Addr: ln.Addr().String(), rev: 1, items: map[string]Item{}, leases: map[uint64]*storeLease{},
		changed: make(chan struct{}), lost: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	s.web = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		if s.isSilent() {
			<-r.Context().Done() // neither executed nor answered
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.web.Serve(ln)
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { s.web.Close() }

// SetSilent makes the store answer nothing, or work again. What waited when it turned silent is
// never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent && !s.silent {
		close(s.lost)
	}
	if !silent && s.silent {
		s.lost = make(chan struct{})
	}
	s.silent = silent
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// Keys returns the number of keys under a prefix.
func (s *Store) Keys(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Put writes a key as the operator or a replica does. It returns when the store has acknowledged.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, []byte(value), 0)
	s.notify()
}

// Remove removes keys together.
func (s *Store) Remove(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *Store) put(key string, value []byte, lease uint64) {
	i := Item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply answers a call. The caller does not hold mu.
func (s *Store) reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.link.Lock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(len(b)) / linkRate * float64(time.Second)))
	sent := s.linkFree
	s.link.Unlock()
	time.Sleep(answerTime + sent.Sub(now))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []Item{}
	s.mu.Lock()
	at := s.rev
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	// A page has 500 items at most, or as many as have 1 MB.
	n, bytes := 0, 0
	for n < len(items) && n < 500 && (n == 0 || bytes+len(items[n].Value) <= 1e6) {
		bytes += len(items[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, map[string]any{"items": items[:n], "hasMore": n < len(items), "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed, lost := s.rev, s.changed, s.lost
		s.mu.Unlock()
		if len(events) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "at": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "at": rev})
			return
		case <-lost:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.commit(t)
	if answer == nil {
		w.WriteHeader(status)
		return
	}
	s.reply(w, status, answer)
}

// commit runs a transaction; answer is nil if it has no body.
func (s *Store) commit(t transaction) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, hold := []Item{}, true
	for _, e := range t.Expected {
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
		hold = hold && s.items[e.Key].Rev == e.Rev
	}
	if !hold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.last++
	id, ttl := s.last, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": body.TTL})
}

func (s *Store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	s.reply(w, http.StatusOK, map[string]any{})
}
