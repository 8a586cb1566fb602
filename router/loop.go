package router

import (
	"context"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// tickMin is the shortest time between two ticks.
	tickMin = time.Millisecond
	// tickMost is the longest.
	tickMost = time.Second
)

// post hands an event to the reducer, in order.
func (r *Router) post(ev core.Event) {
	select {
	case r.events <- ev:
	case <-r.stopped:
	}
}

// loop is the only goroutine that touches the reducer.
func (r *Router) loop(ctx context.Context) {
	defer close(r.stopped)
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
		case f := <-r.inspect:
			f(r.state)
		}
		timer.Reset(r.untilTick())
	}
}

func (r *Router) step(ev core.Event) {
	for _, effect := range r.state.Step(time.Now(), ev) {
		r.carryOut(effect)
	}
}

func (r *Router) untilTick() time.Duration {
	wake := r.state.Wake()
	if wake.IsZero() {
		return tickMost
	}
	return min(max(time.Until(wake), tickMin), tickMost)
}

// look runs f with the reducer's state, between two steps.
func (r *Router) look(ctx context.Context, f func(*reducer.State)) bool {
	finished := make(chan struct{})
	select {
	case r.inspect <- func(s *reducer.State) { f(s); close(finished) }:
		<-finished
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// handler passes what happens on peer connections to the reducer.
type handler struct{ r *Router }

func (h handler) PeerUp(m *wire.Member)     { h.r.post(core.PeerUp{Member: m}) }
func (h handler) PeerDown(id core.RouterID) { h.r.post(core.PeerDown{Peer: id}) }
func (h handler) DialFailed(addr string)    { h.r.post(core.DialFailed{Addr: addr}) }
func (h handler) Message(from core.RouterID, m *wire.Envelope) {
	if h.r.query(from, m) {
		return
	}
	h.r.post(core.PeerMessage{From: from, Message: m})
}
