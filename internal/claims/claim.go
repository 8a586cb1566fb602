package claims

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// phase is the stage that a claim has reached.
type phase int

const (
	// phaseStoreCall: waiting for the result of a key-value call.
	phaseStoreCall phase = iota
	// phaseBackoff: waiting to read the record again after a call that got no
	// answer.
	phaseBackoff
	// phaseQuery: waiting for the holder of the record to reply to a query.
	phaseQuery
	// phaseGranted: the record holds the claim's nonce; the request may be sent.
	phaseGranted
	// phaseSent: the Send effect of the request was issued.
	phaseSent
	// phaseEnded: nothing more will be sent under the nonce.
	phaseEnded
)

// claim is one attempt to run an operation. Invariant: it is granted at most
// once, and never after its nonce was declared never sent.
type claim struct {
	serial uint64
	// key is the operation's key in the key-value service.
	key string
	// body is the hash of the request body, in hexadecimal.
	body    string
	nonce   string
	request core.RequestID
	phase   phase
	// writing reports whether the latest key-value call is a write.
	writing bool
	// writeMayLand is set when a write of the nonce got no answer: it may have
	// taken effect or take effect later.
	writeMayLand bool
	// otherMayHaveRun is set while another attempt is known that may have run
	// the operation.
	otherMayHaveRun bool
	// index is the modify index of the claim's own record, 0 if unknown.
	index uint64
	// holder, holderNonce and holderIndex are the router, the nonce and the
	// modify index of another attempt's record under the same key. Only a
	// takeover may write at holderIndex.
	holder      core.RouterID
	holderNonce string
	holderIndex uint64
	// failedCalls counts the key-value calls that got no answer.
	failedCalls int
	// queryDeadline ends the wait for the holder's reply.
	queryDeadline time.Time
	// deadline ends the wait for a decision.
	deadline time.Time
	// wake is when handleTimeout is due; zero if it is not.
	wake time.Time
}

// writeRecord replaces the record whose modify index is index by the claim's
// own; 0 creates the record.
func (c *claim) writeRecord(s *State, index uint64) {
	rec := record{Router: s.self, Nonce: c.nonce, Body: c.body, State: stateClaimed}
	c.phase, c.writing = phaseStoreCall, true
	s.emit(core.KVCAS{Op: s.newOp(c), Key: c.key, Value: rec.encode(), Index: index})
	c.setWake(s, c.deadline)
}

// readRecord reads the record under the operation's key.
func (c *claim) readRecord(s *State) {
	c.phase, c.writing = phaseStoreCall, false
	s.emit(core.KVGet{Op: s.newOp(c), Key: c.key})
	c.setWake(s, c.deadline)
}

// setWake schedules handleTimeout, no later than the claim's deadline.
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
		// A write that was not carried out needs no tombstone.
		c.writing = false
		c.endUnsent(s, refuseStoreDown(c.request, c.unsettledOutcome()))
	default:
		c.writeMayLand = c.writeMayLand || c.writing
		c.retry(s, now)
	}
}

// removeLateRecord removes the claim's record if its write took effect but the
// result came after the claim had ended.
func (c *claim) removeLateRecord(s *State, now time.Time, r core.KVResult) {
	if c.writing && r.Status == core.KVOK {
		c.index = r.Index
		s.releaseRecord(now, c)
	}
}

// unsettledOutcome returns the outcome to report when the claim ends without
// having determined whether the operation ran.
func (c *claim) unsettledOutcome() core.Outcome {
	if c.otherMayHaveRun {
		return core.MayHaveRun
	}
	return core.NotRun
}

// retry reads the record again after a call that got no answer: at once the
// first time, with backoff after that.
func (c *claim) retry(s *State, now time.Time) {
	c.failedCalls++
	if c.failedCalls == 1 {
		c.readRecord(s)
		return
	}
	c.phase = phaseBackoff
	c.setWake(s, now.Add(backoff(c.failedCalls-1)))
}

// handleRecord acts on the record that was read: it grants the claim if the
// record holds its nonce, ends it if the record decides the request, and
// otherwise asks the holder of the record for the state of its nonce.
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

// grant allows the request to be sent.
func (c *claim) grant(s *State) {
	if c.phase >= phaseGranted && c.phase != phaseEnded || s.neverSent.has(c.nonce) {
		panic("claims: nonce " + c.nonce + " granted twice or after it was declared never sent")
	}
	c.phase = phaseGranted
	c.wake = time.Time{}
	s.out.decisions = append(s.out.decisions, proceed(c.request))
}

// endUnsent ends the claim with a decision other than Proceed.
func (c *claim) endUnsent(s *State, d Decision) {
	s.out.decisions = append(s.out.decisions, d)
	c.abandon(s)
}

// abandon ends the claim without sending the request. If its record may exist
// now or later, abandon declares the nonce never sent, so that other attempts
// can take the record over.
func (c *claim) abandon(s *State) (recordMayExist bool) {
	recordMayExist = c.writeMayLand || c.phase == phaseGranted || c.phase == phaseStoreCall && c.writing
	if recordMayExist {
		s.neverSent.add(c.nonce)
	}
	c.unregister(s)
	return recordMayExist
}

// unregister removes the claim from the state and marks it as ended for results
// that arrive later.
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
