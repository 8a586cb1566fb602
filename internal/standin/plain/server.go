package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// The headers.
const (
	// HeaderWork is a request's service time in milliseconds.
	HeaderWork = "X-Work-Ms"
	// HeaderRun is the number of times that the answered request ran here.
	HeaderRun = "X-Run"

	headerKey     = "Idempotency-Key"
	headerRequest = "X-Request-Id"
	headerOutcome = "Jujubeford-Outcome"
	headerLeaving = "Jujubeford-Leaving"
)

const (
	// maxBody bounds a request body, in bytes.
	maxBody = 16 << 20
	// retryAfter is what refused callers are told, in seconds.
	retryAfter = "1"
)

// Options are the settings of a Server.
type Options struct {
	Name string
	// Work is the service time of a request without HeaderWork.
	Work time.Duration
	// Slots is how many requests run at a time, the others wait; 0 is no bound.
	Slots int
	// OnLeaving is told when the instance starts or stops leaving; may be nil.
	OnLeaving func(leaving bool)
}

// Server is the stand-in.
type Server struct {
	options  Options
	listener *netfault.Listener
	faults   faultSet
	leaving  atomic.Bool
	slots    chan struct{}

	mu    sync.Mutex
	runs  map[string]int
	stats Stats
}

// Stats counts requests since the start.
type Stats struct {
	Name string `json:"name"`
	// Requests is all requests, Ran those that ran, Refused those that were
	// told that they did not.
	Requests uint64 `json:"requests"`
	Ran      uint64 `json:"ran"`
	Refused  uint64 `json:"refused"`
	Running  int    `json:"running"`
	Leaving  bool   `json:"leaving"`
}

// Echo is the answer to a request.
type Echo struct {
	Name string `json:"name"`
	// Key is the request's Idempotency-Key, or else its X-Request-Id.
	Key string `json:"key"`
	// Run is how many requests with this key ran here.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// New makes a server that answers on listener, which its faults act on.
func New(options Options, listener *netfault.Listener) *Server {
	s := &Server{options: options, listener: listener, runs: make(map[string]int)}
	if options.Slots > 0 {
		s.slots = make(chan struct{}, options.Slots)
	}
	return s
}

// Handler serves callers.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.handle) }

// Control serves the control port:
//
//	POST /faults   the Faults in force from now on
//	GET  /faults   the faults in force
//	POST /leaving  {"leaving": true} refuses new work, {"leaving": false} ends it
//	GET  /runs     how often each key ran
//	GET  /stats    the counts
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", control.HandleJSON(func(_ *http.Request, faults Faults) error {
		return s.SetFaults(faults)
	}))
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.faults.get())
	})
	mux.HandleFunc("POST /leaving", control.HandleJSON(func(_ *http.Request, body control.Leaving) error {
		s.SetLeaving(body.Leaving)
		return nil
	}))
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.Runs())
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.Stats())
	})
	return mux
}

// SetFaults puts faults in force in place of those before.
func (s *Server) SetFaults(faults Faults) error {
	s.faults.set(faults)
	if faults.Silence {
		s.listener.Silence()
	}
	return s.listener.Refuse(faults.Refuse)
}

// SetLeaving starts or stops refusing new work.
func (s *Server) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
	if s.options.OnLeaving != nil {
		s.options.OnLeaving(leaving)
	}
}

// Runs says how often each key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Name = s.options.Name
	stats.Leaving = s.leaving.Load()
	return stats
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.countRequest()
	fault := s.faults.consumeNext()
	if fault == faultCutBefore {
		abortConnection()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	switch {
	case fault == faultSilentBefore:
		<-r.Context().Done()
		return
	case fault == faultNotRun || s.leaving.Load():
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	echo := s.run(r, body)
	s.releaseSlot()
	s.writeAnswer(w, r, echo, fault)
}

// acquireSlot waits for a slot; false if the caller has gone.
func (s *Server) acquireSlot(ctx context.Context) bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// run works on a request and records it. What has started runs to its end, also
// when the caller goes.
func (s *Server) run(r *http.Request, body []byte) Echo {
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.Header.Get(headerRequest)
	}
	run := s.countStarted(key)
	time.Sleep(s.serviceTime(r))
	s.countFinished()
	return Echo{
		Name:   s.options.Name,
		Key:    key,
		Run:    run,
		Method: r.Method,
		Path:   r.URL.Path,
		Body:   string(body),
	}
}

func (s *Server) serviceTime(r *http.Request) time.Duration {
	work := s.options.Work
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	return work + s.faults.get().Slow.Duration()
}

// writeAnswer writes the echo, or what the request's fate makes of it.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, echo Echo, fault requestFault) {
	body, err := json.Marshal(echo)
	if err != nil {
		panic(err) // strings and numbers only
	}
	switch fault {
	case faultCutAfter:
		abortConnection()
	case faultSilentAfter:
		<-r.Context().Done()
		return
	case faultFail:
		http.Error(w, "failed on order", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderRun, strconv.Itoa(echo.Run))
	if s.leaving.Load() {
		w.Header().Set(headerLeaving, "true")
	}
	if fault == faultCutMid {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(body)
}

// refuse answers that a request did not run.
func (s *Server) refuse(w http.ResponseWriter, status int) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	if s.leaving.Load() {
		w.Header().Set(headerLeaving, "true")
	}
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "not run", status)
}

func (s *Server) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
}

func (s *Server) countStarted(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Ran++
	s.stats.Running++
	s.runs[key]++
	return s.runs[key]
}

func (s *Server) countFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
}
