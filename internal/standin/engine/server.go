package engine

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// HTTP headers.
const (
	// HeaderStream carries the id of the stream that an answer belongs to.
	HeaderStream = "X-Stream-Id"
	// HeaderFencing carries the fencing number of an order.
	HeaderFencing = "Fencing-Number"

	headerRequest   = "X-Request-Id"
	headerAttempt   = "X-Attempt"
	headerLastEvent = "Last-Event-ID"
	headerOutcome   = "Jujubeford-Outcome"
	headerLeaving   = "Jujubeford-Leaving"
)

// Options configures an Engine.
type Options struct {
	Name string
	// Slots is the batch size beyond which the time of a step grows in proportion
	// to the batch.
	Slots int
	// TokenTime is the base time per token. A batch that fills all slots takes
	// 1 + LoadFactor times as long.
	TokenTime time.Duration
	// LoadFactor is the relative slowdown of a full batch; see TokenTime.
	LoadFactor float64
	// PrefillTime is the prefill time per prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the size of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// LoadLag is the age of the data in a load report.
	LoadLag time.Duration
	// StreamGrace is how long a stream is kept without a connection.
	StreamGrace time.Duration
	// CheckFencing rejects orders whose fencing number is lower than an earlier
	// one.
	CheckFencing bool
	// RestartAfter is how long the engine refuses connections after a crash. It
	// restarts with its streams, prefix cache and orders lost.
	RestartAfter time.Duration
	// Exit, if set, is called on a crash to end the process instead of restarting
	// the engine.
	Exit func()
	// OnLeaving, if set, is called when the instance starts or stops leaving.
	OnLeaving func(leaving bool)
}

// Stats holds counters since the start of the engine.
type Stats struct {
	Name string `json:"name"`
	// Requests counts all chat completion requests, Started those that were
	// added to the batch.
	Requests  uint64 `json:"requests"`
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Resumed   uint64 `json:"resumed"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Crashes   uint64 `json:"crashes"`
	Tokens    uint64 `json:"tokens"`
	Running   int    `json:"running"`
	Kept      int    `json:"kept"`
	// BusySlotSeconds is the sum of the time that each slot was in use, UpSeconds
	// the time since the start of the engine.
	BusySlotSeconds float64 `json:"busy_slot_seconds"`
	UpSeconds       float64 `json:"up_seconds"`
	Slots           int     `json:"slots"`
	Leaving         bool    `json:"leaving"`
}

// Engine is a test double of a model inference engine.
type Engine struct {
	options  Options
	listener *netfault.Listener
	batch    *batch
	orders   orders
	leaving  atomic.Bool
	sequence atomic.Uint64
}

// New returns an engine. Its handler must be served on listener, because faults
// and crashes close, silence or refuse the connections of listener.
func New(options Options, listener *netfault.Listener) *Engine {
	return &Engine{
		options:  options,
		listener: listener,
		batch:    newBatch(options),
		orders:   orders{checkFencing: options.CheckFencing},
	}
}

// Handler returns the handler of the engine's own API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("PUT /v1/orders/{name}", e.orders.handlePut)
	mux.HandleFunc("GET /v1/orders", e.orders.handleList)
	mux.HandleFunc("GET /health", e.handleHealth)
	mux.HandleFunc("GET /load", e.handleLoad)
	return mux
}

// Control returns the handler of the control port:
//
//	POST /faults   replaces the injected Faults
//	GET  /faults   returns the injected Faults
//	POST /leaving  {"leaving": true} refuses new work, {"leaving": false} accepts it again
//	POST /crash    crashes the engine
//	GET  /stats    returns the Stats
func (e *Engine) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", control.HandleJSON(func(_ *http.Request, faults Faults) error {
		return e.SetFaults(faults)
	}))
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, e.batch.getFaults())
	})
	mux.HandleFunc("POST /leaving", control.HandleJSON(func(_ *http.Request, body control.Leaving) error {
		e.SetLeaving(body.Leaving)
		return nil
	}))
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { e.crash() })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, e.Stats())
	})
	return mux
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) error {
	e.batch.setFaults(faults)
	if faults.Silence {
		e.listener.Silence()
	}
	return e.listener.Refuse(faults.Refuse)
}

// SetLeaving sets whether the engine is leaving. A leaving engine refuses new
// requests and finishes running streams.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
	if e.options.OnLeaving != nil {
		e.options.OnLeaving(leaving)
	}
}

// Stats returns the counters and the present state of the batch.
func (e *Engine) Stats() Stats {
	b := e.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.accountSlotTime(now)
	stats := b.stats
	stats.Name = e.options.Name
	stats.Running = len(b.running)
	stats.Kept = len(b.streams) - len(b.running)
	stats.UpSeconds = now.Sub(b.started).Seconds()
	stats.Slots = e.options.Slots
	stats.Leaving = e.leaving.Load()
	return stats
}

// updateStats calls change with the counters locked.
func (e *Engine) updateStats(change func(*Stats)) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	change(&e.batch.stats)
}

// crash calls Options.Exit if it is set. Otherwise it closes all connections,
// loses all state and restarts after Options.RestartAfter.
func (e *Engine) crash() {
	if e.options.Exit != nil {
		e.options.Exit()
	}
	e.updateStats(func(s *Stats) { s.Crashes++ })
	_ = e.listener.Refuse(true)
	e.listener.Cut()
	e.batch.reset()
	e.orders.reset()
	time.AfterFunc(e.options.RestartAfter, e.restart)
}

// restart accepts connections again unless the Refuse fault is injected.
func (e *Engine) restart() {
	if !e.batch.getFaults().Refuse {
		_ = e.listener.Refuse(false)
	}
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() {
		w.Header().Set(headerLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("leaving\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	b := e.batch
	b.mu.Lock()
	lag := b.loadLag()
	running := b.load.sizeAt(time.Now().Add(-lag))
	b.mu.Unlock()
	control.WriteJSON(w, Load{Running: running, Slots: e.options.Slots, AgeMs: lag.Milliseconds()})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.batch.cancel(r.PathValue("id")) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// streamID returns the id for the stream of a request:
// "<X-Request-Id>.<X-Attempt>", or a generated id if the request has none.
func (e *Engine) streamID(r *http.Request) string {
	request, attempt := r.Header.Get(headerRequest), r.Header.Get(headerAttempt)
	if request == "" {
		return e.options.Name + "-" + strconv.FormatUint(e.sequence.Add(1), 10)
	}
	if attempt == "" {
		attempt = "1"
	}
	return request + "." + attempt
}
