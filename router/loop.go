package router

import (
	"context"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// minTickInterval is the shortest delay before the next tick.
	minTickInterval = time.Millisecond
	// maxTickInterval is the longest delay before the next tick.
	maxTickInterval = time.Second
)

// post queues an event for the reducer. It blocks while the queue is full and drops
// the event if the loop has ended.
func (r *Router) post(ev core.Event) {
	select {
	case r.events <- ev:
	case <-r.loopDone:
	}
}

// loop feeds events and ticks to the reducer until ctx ends. It is the only goroutine
// that accesses the reducer's state.
func (r *Router) loop(ctx context.Context) {
	defer close(r.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-r.events:
			r.step(ev)
		case <-timer.C:
			r.step(core.Tick{})
		case inspect := <-r.inspections:
			inspect(r.state)
		}
		timer.Reset(r.nextTickDelay())
	}
}

// step passes an event to the reducer and executes the resulting effects.
func (r *Router) step(ev core.Event) {
	for _, effect := range r.state.Step(time.Now(), ev) {
		r.executeEffect(effect)
	}
}

// nextTickDelay returns the time until the reducer's next wake-up, within the bounds.
func (r *Router) nextTickDelay() time.Duration {
	nextWake := r.state.Wake()
	if nextWake.IsZero() {
		return maxTickInterval
	}
	return min(max(time.Until(nextWake), minTickInterval), maxTickInterval)
}

// withState runs f on the reducer's state in the loop, between two steps, and waits
// for it. It returns false if f was not run, as ctx or the loop has ended.
func (r *Router) withState(ctx context.Context, f func(*reducer.State)) bool {
	finished := make(chan struct{})
	select {
	case r.inspections <- func(s *reducer.State) { f(s); close(finished) }:
		<-finished
		return true
	case <-ctx.Done():
		return false
	case <-r.loopDone:
		return false
	}
}

// peerHandler turns events and messages of peer connections into reducer events.
// Queries and their replies are handled outside the reducer.
type peerHandler struct{ r *Router }

func (h peerHandler) PeerUp(m *wire.Member)     { h.r.post(core.PeerUp{Member: m}) }
func (h peerHandler) PeerDown(id core.RouterID) { h.r.post(core.PeerDown{Peer: id}) }
func (h peerHandler) DialFailed(addr string)    { h.r.post(core.DialFailed{Addr: addr}) }
func (h peerHandler) Message(from core.RouterID, m *wire.Envelope) {
	if h.r.handleQueryMessage(from, m) {
		return
	}
	h.r.post(core.PeerMessage{From: from, Message: m})
}
