package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// engine is an upstream that has a desired state.
type engine struct {
	id   string
	addr string
	// desired is the body of the order for the desired state.
	desired string
	// checksFencing means that the engine refuses orders with an old fencing
	// token.
	checksFencing bool
	// op is the read or order in flight, 0 if there is none.
	op core.OpID
	// readAt is when the engine is to be read next.
	readAt time.Time
}

// setDesired sets the desired state and schedules a read at once if it has
// changed.
func (e *engine) setDesired(now time.Time, sv service) {
	if e.desired != sv.desired || e.checksFencing != sv.checksFencing {
		e.readAt = now
	}
	e.desired, e.checksFencing = sv.desired, sv.checksFencing
}

// scheduleReads schedules a read of every engine now.
func (s *State) scheduleReads(now time.Time) {
	for _, e := range s.engines {
		e.readAt = now
	}
}

// readDueEngines reads the engines that are due, if this router holds the lease.
func (s *State) readDueEngines(now time.Time) {
	if s.lease.nextCall != callRenew {
		return
	}
	for _, e := range s.dueEngines(now) {
		e.op = s.newOp()
		s.emit(core.OrderQuery{Op: e.op, Upstream: e.id, Addr: e.addr, Name: NameLoad})
	}
}

// dueEngines returns the engines to read now, sorted by id.
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

// completeOp returns the engine that the result of op is about and marks op as
// completed; nil if no engine waits for op.
func (s *State) completeOp(op core.OpID) *engine {
	for _, e := range s.engines {
		if op != 0 && e.op == op {
			e.op = 0
			return e
		}
	}
	return nil
}

// handleRead compares the state that was read from an engine with its desired
// state, and orders the latter if they differ.
func (s *State) handleRead(now time.Time, ev core.OrderQueryResult) {
	e := s.completeOp(ev.Op)
	if e == nil {
		return
	}
	e.readAt = now.Add(orderRetryDelay)
	if !ev.Known || ev.HighestToken >= maxFencingToken {
		return
	}
	s.lease.highestSeen = max(s.lease.highestSeen, ev.HighestToken)
	switch {
	case ev.HighestToken > s.lease.token:
		s.stepDown(now)
	case s.inDesiredState(e, ev):
		e.readAt = now.Add(readInterval)
	default:
		s.startOrder(now, e)
	}
}

// inDesiredState reports whether an engine needs no order. An engine that checks
// fencing tokens needs an order from each new holder, so that it refuses orders
// of earlier holders.
func (s *State) inDesiredState(e *engine, ev core.OrderQueryResult) bool {
	return ev.Body == e.desired && (!e.checksFencing || ev.FencingToken >= s.lease.token)
}

// startOrder sends the order for the desired state if it may start now, and
// otherwise schedules another read for when it may.
func (s *State) startOrder(now time.Time, e *engine) {
	may, at := s.mayStartOrder(now, e)
	if !may {
		if !at.IsZero() {
			e.readAt = at
		}
		return
	}
	sendBefore := s.lease.holdUntil
	if s.mutations.skipHoldPeriod {
		sendBefore = now.Add(OrderTimeout)
	}
	e.op = s.newOp()
	s.emit(core.Order{
		Op: e.op, Upstream: e.id, Addr: e.addr,
		Name: NameLoad, Body: e.desired, FencingToken: s.lease.token,
		SendBefore: sendBefore, Deadline: now.Add(OrderTimeout),
	})
}

// handleOrderResult handles the result of an order. It steps down if the engine
// refused the fencing token; otherwise the engine is read again, whatever the
// result.
func (s *State) handleOrderResult(now time.Time, ev core.OrderResult) {
	e := s.completeOp(ev.Op)
	if e == nil {
		return
	}
	switch ev.Status {
	case core.OrderFenced:
		s.stepDown(now)
	case core.OrderApplied:
		e.readAt = now
	default:
		e.readAt = now.Add(orderRetryDelay)
	}
	if s.mutations.skipReread {
		e.readAt = now.Add(time.Hour)
	}
}

// stepDown gives up the lease because an engine has seen a higher fencing token
// than this router's. If no other router holds the lease, the counter was set
// back, and the next attempt raises it above highestSeen.
func (s *State) stepDown(now time.Time) { s.revokeLease(now.Add(callRetryDelay)) }
