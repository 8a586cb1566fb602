package claims

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// phase is how far a claim has come.
type phase int

const (
	// phaseCall: a key-value call is awaited.
	phaseStoreCall phase = iota
	// phasePause: a failed call is to be repeated.
	phaseBackoff
	// phaseAsk: the holder of the record is being asked.
	phaseQuery
	// phaseGranted: the nonce stands in the record; the request may be sent.
	phaseGranted
	// phaseSent: the request was handed to an upstream's connection.
	phaseSent
	// phaseOver: nothing will be sent under the nonce any more.
	phaseEnded
)

// claim is one attempt to run an operation. Invariant: it is granted at most
// once, and never after its nonce was declared never sent.
type claim struct {
	serial  uint64
	key     string
	body    string
	nonce   string
	request core.RequestID
	phase   phase
	// writing reports whether the awaited call is a write.
	writing bool
	// writeMayLand means that a write of the nonce may have landed or land later.
	writeMayLand bool
	// otherMayHaveRun means that another attempt is known that may have run.
	otherMayHaveRun bool
	// index is the modify index of the claim's own record, 0 if it is not known.
	index uint64
	// holder, held and heldAt are the router, the nonce and the modify index of
	// a record that is in the way. Only a takeover may write at heldAt.
	holder      core.RouterID
	holderNonce string
	holderIndex uint64
	// failedCalls counts calls without an answer.
	failedCalls   int
	queryDeadline time.Time
	deadline      time.Time
	wake          time.Time
}

// writeRecord puts the claim's record in the place of the one at index; 0 creates it.
func (c *claim) writeRecord(s *State, index uint64) {
	rec := record{Router: s.self, Nonce: c.nonce, Body: c.body, State: stateClaimed}
	c.phase, c.writing = phaseStoreCall, true
	s.emit(core.KVCAS{Op: s.newOp(c), Key: c.key, Value: rec.encode(), Index: index})
	c.setWake(s, c.deadline)
}

// readRecord looks at the record.
func (c *claim) readRecord(s *State) {
	c.phase, c.writing = phaseStoreCall, false
	s.emit(core.KVGet{Op: s.newOp(c), Key: c.key})
	c.setWake(s, c.deadline)
}

// setWake chooses when timeout is due, at the deadline at the latest.
func (c *claim) setWake(s *State, at time.Time) {
	if at.After(c.deadline) {
		at = c.deadline
	}
	c.wake = at
	s.timers.add(at, c)
}

// wakeAt implements resultHandler.
func (c *claim) wakeAt() time.Time { return c.wake }

// handleResult implements resultHandler.
func (c *claim) handleResult(s *State, now time.Time, r core.KVResult) {
	if c.phase == phaseEnded && !s.mutations.acceptLateResult {
		c.removeLateRecord(s, now, r)
		return
	}
	switch {
	case c.writing && r.Status == core.KVOK:
		c.index = r.Index
		c.grant(s)
	case c.writing && r.Status == core.KVConflict:
		c.otherMayHaveRun = true
		c.readRecord(s)
	case !c.writing && r.Status == core.KVOK:
		c.handleRecord(s, now, r)
	case !c.writing && r.Status == core.KVNotFound:
		c.otherMayHaveRun = false
		c.writeRecord(s, 0)
	case r.Status == core.KVUnavailable:
		c.writing = false
		c.endUnsent(s, refuseStoreDown(c.request, c.unsettledOutcome()))
	default:
		c.writeMayLand = c.writeMayLand || c.writing
		c.retry(s, now)
	}
}

// removeLateRecord removes a record that landed after the claim was given up.
func (c *claim) removeLateRecord(s *State, now time.Time, r core.KVResult) {
	if c.writing && r.Status == core.KVOK {
		c.index = r.Index
		s.releaseRecord(now, c)
	}
}

// unsettledOutcome is what may be said when nothing is settled.
func (c *claim) unsettledOutcome() core.Outcome {
	if c.otherMayHaveRun {
		return core.MayHaveRun
	}
	return core.NotRun
}

// retry reads again after a call without an answer, the first time at once.
func (c *claim) retry(s *State, now time.Time) {
	c.failedCalls++
	if c.failedCalls == 1 {
		c.readRecord(s)
		return
	}
	c.phase = phaseBackoff
	c.setWake(s, now.Add(backoff(c.failedCalls-1)))
}

// handleRecord decides by the record that was read.
func (c *claim) handleRecord(s *State, now time.Time, r core.KVResult) {
	rec, err := decodeRecord(r.Value)
	if err != nil {
		c.endUnsent(s, refuseUnknown(c.request, 0))
		return
	}
	if rec.Nonce == c.nonce || s.mutations.ignoreNonce {
		c.index = r.Index
		c.grant(s)
		return
	}
	if d, ok := s.decideFromRecord(c.request, rec, c.body); ok {
		c.endUnsent(s, d)
		return
	}
	c.otherMayHaveRun = true
	c.holder, c.holderNonce, c.holderIndex = rec.Router, rec.Nonce, r.Index
	if c.holder == s.self {
		c.handleNonceState(s, s.nonceState(c.key, c.holderNonce))
		return
	}
	c.queryDeadline = now.Add(queryTimeout)
	c.queryHolder(s, now)
}

// grant lets the request be sent.
func (c *claim) grant(s *State) {
	if c.phase >= phaseGranted && c.phase != phaseEnded || s.neverSent.has(c.nonce) {
		panic("claims: nonce " + c.nonce + " granted after it was settled")
	}
	c.phase = phaseGranted
	c.wake = time.Time{}
	s.out.decisions = append(s.out.decisions, proceed(c.request))
}

// endUnsent refuses or answers the request without sending it.
func (c *claim) endUnsent(s *State, d Decision) {
	s.out.decisions = append(s.out.decisions, d)
	c.abandon(s)
}

// abandon ends the claim unsent. If its record may stand, its nonce is declared
// never sent, which frees the record for others.
func (c *claim) abandon(s *State) (recordMayExist bool) {
	recordMayExist = c.writeMayLand || c.phase == phaseGranted || c.phase == phaseStoreCall && c.writing
	if recordMayExist {
		s.neverSent.add(c.nonce)
	}
	c.unregister(s)
	return recordMayExist
}

// unregister takes the claim out of the state; later results find it over.
func (c *claim) unregister(s *State) {
	c.phase = phaseEnded
	c.wake = time.Time{}
	delete(s.byKey, c.key)
	delete(s.byRequest, c.request)
}

// handleTimeout implements resultHandler.
func (c *claim) handleTimeout(s *State, now time.Time) {
	switch {
	case c.phase == phaseQuery && !now.Before(c.queryDeadline) && s.mutations.takeOverUnconfirmed:
		c.writeRecord(s, c.holderIndex)
	case c.phase == phaseQuery && (!now.Before(c.queryDeadline) || !now.Before(c.deadline)):
		c.endUnsent(s, refuseUnknown(c.request, retryAfterUnknown))
	case !now.Before(c.deadline):
		c.endUnsent(s, refuseStoreDown(c.request, c.unsettledOutcome()))
	case c.phase == phaseQuery:
		c.queryHolder(s, now)
	case c.phase == phaseBackoff:
		c.readRecord(s)
	}
}
