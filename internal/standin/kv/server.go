package kv

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
	"github.com/jujubeford/jujubeford/store"
)

// Options configures a Server.
type Options struct {
	// ReadRate and WriteRate are rate limits in calls per second; 0 means no limit.
	ReadRate  float64
	WriteRate float64
	// ListLag is the delay after which the instance list shows a change.
	ListLag time.Duration
	// MinTTL and MaxTTL bound the TTL of sessions; 0 means no bound.
	MinTTL time.Duration
	MaxTTL time.Duration
}

// Call is a kind of call, as named in Stats.Calls.
type Call string

// Kinds of call.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallWatch          Call = "watch"
	CallPut            Call = "put"
	CallDelete         Call = "delete"
	CallAcquire        Call = "acquire"
	CallRelease        Call = "release"
	CallSessionCreate  Call = "session-create"
	CallSessionRenew   Call = "session-renew"
	CallSessionDestroy Call = "session-destroy"
	CallInstances      Call = "instances"
	CallRegister       Call = "register"
	CallDeregister     Call = "deregister"
)

// reads holds the kinds of call that count against the read rate; all others
// count against the write rate.
var reads = map[Call]bool{CallGet: true, CallList: true, CallWatch: true, CallInstances: true}

// Stats holds counters since the start of the server, and its present size.
type Stats struct {
	Calls  map[Call]uint64 `json:"calls"`
	Reads  uint64          `json:"reads"`
	Writes uint64          `json:"writes"`
	// Limited counts the calls that were rejected by a rate limit.
	Limited uint64 `json:"limited"`
	// Waiting is the number of blocking queries that are waiting now.
	Waiting int `json:"waiting"`
	Keys    int `json:"keys"`
	// Sessions is the number of sessions that have not ended.
	Sessions int `json:"sessions"`
}

// Server is a test double of the platform.
type Server struct {
	options    Options
	state      *state
	faults     faultSet
	readLimit  *tokenBucket
	writeLimit *tokenBucket
	listener   *netfault.Listener

	mu    sync.Mutex
	stats Stats
}

// New returns a server. Its handler must be served on listener, because faults
// close, silence or refuse the connections of listener.
func New(options Options, listener *netfault.Listener) *Server {
	return &Server{
		options:    options,
		state:      newState(options.ListLag),
		readLimit:  newTokenBucket(options.ReadRate),
		writeLimit: newTokenBucket(options.WriteRate),
		listener:   listener,
		stats:      Stats{Calls: make(map[Call]uint64)},
	}
}

// Handler returns the handler of the platform's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleRead)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleDelete)
	mux.HandleFunc("PUT /v1/session/create", s.handleCreate)
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.handleRenew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.handleDestroy)
	mux.HandleFunc("GET /v1/catalog/node-services/{node}", s.handleInstances)
	mux.HandleFunc("PUT /v1/catalog/register", s.handleRegister)
	mux.HandleFunc("PUT /v1/catalog/deregister", s.handleDeregister)
	return mux
}

// Control returns the handler of the control port:
//
//	POST /faults     replaces the injected Faults
//	GET  /faults     returns the injected Faults
//	POST /instances  replaces the instance list, an array of store.Instance
//	GET  /instances  returns the instance list that is visible to callers
//	GET  /stats      returns the Stats
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", control.HandleJSON(func(_ *http.Request, faults Faults) error {
		return s.SetFaults(faults)
	}))
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.faults.get())
	})
	mux.HandleFunc("POST /instances", control.HandleJSON(func(_ *http.Request, list []store.Instance) error {
		s.SetInstances(list)
		return nil
	}))
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		list, _ := s.state.instances()
		control.WriteJSON(w, list)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.Stats())
	})
	return mux
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) error {
	lag := s.options.ListLag
	if faults.ListLag != nil {
		lag = faults.ListLag.Duration()
	}
	s.faults.set(faults)
	s.state.setStale(faults.StaleReads)
	s.state.configureList(lag, faults.FrozenList)
	if faults.ReleaseLate {
		s.faults.releaseHeld()
	}
	if faults.ResetIndex {
		s.state.resetIndex()
	}
	if faults.Silence {
		s.listener.Silence()
	}
	if faults.Outage == OutageRefuse {
		defer s.listener.Cut()
	}
	return s.listener.Refuse(faults.Outage == OutageRefuse)
}

// SetInstances replaces the instance list; callers see the change after its lag.
func (s *Server) SetInstances(list []store.Instance) { s.state.setInstances(list) }

// Stats returns the counters and the present numbers of keys and sessions.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	stats := s.stats
	stats.Calls = make(map[Call]uint64, len(s.stats.Calls))
	for call, n := range s.stats.Calls {
		stats.Calls[call] = n
	}
	s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	stats.Keys = len(s.state.entries)
	stats.Sessions = len(s.state.sessions)
	return stats
}

// admit counts a call and subjects it to an outage, the rate limit and the delay
// of Faults.Slow, in this order. It returns false if the call was answered with an
// error or its caller disconnected.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, call Call) bool {
	s.count(call)
	if s.faults.applyOutage(w, r) {
		return false
	}
	limit := s.writeLimit
	if reads[call] {
		limit = s.readLimit
	}
	if !limit.allow(time.Now()) {
		s.countLimited()
		http.Error(w, "rate limit exceeded, try again later", http.StatusTooManyRequests)
		return false
	}
	return s.faults.delay(r.Context())
}

func (s *Server) count(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls[call]++
	if reads[call] {
		s.stats.Reads++
		return
	}
	s.stats.Writes++
}

func (s *Server) countLimited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Limited++
}

func (s *Server) countWaiting(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += by
}
