package engine

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// The headers.
const (
	// HeaderStream is the id of an answer's stream.
	HeaderStream = "X-Stream-Id"
	// HeaderFencing is the fencing number of an order.
	HeaderFencing = "Fencing-Number"

	headerRequest   = "X-Request-Id"
	headerAttempt   = "X-Attempt"
	headerLastEvent = "Last-Event-ID"
	headerOutcome   = "Jujubeford-Outcome"
	headerLeaving   = "Jujubeford-Leaving"
)

// Options are the settings of an engine.
type Options struct {
	Name string
	// Slots is how many streams the batch holds before all become slower.
	Slots int
	// TokenTime is the time of a token when the engine is idle.
	TokenTime time.Duration
	// LoadFactor is by how much a full batch is slower than an idle one.
	LoadFactor float64
	// PrefillTime is the time of a prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the size of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// LoadLag is how late the load report is.
	LoadLag time.Duration
	// Grace is how long a stream lives without a connection.
	Grace time.Duration
	// CheckFencing refuses orders with an older fencing number.
	CheckFencing bool
	// RestartAfter is how long the engine is away after a crash, and then it
	// starts without memory.
	RestartAfter time.Duration
	// Exit, if set, is called at a crash in place of a restart.
	Exit func()
	// OnLeaving is told when the instance starts or stops leaving; may be nil.
	OnLeaving func(leaving bool)
}

// Stats counts since the start.
type Stats struct {
	Name string `json:"name"`
	// Requests is all requests for an answer, Started those that ran.
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
	// BusySlotSeconds is the time of used slots, UpSeconds that of the engine.
	BusySlotSeconds float64 `json:"busy_slot_seconds"`
	UpSeconds       float64 `json:"up_seconds"`
	Slots           int     `json:"slots"`
	Leaving         bool    `json:"leaving"`
}

// Engine is the stand-in.
type Engine struct {
	options  Options
	listener *netfault.Listener
	batch    *batch
	orders   orders
	leaving  atomic.Bool
	sequence atomic.Uint64
}

// New makes an engine that answers on listener, which its faults act on.
func New(options Options, listener *netfault.Listener) *Engine {
	return &Engine{
		options:  options,
		listener: listener,
		batch:    newBatch(options),
		orders:   orders{checkFencing: options.CheckFencing},
	}
}

// Handler serves callers.
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

// Control serves the control port:
//
//	POST /faults   the Faults in force from now on
//	GET  /faults   the faults in force
//	POST /leaving  {"leaving": true} refuses new work, {"leaving": false} ends it
//	POST /crash    crashes the engine
//	GET  /stats    the counts
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

// SetFaults puts faults in force in place of those before.
func (e *Engine) SetFaults(faults Faults) error {
	e.batch.setFaults(faults)
	if faults.Silence {
		e.listener.Silence()
	}
	return e.listener.Refuse(faults.Refuse)
}

// SetLeaving starts or stops refusing new work; running streams finish.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
	if e.options.OnLeaving != nil {
		e.options.OnLeaving(leaving)
	}
}

// Stats returns the counts.
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

// updateStats changes the counts.
func (e *Engine) updateStats(change func(*Stats)) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	change(&e.batch.stats)
}

// crash ends the process, or the engine for a while.
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

// restart takes connections again unless a fault forbids it.
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

// streamID derives the id of a request's stream.
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
