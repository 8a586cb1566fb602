package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// engine is one upstream with a wanted state.
type engine struct {
	id   string
	addr string
	// desired is the body of the order that brings about the wanted state.
	desired       string
	checksFencing bool
	// op is the read or order under way, 0 if there is none.
	op core.OpID
	// readAt is when the engine is read next.
	readAt time.Time
}

// setDesired takes the wanted state; the engine is read at once if it has changed.
func (e *engine) setDesired(now time.Time, sv service) {
	if e.desired != sv.desired || e.checksFencing != sv.checksFencing {
		e.readAt = now
	}
	e.desired, e.checksFencing = sv.desired, sv.checksFencing
}

// scheduleReads makes the holder read every engine now.
func (s *State) scheduleReads(now time.Time) {
	for _, e := range s.engines {
		e.readAt = now
	}
}

// readDueEngines reads the engines whose time has come.
func (s *State) readDueEngines(now time.Time) {
	if s.lease.nextCall != callRenew {
		return
	}
	for _, e := range s.dueEngines(now) {
		e.op = s.newOp()
		s.emit(core.OrdersRead{Op: e.op, Upstream: e.id, Addr: e.addr, Name: NameLoad})
	}
}

// dueEngines lists the engines to read now, by id.
func (s *State) dueEngines(now time.Time) []*engine {
	var due []*engine
	for _, e := range s.engines {
		if e.op == 0 && !now.Before(e.readAt) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *engine) int { return strings.Compare(a.id, b.id) })
	return due
}

// completeOp finds the engine that a result is about and ends the wait for it.
func (s *State) completeOp(op core.OpID) *engine {
	for _, e := range s.engines {
		if op != 0 && e.op == op {
			e.op = 0
			return e
		}
	}
	return nil
}

// handleRead compares what an engine has with what is wanted.
func (s *State) handleRead(now time.Time, ev core.OrdersSeen) {
	e := s.completeOp(ev.Op)
	if e == nil {
		return
	}
	e.readAt = now.Add(orderRetryDelay)
	if !ev.Known || ev.Highest >= maxFencingNumber {
		return
	}
	s.lease.highestSeen = max(s.lease.highestSeen, ev.Highest)
	switch {
	case ev.Highest > s.lease.number:
		s.stepDown(now)
	case s.inDesiredState(e, ev):
		e.readAt = now.Add(readInterval)
	default:
		s.startOrder(now, e)
	}
}

// inDesiredState reports whether an engine needs no order. One that checks numbers gets
// an order of each holder, so that it refuses those of earlier ones.
func (s *State) inDesiredState(e *engine, ev core.OrdersSeen) bool {
	return ev.Body == e.desired && (!e.checksFencing || ev.Number >= s.lease.number)
}

// startOrder starts an order if it may start now.
func (s *State) startOrder(now time.Time, e *engine) {
	may, at := s.mayStartOrder(now, e)
	if !may {
		if !at.IsZero() {
			e.readAt = at
		}
		return
	}
	latestStart := s.lease.holdUntil
	if s.mutations.skipHoldPeriod {
		latestStart = now.Add(OrderTimeout)
	}
	e.op = s.newOp()
	s.emit(core.Order{
		Op: e.op, Upstream: e.id, Addr: e.addr,
		Name: NameLoad, Body: e.desired, Number: s.lease.number,
		Latest: latestStart, Deadline: now.Add(OrderTimeout),
	})
}

// handleOrderResult takes the end of an order. Whatever it was, the engine is read again.
func (s *State) handleOrderResult(now time.Time, ev core.OrderResult) {
	e := s.completeOp(ev.Op)
	if e == nil {
		return
	}
	switch ev.Status {
	case core.OrderFenced:
		s.stepDown(now)
	case core.OrderObeyed:
		e.readAt = now
	default:
		e.readAt = now.Add(orderRetryDelay)
	}
	if s.mutations.skipReread {
		e.readAt = now.Add(time.Hour)
	}
}

// stepDown gives the lease up: a higher number than this router's is in use.
// If no other router holds the lease, the counter had gone back, and the next
// attempt raises it above the number that was met.
func (s *State) stepDown(now time.Time) { s.revokeLease(now.Add(callRetryDelay)) }
