package orders

import (
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// leaseCall is one of the key-value calls that acquire and keep the lease. A
// router makes them in the order of the constants; the counter is read again
// after a failed write.
type leaseCall int

const (
	// callGrant creates a lease.
	callGrant leaseCall = iota
	// callAcquire binds the failure domain's key to the lease.
	callAcquire
	// callReadCounter and callWriteCounter raise the fencing counter.
	callReadCounter
	callWriteCounter
	// callConfirm renews the lease after the fencing token was taken. If that
	// succeeds, the lease has not ended in between, so no later holder can have a
	// lower token.
	callConfirm
	// callRenew renews the lease. It is the next call if and only if this router
	// is the holder.
	callRenew
)

// lease is the state of acquiring the lease and, once it is held, of the lease.
type lease struct {
	// nextCall is the call in flight or, if there is none, the next one.
	nextCall leaseCall
	// op is the id of the call in flight, 0 if there is none; sentAt is when the
	// latest call was made.
	op     core.OpID
	sentAt time.Time
	// callAt is when the next call is due if none is in flight.
	callAt time.Time

	id core.LeaseID
	// holdUntil is the time from which on no order may start: HoldPeriod after the
	// lease was requested or its last renewal was requested.
	holdUntil time.Time
	// acquiredAt is when the result arrived that the key is bound to the lease.
	acquiredAt time.Time
	// token is this router's fencing token. counterIndex is the modify index of
	// the counter value that it replaces, 0 if the counter does not exist.
	token        uint64
	counterIndex uint64
	// highestSeen is the highest fencing token that an engine reported. It is
	// kept when the lease ends, so that a counter that was restored from an old
	// copy is raised above it.
	highestSeen uint64
}

// callResult is the result of a key-value call.
type callResult struct {
	op     core.OpID
	status core.KVStatus
	lease  core.LeaseID
	value  []byte
	index  uint64
}

// makeDueCall makes the next call if it is due and none is in flight. If the
// acquisition has expired, it revokes the lease and starts over.
func (s *State) makeDueCall(now time.Time) {
	l := &s.lease
	if l.op != 0 || now.Before(l.callAt) {
		return
	}
	if s.acquisitionExpired(now) {
		s.revokeLease(now)
	}
	l.op, l.sentAt = s.newOp(), now
	switch l.nextCall {
	case callGrant:
		s.emit(core.LeaseGrant{Op: l.op, TTL: LeaseTTL})
	case callAcquire:
		s.emit(core.LeaseAcquire{Op: l.op, Lease: l.id, Key: LeaseKey(s.domain), Value: []byte(s.self)})
	case callReadCounter:
		s.emit(core.KVGet{Op: l.op, Key: FencingCounterKey(s.domain)})
	case callWriteCounter:
		value := strconv.FormatUint(l.token, 10)
		s.emit(core.KVCAS{Op: l.op, Key: FencingCounterKey(s.domain), Value: []byte(value), Index: l.counterIndex})
	case callConfirm, callRenew:
		s.emit(core.LeaseRenew{Op: l.op, Lease: l.id})
	}
}

// acquisitionExpired reports whether HoldPeriod has passed for a lease that was
// created but is not held yet.
func (s *State) acquisitionExpired(now time.Time) bool {
	l := &s.lease
	return l.nextCall != callGrant && l.nextCall != callRenew && !now.Before(l.holdUntil)
}

// handleCallResult handles the result of the call in flight and ignores all
// others.
func (s *State) handleCallResult(now time.Time, r callResult) {
	l := &s.lease
	if l.op == 0 || r.op != l.op {
		return
	}
	l.op, l.callAt = 0, now
	switch r.status {
	case core.KVUnknown, core.KVUnavailable:
		l.callAt = now.Add(callRetryDelay)
		if l.nextCall == callWriteCounter {
			l.nextCall = callReadCounter
		}
	case core.KVLeaseLost:
		s.resetLease(now.Add(callRetryDelay))
	default:
		s.advanceLease(now, r)
	}
}

// advanceLease chooses the next call after the service has answered the last one: it
// has carried the call out, reported a conflict or, for a read of the counter, found
// no value.
func (s *State) advanceLease(now time.Time, r callResult) {
	l := &s.lease
	switch l.nextCall {
	case callGrant:
		l.id, l.nextCall = r.lease, callAcquire
		l.holdUntil = l.sentAt.Add(HoldPeriod)
	case callAcquire:
		if r.status == core.KVConflict {
			s.resetLease(now.Add(acquireInterval))
			return
		}
		l.acquiredAt, l.nextCall = now, callReadCounter
	case callReadCounter:
		s.chooseToken(now, r)
	case callWriteCounter:
		if r.status == core.KVConflict {
			l.nextCall, l.callAt = callReadCounter, now.Add(callRetryDelay)
			return
		}
		l.nextCall = callConfirm
		if s.mutations.skipConfirm {
			s.becomeHolder(now)
		}
	case callConfirm:
		l.extendHold()
		s.becomeHolder(now)
	case callRenew:
		l.extendHold()
	}
}

// becomeHolder makes this router the holder, which starts by reading every
// engine.
func (s *State) becomeHolder(now time.Time) {
	s.lease.nextCall = callRenew
	s.scheduleReads(now)
}

// extendHold extends the time in which orders may start after a renewal. The
// time counts from the request, since the service cannot have renewed the lease
// before it.
func (l *lease) extendHold() {
	l.holdUntil, l.callAt = l.sentAt.Add(HoldPeriod), l.sentAt.Add(renewInterval)
}

// chooseToken chooses a fencing token above the stored one and above the
// highest that an engine reported. It is also above the clock in milliseconds,
// so that tokens keep growing if the counter is lost or restored from an old
// copy.
func (s *State) chooseToken(now time.Time, r callResult) {
	l := &s.lease
	var stored uint64
	// A counter that does not exist is created by a write at index 0, whatever
	// index came with the answer.
	l.counterIndex = 0
	if r.status == core.KVOK {
		l.counterIndex = r.index
		var err error
		stored, err = strconv.ParseUint(string(r.value), 10, 64)
		if err != nil || stored >= maxFencingToken {
			// Only an operator can tell which tokens were taken, so the counter is
			// left as it is and read again later.
			l.callAt = now.Add(acquireInterval)
			return
		}
	}
	clock := uint64(max(now.UnixMilli(), 0))
	l.token, l.nextCall = max(stored, l.highestSeen, clock)+1, callWriteCounter
	if s.mutations.keepToken {
		l.token = max(stored, 1)
	}
}

// resetLease discards the lease and starts the next attempt at the given time.
// Results of calls, reads and orders in flight are ignored from now on.
func (s *State) resetLease(next time.Time) {
	s.lease = lease{callAt: next, highestSeen: s.lease.highestSeen}
	for _, e := range s.engines {
		e.op = 0
	}
}

// revokeLease revokes the lease, which may hold the key, and resets it.
func (s *State) revokeLease(next time.Time) {
	if s.lease.id != "" {
		s.emit(core.LeaseRevoke{Op: s.newOp(), Lease: s.lease.id})
	}
	s.resetLease(next)
}

// releaseLease gives up the lease, or the attempt to acquire it, when this router
// has no orders to give.
func (s *State) releaseLease() {
	if s.lease.nextCall != callGrant || s.lease.op != 0 {
		s.revokeLease(time.Time{})
	}
}

// mayStartOrder reports whether an order to an engine may start now, and if not,
// when it may start; zero if that is unknown.
func (s *State) mayStartOrder(now time.Time, e *engine) (may bool, at time.Time) {
	l := &s.lease
	if l.nextCall != callRenew || !now.Before(l.holdUntil) && !s.mutations.skipHoldPeriod {
		return false, time.Time{}
	}
	if e.checksFencing || s.mutations.skipTakeoverDelay {
		return true, now
	}
	at = l.acquiredAt.Add(TakeoverDelay)
	return !now.Before(at), at
}
