package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// sessionFaultKey is matched against Faults.Prefix when a session is created or
// destroyed. The zero byte makes it an invalid key.
const sessionFaultKey = "\x00session"

// maxJSON bounds the JSON body of a session or catalog request, in bytes.
const maxJSON = 64 << 10

// sessionRequest is the body of a session create request.
type sessionRequest struct {
	TTL      string
	Behavior string
}

// sessionAnswer is the API's representation of a session.
type sessionAnswer struct {
	ID  string
	TTL string `json:",omitempty"`
}

func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request) {
	var request sessionRequest
	if err := readJSON(w, r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	tooLong := s.options.MaxTTL > 0 && ttl > s.options.MaxTTL
	if err != nil || ttl < s.options.MinTTL || tooLong {
		http.Error(w, "Invalid Session TTL "+strconv.Quote(request.TTL), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, CallSessionCreate) {
		return
	}
	fault, delay := s.faults.consumeWriteFault(sessionFaultKey)
	if fault == writeLate {
		s.faults.applyLater(delay, func() { s.state.createSession(ttl) })
	}
	if fault == writeAnswerLost {
		s.state.createSession(ttl)
	}
	if fault != writeNormal {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, sessionAnswer{ID: s.state.createSession(ttl)})
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallSessionRenew) {
		return
	}
	id := r.PathValue("id")
	ttl, found := s.state.renewSession(id)
	if !found {
		http.Error(w, "Session id "+strconv.Quote(id)+" not found", http.StatusNotFound)
		return
	}
	writeJSON(w, []sessionAnswer{{ID: id, TTL: ttl.String()}})
}

func (s *Server) handleDestroy(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallSessionDestroy) {
		return
	}
	s.write(w, sessionFaultKey, func() (bool, error) {
		s.state.endSession(r.PathValue("id"))
		return true, nil
	})
}

// readJSON decodes a JSON body and ignores unknown fields, because the API has
// many fields that this package doesn't use.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSON)).Decode(into)
}
