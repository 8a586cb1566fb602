package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/logs"
)

// room is the account of the memory that is held for callers, with those that wait for it. It
// is safe for concurrent use. A nil room holds nothing and has no bounds.
type room struct {
	metrics *metrics

	mu    sync.Mutex
	state *holding.State
}

// hold is what is held for one request or connection.
type hold struct {
	holding.Holder
	// granted is closed when the room that the hold waits for is taken.
	granted chan struct{}
	// giveWay ends the request or the connection. It is called in a goroutine of its own.
	giveWay func()
	// gone is closed when the hold had to give way, and isGone set before, both by the step of
	// the account that drops it.
	gone   chan struct{}
	isGone atomic.Bool
}

func newHold(caller string, giveWay func()) *hold {
	h := &hold{giveWay: giveWay, gone: make(chan struct{})}
	h.Caller, h.Owner = caller, h
	return h
}

// note adds n bytes of answers that are read whole.
func (r *room) note(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Note(holding.Answers, n)
}

// grow takes n more bytes for a hold that cannot wait. It reports false if the hold had to give
// way itself.
func (r *room) grow(h *hold, k holding.Kind, n int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	if h.isGone.Load() {
		r.mu.Unlock()
		return false
	}
	gaveWay := r.mark(r.state.Grow(&h.Holder, k, int64(n)))
	r.mu.Unlock()
	r.end(gaveWay, k)
	return !h.isGone.Load()
}

// await asks for room for a body of n bytes, and waits for it until the given time. It reports
// whether there is room.
func (r *room) await(h *hold, k holding.Kind, n int64, until time.Time) bool {
	now := time.Now()
	r.mu.Lock()
	h.granted = make(chan struct{})
	outcome := r.state.Await(now, &h.Holder, k, n, min(n, receiveBuffer))
	r.mu.Unlock()
	switch outcome {
	case holding.Granted:
		return true
	case holding.Refused:
		return false
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-h.granted:
		return true
	case <-h.gone:
	case <-timer.C:
	}
	return false
}

// moved records that n more bytes of a body have arrived.
func (r *room) moved(h *hold, n int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Moved(now, &h.Holder, int64(n))
}

// settle records that a body or a head has arrived whole: it does not give way any more. It
// reports false if it has had to already.
func (r *room) settle(h *hold, n int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.isGone.Load() {
		return false
	}
	r.grant(r.state.Settle(time.Now(), &h.Holder, int64(n)))
	return true
}

// release frees what a hold has; h may be nil.
func (r *room) release(h *hold) {
	if r == nil || h == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grant(r.state.Release(time.Now(), &h.Holder))
}

// tick makes bodies without progress give way to those that wait.
func (r *room) tick(now time.Time, stall time.Duration) {
	r.mu.Lock()
	gaveWay, granted := r.state.Tick(now, stall)
	r.grant(granted)
	ended := r.mark(gaveWay)
	r.mu.Unlock()
	for _, h := range ended {
		r.end([]*hold{h}, h.Kind())
	}
}

// grant wakes those that have got room. The caller holds mu.
func (r *room) grant(granted []*holding.Holder) {
	for _, h := range granted {
		close(h.Owner.(*hold).granted)
	}
}

// mark marks those that had to give way as gone, and returns those that were not. The caller
// holds mu.
func (r *room) mark(gaveWay []*holding.Holder) (ended []*hold) {
	for _, holder := range gaveWay {
		if h := holder.Owner.(*hold); h.isGone.CompareAndSwap(false, true) {
			close(h.gone)
			ended = append(ended, h)
		}
	}
	return ended
}

// end ends those that are marked.
func (r *room) end(ended []*hold, k holding.Kind) {
	for _, h := range ended {
		logs.Info("gave-way", "Gateway: memory held for a caller was needed for others.", "org", h.Caller, "kind", k.Name())
		r.metrics.recordGaveWay(k.Name(), "room")
		go h.giveWay()
	}
}

// held is the number of bytes that are held of a kind.
func (r *room) held(k holding.Kind) int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Held(k)
}

// waiting is the number of bodies that wait for room.
func (r *room) waiting() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Waiting()
}
