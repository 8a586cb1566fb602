package kv

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/store"
)

// Wait times of blocking queries.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// jitterDivisor bounds the random addition to a wait, at most wait/jitterDivisor.
	jitterDivisor = 16
)

const indexHeader = "X-Consul-Index"

// pair is the API's representation of an entry.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex uint64
	ModifyIndex uint64
}

func toPair(e entry) pair {
	return pair{
		LockIndex:   e.lockIndex,
		Key:         e.key,
		Value:       e.value,
		Session:     e.session,
		CreateIndex: e.createIndex,
		ModifyIndex: e.modifyIndex,
	}
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if query.Has("recurse") {
		s.handleList(w, r, key)
		return
	}
	index, wait, blocking, err := blockingQuery(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := CallGet
	if blocking {
		call = CallWatch
	}
	if !s.admit(w, r, call) {
		return
	}
	if blocking && !s.awaitChange(w, r, key, wait, func() bool { return s.state.keyChangedSince(key, index) }) {
		return
	}
	e, current, found := s.state.get(key)
	w.Header().Set(indexHeader, strconv.FormatUint(current, 10))
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case query.Has("raw"):
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write(e.value)
	default:
		writeJSON(w, []pair{toPair(e)})
	}
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request, prefix string) {
	if !s.admit(w, r, CallList) {
		return
	}
	found, index := s.state.list(prefix)
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]pair, 0, len(found))
	for _, e := range found {
		pairs = append(pairs, toPair(e))
	}
	writeJSON(w, pairs)
}

// awaitChange holds a blocking query until the topic has changed or the wait is
// over. It returns false if an outage that began meanwhile ended the call.
func (s *Server) awaitChange(
	w http.ResponseWriter, r *http.Request, topic string, wait time.Duration, changed func() bool,
) bool {
	s.countWaiting(1)
	defer s.countWaiting(-1)
	s.state.wait(r.Context(), topic, wait, changed)
	return !s.faults.applyOutage(w, r)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, "request body too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch {
	case query.Has("acquire"):
		s.handleAcquire(w, r, key, value, query.Get("acquire"))
	case query.Has("release"):
		if s.admit(w, r, CallRelease) {
			s.write(w, key, func() (bool, error) {
				return s.state.release(key, value, query.Get("release")), nil
			})
		}
	default:
		cas, err := casIndex(query)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if s.admit(w, r, CallPut) {
			s.write(w, key, func() (bool, error) { return s.state.put(key, value, cas), nil })
		}
	}
}

func (s *Server) handleAcquire(w http.ResponseWriter, r *http.Request, key string, value []byte, id string) {
	if !s.admit(w, r, CallAcquire) {
		return
	}
	s.write(w, key, func() (bool, error) {
		known, acquired := s.state.acquire(key, value, id)
		if !known {
			return false, errors.Errorf("invalid session %q", id)
		}
		return acquired, nil
	})
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	cas, err := casIndex(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.admit(w, r, CallDelete) {
		s.write(w, key, func() (bool, error) { return s.state.remove(key, cas), nil })
	}
}

// write applies a write subject to the injected faults and answers it.
func (s *Server) write(w http.ResponseWriter, key string, apply func() (bool, error)) {
	fault, delay := s.faults.consumeWriteFault(key)
	switch fault {
	case writeLate:
		s.faults.applyLater(delay, func() { _, _ = apply() })
		panic(http.ErrAbortHandler)
	case writeDropped:
		panic(http.ErrAbortHandler)
	case writeAnswerLost:
		_, _ = apply()
		panic(http.ErrAbortHandler)
	}
	done, err := apply()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, done)
}

// blockingQuery parses the parameters of a blocking query. A query without an
// index, or with index 0, does not block.
func blockingQuery(query url.Values) (index uint64, wait time.Duration, blocking bool, err error) {
	if text := query.Get("index"); text != "" {
		if index, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, false, err
		}
	}
	wait = defaultWait
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, false, err
		}
	}
	wait = min(wait, maxWait)
	wait += rand.N(wait/jitterDivisor + 1)
	return index, wait, index > 0, nil
}

// casIndex parses the parameter cas; nil if it is absent.
func casIndex(query url.Values) (*uint64, error) {
	if !query.Has("cas") {
		return nil, nil
	}
	index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
	if err != nil {
		return nil, err
	}
	return &index, nil
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: callers pass only types that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
