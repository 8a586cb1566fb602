package router

import (
	"context"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// minTickInterval is the shortest time between two ticks.
	minTickInterval = time.Millisecond
	// maxTickInterval is the longest.
	maxTickInterval = time.Second
)

// post hands an event to the reducer, in order.
func (r *Router) post(ev core.Event) {
	select {
	case r.events <- ev:
	case <-r.loopDone:
	}
}

// loop is the only goroutine that touches the reducer.
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

func (r *Router) step(ev core.Event) {
	for _, effect := range r.state.Step(time.Now(), ev) {
		r.executeEffect(effect)
	}
}

func (r *Router) nextTickDelay() time.Duration {
	nextWake := r.state.Wake()
	if nextWake.IsZero() {
		return maxTickInterval
	}
	return min(max(time.Until(nextWake), minTickInterval), maxTickInterval)
}

// withState runs f with the reducer's state, between two steps.
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

// peerHandler passes what happens on peer connections to the reducer.
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
