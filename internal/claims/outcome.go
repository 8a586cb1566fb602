package claims

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// MarkSent records that the Send effect of a granted request is issued now. It
// panics if the request was not granted or was sent before.
func (s *State) MarkSent(now time.Time, r core.RequestID) {
	c := s.claimOf(r)
	if c.phase != phaseGranted || s.neverSent.has(c.nonce) {
		panic(fmt.Sprintf("claims: request %s sent without a valid grant, in phase %d", r, c.phase))
	}
	c.phase = phaseSent
}

// Finish records the outcome of a request that ran. A nil answer was too large to
// keep; one above MaxAnswerBytes, or above the limit on all pending answers, is
// not kept either. Repeats are then refused instead of answered.
func (s *State) Finish(now time.Time, r core.RequestID, status int, answer []byte) []core.Effect {
	c := s.claimOf(r)
	if c.phase != phaseSent {
		panic(fmt.Sprintf("claims: request %s finished without having been sent, in phase %d", r, c.phase))
	}
	final := s.finalRecord(c, stateDone)
	final.Status = status
	if answer != nil && len(answer) <= MaxAnswerBytes && s.pendingAnswerBytes+len(answer) <= maxPendingAnswerBytes {
		final.Answer = &answer
	}
	return s.recordOutcome(now, c, final)
}

// RecordFailure ends a request that got no complete answer. If no byte of it was sent,
// another attempt may run the operation, under its own nonce; otherwise the
// operation is recorded as one that may have run.
func (s *State) RecordFailure(now time.Time, r core.RequestID, sent bool) []core.Effect {
	c := s.claimOf(r)
	if c.phase != phaseSent && c.phase != phaseGranted {
		panic(fmt.Sprintf("claims: request %s failed without a grant, in phase %d", r, c.phase))
	}
	if sent {
		return s.recordOutcome(now, c, s.finalRecord(c, stateMaybe))
	}
	s.neverSent.add(c.nonce)
	c.unregister(s)
	s.releaseRecord(now, c)
	effects, _ := s.takeOutput()
	return effects
}

// GiveUp ends the claim of a request whose caller has disconnected or that is
// refused for another reason. It does nothing if the request has no claim.
func (s *State) GiveUp(now time.Time, r core.RequestID) []core.Effect {
	c := s.byRequest[r]
	switch {
	case c == nil:
		return nil
	case c.phase == phaseSent:
		return s.RecordFailure(now, r, true)
	}
	if c.abandon(s) {
		s.releaseRecord(now, c)
	}
	effects, _ := s.takeOutput()
	return effects
}

// claimOf returns the claim of a request; it panics if there is none.
func (s *State) claimOf(r core.RequestID) *claim {
	c := s.byRequest[r]
	if c == nil {
		panic(fmt.Sprintf("claims: request %s has no claim", r))
	}
	return c
}

func (s *State) finalRecord(c *claim, state recordState) *record {
	return &record{Router: s.self, Nonce: c.nonce, Body: c.body, State: state}
}

// recordOutcome ends a claim and starts to write its outcome to the store.
func (s *State) recordOutcome(now time.Time, c *claim, final *record) []core.Effect {
	c.unregister(s)
	s.startUpdate(now, &recordUpdate{key: c.key, nonce: c.nonce, index: c.index, final: final, deadline: now.Add(recordTimeout)})
	effects, _ := s.takeOutput()
	return effects
}

// releaseRecord starts to remove the record of a claim that was not sent, which
// spares other routers the query to its holder.
func (s *State) releaseRecord(now time.Time, c *claim) {
	index := c.index
	if s.mutations.releaseOtherRecord {
		index = c.holderIndex
	}
	s.startUpdate(now, &recordUpdate{key: c.key, nonce: c.nonce, index: index, deadline: now.Add(releaseTimeout)})
}
