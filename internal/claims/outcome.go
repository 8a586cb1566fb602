package claims

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Sent notes that the Send effect of a granted request is being issued. It
// panics if the request was not granted or was sent before.
func (s *State) Sent(now time.Time, r core.RequestID) {
	c := s.claimOf(r)
	if c.phase != phaseGranted || s.neverSent.has(c.nonce) {
		panic(fmt.Sprintf("claims: request %s sent in phase %d", r, c.phase))
	}
	c.phase = phaseSent
}

// Finish records the outcome of a request that ran. A nil answer was too large
// to keep: a repeat is then refused instead of answered.
func (s *State) Finish(now time.Time, r core.RequestID, status int, answer []byte) []core.Effect {
	c := s.claimOf(r)
	if c.phase != phaseSent {
		panic(fmt.Sprintf("claims: request %s finished in phase %d", r, c.phase))
	}
	final := s.finalRecord(c, stateDone)
	final.Status = status
	if answer != nil && len(answer) <= MaxAnswerBytes && s.pendingAnswerBytes+len(answer) <= maxPendingAnswerBytes {
		final.Answer = &answer
	}
	return s.recordOutcome(now, c, final)
}

// Failed ends a request that got no whole answer. If no byte of it was sent,
// the operation is free for another attempt, under a nonce of its own; else it
// is recorded as one that may have run.
func (s *State) Failed(now time.Time, r core.RequestID, sent bool) []core.Effect {
	c := s.claimOf(r)
	if c.phase != phaseSent && c.phase != phaseGranted {
		panic(fmt.Sprintf("claims: request %s failed in phase %d", r, c.phase))
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

// GiveUp ends a request whose caller has gone or that is refused for another
// reason. A request that has no claim is left alone.
func (s *State) GiveUp(now time.Time, r core.RequestID) []core.Effect {
	c := s.byRequest[r]
	switch {
	case c == nil:
		return nil
	case c.phase == phaseSent:
		return s.Failed(now, r, true)
	}
	if c.abandon(s) {
		s.releaseRecord(now, c)
	}
	effects, _ := s.takeOutput()
	return effects
}

// claimOf returns the claim of a request that must have one.
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

// recordOutcome records how an operation ended.
func (s *State) recordOutcome(now time.Time, c *claim, final *record) []core.Effect {
	c.unregister(s)
	s.startUpdate(now, &recordUpdate{key: c.key, nonce: c.nonce, index: c.index, final: final, deadline: now.Add(recordTimeout)})
	effects, _ := s.takeOutput()
	return effects
}

// releaseRecord removes a claim's record, so that others need not ask about it.
func (s *State) releaseRecord(now time.Time, c *claim) {
	index := c.index
	if s.mutations.releaseOtherRecord {
		index = c.holderIndex
	}
	s.startUpdate(now, &recordUpdate{key: c.key, nonce: c.nonce, index: index, deadline: now.Add(releaseTimeout)})
}
