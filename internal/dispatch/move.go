package dispatch

import (
	"slices"
	"time"
)

// A stream whose prompt has been read is moved to an upstream that reads no long
// prompts, where its events arrive without pauses. This is needed under loads where
// long prompts keep their upstreams reading all the time.
const (
	// minMoveTokens is the least number of expected output tokens for which a move pays
	// off: it copies the memory of the whole prompt.
	minMoveTokens = 120
	// maxTargetMemory and maxTargetSlots are the fractions of a target's memory and
	// slots up to which it accepts moved streams.
	maxTargetMemory = 0.8
	maxTargetSlots  = 0.85
	// maxMovesPerTarget bounds the concurrent moves of one router to one upstream,
	// since they share its network link.
	maxMovesPerTarget = 2
)

// move is the state of moving one request's stream.
type move struct {
	// target is the destination of a move in progress, with the load reserved there.
	target       *upstream
	reservedLoad Load
	// source and handle locate the memory at the upstream that it was moved from,
	// until the target has started the attempt.
	source *upstream
	handle string
}

// considerMove starts a move of a stream that has just started, if it pays off.
func (s *State) considerMove(now time.Time, r *request) {
	e := s.engine(r.Service)
	if e == nil || !e.Moves || r.move.target != nil || r.move.handle != "" || r.upstream.class == classDecode {
		return
	}
	if r.upstream.isEvacuated() || r.Prompt.ExpectedOutput() < minMoveTokens {
		// A stream that cannot be moved after all goes back, which an evacuated upstream does
		// not allow.
		return
	}
	target := s.moveTarget(now, r)
	if target == nil {
		return
	}
	r.move.target = target
	r.move.reservedLoad = Load{Running: 1, DecodeAttempts: 1, Memory: memoryNeed(r, 0)}
	target.local.add(r.move.reservedLoad)
	target.incomingMoves++
	s.emit(Move{ID: r.ID, Attempt: r.attempt, From: r.upstream.Instance, To: target.Instance})
}

// moveTarget returns the upstream with the fewest attempts that has room for the stream,
// nil if there is none. Upstreams in the failure domain of the source come first: copies
// between domains take twice as long.
func (s *State) moveTarget(now time.Time, r *request) (best *upstream) {
	e := s.engine(r.Service)
	for _, u := range s.services[r.Service] {
		if u.class != classDecode || u == r.upstream || !s.mayReach(r, u) || !u.acceptsWork(now) || u.limit.perSecond > 0 || s.takesNoMoves(now, u) || u.incomingMoves >= maxMovesPerTarget ||
			slices.Contains(r.failedUpstreams, u.ID) || !s.health.Available(u.ID, now) {
			continue
		}
		memory := u.memory() + memoryNeed(r, 0)
		if float64(memory) > maxTargetMemory*float64(e.CacheTokens) || float64(u.running()) >= maxTargetSlots*float64(e.Slots) {
			continue
		}
		if best == nil || s.betterTarget(r.upstream, u, best) {
			best = u
		}
	}
	return best
}

// betterTarget reports whether a is a better move target than b.
func (s *State) betterTarget(from, a, b *upstream) bool {
	if (a.Domain == from.Domain) != (b.Domain == from.Domain) {
		return a.Domain == from.Domain
	}
	return float64(a.running())*b.speed < float64(b.running())*a.speed
}

// cancelMove releases the load reserved for a move.
func (s *State) cancelMove(r *request) {
	if r.move.target == nil {
		return
	}
	r.move.target.local.sub(r.move.reservedLoad)
	r.move.target.incomingMoves--
	r.move.target = nil
}

// handleMoveFailed ends a move that was not completed.
func (s *State) handleMoveFailed(e MoveFailed) {
	if r := s.activeRequest(e.ID, e.Attempt); r != nil {
		s.cancelMove(r)
	}
}

// MayHandOver reports whether the stream of an attempt may be stopped to continue at the
// target of its move.
func (s *State) MayHandOver(id string, attempt int) bool {
	r := s.activeRequest(id, attempt)
	return r != nil && r.move.target != nil && r.move.target.leftAt.IsZero() && !r.move.target.isEvacuated() && !r.upstream.isEvacuated()
}

// handleMoved continues a stopped stream at the upstream that has its memory: the target, or
// the source if the memory stayed there or the target has left meanwhile.
func (s *State) handleMoved(now time.Time, e Moved) {
	r := s.activeRequest(e.ID, e.Attempt)
	if r == nil || r.move.target == nil {
		return
	}
	target, source := r.move.target, r.upstream
	r.responseStarted, r.lastEventID = true, e.LastEventID
	s.releaseAttempt(r)
	r.move.source, r.move.handle = source, e.Handle
	if e.AtSource || !target.mayContinue(now) {
		target = source
	}
	if !target.mayContinue(now) {
		s.abandonMoved(now, r, source)
		return
	}
	s.continueMoved(now, r, target)
}

// abandonMoved lets a stopped stream whose memory cannot be reached any more go on
// elsewhere, if it may be resumed.
func (s *State) abandonMoved(now time.Time, r *request, source *upstream) {
	r.move.source = nil
	r.possibleRuns++
	r.failedUpstreams = append(r.failedUpstreams, source.ID)
	if !s.mayResume(r) || !s.chargeRetry(r) {
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonBroken})
		return
	}
	s.admit(now, r)
}

// continueMoved starts the attempt that continues from moved memory.
func (s *State) continueMoved(now time.Time, r *request, target *upstream) {
	r.attempt++
	r.upstream, r.sentAt, r.silentSince, r.firstByteReceived, r.aborting = target, now, now, false, false
	r.expectedWork = 0
	r.load = Load{Running: 1, Memory: memoryNeed(r, 0) + r.beyondExpected}
	if target.class == classDecode {
		r.load.DecodeAttempts = 1
	}
	target.local.add(r.load)
	target.limit.take(now)
	target.cold.Take(now)
	s.emit(Send{
		ID: r.ID, Attempt: r.attempt, Upstream: target.Instance, ResumeAfter: r.lastEventID, ExpiresAt: r.expiresAt,
		ContinueFrom: r.move.source.Addr + "/" + r.move.handle, Waited: now.Sub(r.arrivedAt),
		Limited: target.limit.perSecond > 0,
	})
	if target == r.move.source {
		r.move.source = nil
	}
}

// returnToSource sends a moved stream that its target did not run back to the upstream
// that it was moved from, once.
func (s *State) returnToSource(now time.Time, r *request, e Failed) bool {
	source := r.move.source
	if source == nil || e.MayHaveRun || e.Replaced || source == r.upstream {
		r.move.source = nil
		return false
	}
	s.releaseAttempt(r)
	if !source.mayContinue(now) {
		s.abandonMoved(now, r, source)
		return true
	}
	s.continueMoved(now, r, source)
	return true
}
