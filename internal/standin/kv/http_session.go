package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// sessionTopic is the key under which session writes meet the write faults.
const sessionTopic = "\x00session"

// maxJSON bounds the JSON body of a request, in bytes.
const maxJSON = 64 << 10

// sessionRequest is the body of a session's creation.
type sessionRequest struct {
	TTL      string
	Behavior string
}

// sessionAnswer is a session in the API's form.
type sessionAnswer struct {
	ID  string
	TTL string `json:",omitempty"`
}

func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request) {
	var request sessionRequest
	if err := decode(w, r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	tooLong := s.options.MaxTTL > 0 && ttl > s.options.MaxTTL
	if err != nil || ttl < s.options.MinTTL || tooLong {
		http.Error(w, "Invalid Session TTL "+strconv.Quote(request.TTL), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, CallCreate) {
		return
	}
	fate, late := s.faults.writeFate(sessionTopic)
	if fate == fateLate {
		s.faults.later(late, func() { s.state.createSession(ttl) })
	}
	if fate == fateLost {
		s.state.createSession(ttl)
	}
	if fate != fateNormal {
		panic(http.ErrAbortHandler)
	}
	answer(w, sessionAnswer{ID: s.state.createSession(ttl)})
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallRenew) {
		return
	}
	id := r.PathValue("id")
	ttl, found := s.state.renewSession(id)
	if !found {
		http.Error(w, "Session id "+strconv.Quote(id)+" not found", http.StatusNotFound)
		return
	}
	answer(w, []sessionAnswer{{ID: id, TTL: ttl.String()}})
}

func (s *Server) handleDestroy(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallDestroy) {
		return
	}
	s.write(w, sessionTopic, func() (bool, error) {
		s.state.endSession(r.PathValue("id"))
		return true, nil
	})
}

// decode reads a JSON body, with the many fields of the API that the stand-in
// has no use for passed over.
func decode(w http.ResponseWriter, r *http.Request, into any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSON)).Decode(into)
}
