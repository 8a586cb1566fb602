package orders

import (
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// leaseCall is a key-value call on the way to the lease.
type leaseCall int

const (
	// callGrant makes a lease.
	callGrant leaseCall = iota
	// callAcquire binds the domain's key to it.
	callAcquire
	// callReadNumber and callWrite take the fencing number.
	callReadNumber
	callWriteNumber
	// callConfirm renews the lease once the number is taken: a lease that still
	// stands has stood all along, so no later holder can have a lower number.
	callConfirm
	// callRenew keeps the lease; it is the next call only of a holder.
	callRenew
)

// lease is this router's way to the lease, and the lease once it is held.
type lease struct {
	// nextCall is the call under way, or the one that is due next.
	nextCall leaseCall
	// op is the call under way, 0 if there is none, and sent when it was asked
	// for.
	op     core.OpID
	sentAt time.Time
	// callAt is when the next call is made if none is under way.
	callAt time.Time

	id core.LeaseID
	// holdUntil is the time from which no order may start.
	holdUntil time.Time
	// acquiredAt is when the key was seen to be bound to the lease.
	acquiredAt time.Time
	// number is the fencing number, and index the modify index of the counter
	// that it replaces.
	number       uint64
	counterIndex uint64
	// highestSeen is the highest number that was met at an engine. It outlives the
	// lease: a counter that was restored from an old copy is raised above it.
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

// makeDueCall makes the next call once it is due.
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
	case callReadNumber:
		s.emit(core.KVGet{Op: l.op, Key: NumberKey(s.domain)})
	case callWriteNumber:
		value := strconv.FormatUint(l.number, 10)
		s.emit(core.KVCAS{Op: l.op, Key: NumberKey(s.domain), Value: []byte(value), Index: l.counterIndex})
	case callConfirm, callRenew:
		s.emit(core.LeaseRenew{Op: l.op, Lease: l.id})
	}
}

// acquisitionExpired reports whether a lease that is not held yet is about to end.
func (s *State) acquisitionExpired(now time.Time) bool {
	l := &s.lease
	return l.nextCall != callGrant && l.nextCall != callRenew && !now.Before(l.holdUntil)
}

// handleCallResult takes the result of the call under way.
func (s *State) handleCallResult(now time.Time, r callResult) {
	l := &s.lease
	if l.op == 0 || r.op != l.op {
		return
	}
	l.op, l.callAt = 0, now
	switch r.status {
	case core.KVUnknown, core.KVUnavailable:
		l.callAt = now.Add(callRetryDelay)
		if l.nextCall == callWriteNumber {
			l.nextCall = callReadNumber
		}
	case core.KVLeaseLost:
		s.resetLease(now.Add(callRetryDelay))
	default:
		s.advance(now, r)
	}
}

// advance goes on after a call that was carried out.
func (s *State) advance(now time.Time, r callResult) {
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
		l.acquiredAt, l.nextCall = now, callReadNumber
	case callReadNumber:
		s.chooseNumber(now, r)
	case callWriteNumber:
		if r.status == core.KVConflict {
			l.nextCall, l.callAt = callReadNumber, now.Add(callRetryDelay)
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

// becomeHolder makes this router the holder, which looks at every engine.
func (s *State) becomeHolder(now time.Time) {
	s.lease.nextCall = callRenew
	s.scheduleReads(now)
}

// extendHold takes a renewal. It counts from when it was asked for: the service
// cannot have carried it out before.
func (l *lease) extendHold() {
	l.holdUntil, l.callAt = l.sentAt.Add(HoldPeriod), l.sentAt.Add(renewInterval)
}

// chooseNumber chooses a fencing number above the stored one. It is above the clock,
// too, so that numbers go on growing when the counter is lost or restored from
// an old copy.
func (s *State) chooseNumber(now time.Time, r callResult) {
	l := &s.lease
	var stored uint64
	// A counter that does not exist is made by a write at index 0, whatever index
	// came with the answer.
	l.counterIndex = 0
	if r.status == core.KVOK {
		l.counterIndex = r.index
		var err error
		stored, err = strconv.ParseUint(string(r.value), 10, 64)
		if err != nil || stored >= maxFencingNumber {
			// Only an operator can tell which numbers were given out.
			l.callAt = now.Add(acquireInterval)
			return
		}
	}
	clock := uint64(max(now.UnixMilli(), 0))
	l.number, l.nextCall = max(stored, l.highestSeen, clock)+1, callWriteNumber
	if s.mutations.keepNumber {
		l.number = max(stored, 1)
	}
}

// resetLease forgets the lease; the next attempt starts at the given time. Results of
// what is under way are ignored from now on.
func (s *State) resetLease(next time.Time) {
	s.lease = lease{callAt: next, highestSeen: s.lease.highestSeen}
	for _, e := range s.engines {
		e.op = 0
	}
}

// revokeLease ends a lease that may hold the key.
func (s *State) revokeLease(next time.Time) {
	if s.lease.id != "" {
		s.emit(core.LeaseRevoke{Op: s.newOp(), Lease: s.lease.id})
	}
	s.resetLease(next)
}

// releaseLease gives the lease up when this router has no orders to give any more.
func (s *State) releaseLease() {
	if s.lease.nextCall != callGrant || s.lease.op != 0 {
		s.revokeLease(time.Time{})
	}
}

// mayStartOrder reports whether an order to an engine may start now, and if not when
// it may; zero if that cannot be told.
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
