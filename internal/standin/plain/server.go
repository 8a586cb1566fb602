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

// HTTP headers.
const (
	// HeaderWork sets the service time of a request in milliseconds.
	HeaderWork = "X-Work-Ms"
	// HeaderRun reports how many requests with the same key ran here.
	HeaderRun = "X-Run"

	headerKey     = "Idempotency-Key"
	headerRequest = "X-Request-Id"
	headerOutcome = "Jujubeford-Outcome"
	headerLeaving = "Jujubeford-Leaving"
)

const (
	// maxBody bounds a request body, in bytes.
	maxBody = 16 << 20
	// retryAfter is the Retry-After header of refused requests, in seconds.
	retryAfter = "1"
)

// Options configures a Server.
type Options struct {
	Name string
	// Work is the service time of a request without HeaderWork.
	Work time.Duration
	// Slots is the number of requests that run at a time; further ones wait. 0
	// means no limit.
	Slots int
	// OnLeaving, if set, is called when the instance starts or stops leaving.
	OnLeaving func(leaving bool)
}

// Server is a test double of a plain HTTP service.
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

// Stats holds counters since the start of the server.
type Stats struct {
	Name string `json:"name"`
	// Requests counts all requests, Ran those that were started, and Refused those
	// that were answered as not run.
	Requests uint64 `json:"requests"`
	Ran      uint64 `json:"ran"`
	Refused  uint64 `json:"refused"`
	Running  int    `json:"running"`
	Leaving  bool   `json:"leaving"`
}

// Echo is the body of an answer.
type Echo struct {
	Name string `json:"name"`
	// Key is the request's Idempotency-Key, or else its X-Request-Id.
	Key string `json:"key"`
	// Run is the number of requests with this key that ran here so far.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// New returns a server. Its handler must be served on listener, because faults
// silence or refuse the connections of listener.
func New(options Options, listener *netfault.Listener) *Server {
	s := &Server{options: options, listener: listener, runs: make(map[string]int)}
	if options.Slots > 0 {
		s.slots = make(chan struct{}, options.Slots)
	}
	return s
}

// Handler returns the handler of the simulated service.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.handle) }

// Control returns the handler of the control port:
//
//	POST /faults   replaces the injected Faults
//	GET  /faults   returns the injected Faults
//	POST /leaving  {"leaving": true} refuses new work, {"leaving": false} accepts it again
//	GET  /runs     returns the number of runs of each key
//	GET  /stats    returns the Stats
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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) error {
	s.faults.set(faults)
	if faults.Silence {
		s.listener.Silence()
	}
	return s.listener.Refuse(faults.Refuse)
}

// SetLeaving sets whether the server is leaving. A leaving server refuses new
// requests.
func (s *Server) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
	if s.options.OnLeaving != nil {
		s.options.OnLeaving(leaving)
	}
}

// Runs returns the number of runs of each key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Stats returns the counters.
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

// acquireSlot waits for a free slot. It returns false if the caller disconnected.
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

// run counts a run of the request and simulates its service time. A started
// request runs to its end even if the caller disconnects.
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

// serviceTime returns the simulated service time of a request.
func (s *Server) serviceTime(r *http.Request) time.Duration {
	work := s.options.Work
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	return work + s.faults.get().Slow.Duration()
}

// writeAnswer writes the echo, subject to the request's fault.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, echo Echo, fault requestFault) {
	body, err := json.Marshal(echo)
	if err != nil {
		panic(err) // cannot happen: Echo has only strings and numbers
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

// refuse answers with an outcome header that says that the request did not run.
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

// countStarted counts a run and returns the number of runs of its key.
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
