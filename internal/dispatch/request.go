package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// handleArrival admits a new request: it is sent, waits, or is refused immediately.
func (s *State) handleArrival(now time.Time, req *Request) {
	r := &request{Request: req, class: classify(req.Prompt), traits: traitsOf(req), arrivedAt: now, expiresAt: req.Deadline, lastEventID: req.ResumeAfter}
	if t := req.Route.Timeout; t > 0 && now.Add(t).Before(r.expiresAt) {
		r.expiresAt = now.Add(t)
	}
	if s.table != nil {
		r.regions = s.table.AllowedRegions(r.Route, r.Organisation)
	}
	if s.refuseIfBlocked(now, r) {
		return
	}
	r.queueDeadline = s.queueDeadline(r)
	s.requests[r.ID] = r
	s.shares.recordDemand(now, r.Organisation, s.shareCost(r))
	if e := s.engine(r.Service); e != nil && r.Prompt.Tokens+r.Prompt.MaxOutput > e.CacheTokens {
		s.refuse(now, r, ReasonTooLarge)
		return
	}
	s.admit(now, r)
}

// queueDeadline returns the time until which a request may wait. For a request that
// has not run it is when an answer can no longer be in time.
func (s *State) queueDeadline(r *request) time.Time {
	var at time.Time
	if r.possibleRuns > 0 {
		// The request may have run, so it is not refused with a Retry-After: it may
		// wait until it expires.
		return r.expiresAt
	}
	if s.engine(r.Service) != nil {
		target := time.Duration(queueTimeFraction * float64(r.Route.LatencyTarget))
		at = r.arrivedAt.Add(max(0, target-s.prefillTime(r.Prompt.Tokens)/2))
	} else {
		at = r.arrivedAt.Add(time.Duration(plainQueueTimeFraction * float64(r.expiresAt.Sub(r.arrivedAt))))
	}
	if at.After(r.expiresAt) {
		return r.expiresAt
	}
	return at
}

// shareCost returns the size of a request in the unit in which shares are measured:
// prompt tokens once and expected output tokens twice.
func (s *State) shareCost(r *request) float64 {
	return float64(r.Prompt.Tokens + 2*r.Prompt.ExpectedOutput())
}

// Size is what a request counts for its organisation's share, in tokens, and the
// workload class that it belongs to.
type Size struct {
	Cost  float64
	class workloadClass
}

// String formats the size for logs.
func (s Size) String() string { return fmt.Sprintf("%.0f %s", s.Cost, s.class) }

// sizeOf returns the size of a request.
func (s *State) sizeOf(r *request) Size { return Size{Cost: s.shareCost(r), class: r.class} }

// admit sends a request, queues it, or refuses it if waiting cannot help.
func (s *State) admit(now time.Time, r *request) {
	readyAt, ok := s.availableTo(now, r)
	if !ok {
		s.refuseOrFail(now, r, s.unavailableReason(r))
		return
	}
	if readyAt.After(now) && readyAt.After(r.queueDeadline) {
		s.refuseOrFail(now, r, ReasonNoUpstream)
		return
	}
	if r.sends > 0 {
		// The request was admitted before; this is a retry.
		if s.refuseIfBlocked(now, r) {
			return
		}
		s.readmit(now, r)
		return
	}
	q := s.queueFor(r)
	if s.mustYield(now, r) {
		s.refuseOrFail(now, r, ReasonOverShare)
		return
	}
	if q.size == 0 && s.trySend(now, r) {
		return
	}
	if r.overShare {
		s.refuseOrFail(now, r, ReasonOverShare)
		return
	}
	q.lastFullAt = now
	if s.queueTooLong(now, q, r) {
		s.refuseOrFail(now, r, ReasonOverloaded)
		return
	}
	s.enqueue(r)
	s.drainService(now, r.Service)
}

// mustYield reports whether a request has to be refused because its organisation is
// over its share while requests of the same service and class find no room. An
// organisation far over its share yields always, since the share follows the measured
// throughput of the engines. It also yields while requests of the other class find no
// room, so that what it gets does not depend on the kind of request it sends.
func (s *State) mustYield(now time.Time, r *request) bool {
	if s.engine(r.Service) == nil {
		return false
	}
	r.share = s.shareOf(now, r.Organisation, r.Service, r.class)
	excess := r.share.Excess
	r.overShare = excess > 1
	if excess > maxExcess || r.overShare && s.contended(now, queueKey{r.Service, r.class}) {
		return true
	}
	if s.contended(now, queueKey{r.Service, r.class.other()}) {
		return s.shares.charged(now, r.Organisation) > maxExcess
	}
	return false
}

// readmit sends a request again, or queues it.
func (s *State) readmit(now time.Time, r *request) {
	switch {
	case s.trySend(now, r):
	case !now.Before(r.queueDeadline):
		s.refuseOrFail(now, r, ReasonWaited)
	default:
		s.enqueue(r)
	}
}

// queueTooLong reports whether the queued prefill work takes longer, at the present
// drain rate, than this request may wait.
func (s *State) queueTooLong(now time.Time, q *queue, r *request) bool {
	rate := q.drainRate.read(now)
	if s.engine(r.Service) == nil || rate <= 0 || q.size == 0 {
		return false
	}
	expected := time.Duration(float64(q.prefillWork) / rate)
	return now.Add(expected).After(r.queueDeadline)
}

// trySend sends a request if an upstream has room for it.
func (s *State) trySend(now time.Time, r *request) bool {
	s.shortOfMemory = false
	choice, ok := s.place(now, r)
	if !ok || !s.health.Admit(choice.upstream.ID, now) {
		return false
	}
	if r.waiting {
		s.dequeue(r)
	}
	s.send(now, r, choice)
	return true
}

// send starts an attempt at the chosen upstream.
func (s *State) send(now time.Time, r *request, choice candidate) {
	if r.sends == 0 {
		s.health.RecordFirstSend(r.Service)
	}
	r.sends++
	r.attempt++
	r.upstream, r.sentAt, r.silentSince, r.firstByteReceived, r.aborting = choice.upstream, now, now, false, false
	r.survived = false
	r.load = Load{Running: 1, Prefill: choice.prefillTokens, Memory: memoryNeed(r, choice.cachedTokens)}
	if r.class == classDecode {
		r.load.DecodeAttempts = 1
	}
	r.expectedWork = s.expectedWork(r, choice)
	r.beyondExpected = 0
	choice.upstream.local.add(r.load)
	choice.upstream.limit.take(now)
	r.sentCold = s.isCold(now, choice.upstream)
	choice.upstream.cold.Take(now)
	r.beginUnanswered(choice.firstByte)
	s.recordPrompt(r.Service, choice.prefillTokens)
	s.unreportedTokens += r.load.Prefill + slotChangeTokens
	s.shares.recordStart(now, r.Organisation, s.shareCost(r))
	s.queueFor(r).drainRate.add(now, float64(s.prefillTime(r.Prompt.Tokens)))
	s.recordPlacements(choice.upstream, choice.upstream.cache.recordUse(now, r.Prompt.shared(), false))
	e := Send{
		ID: r.ID, Attempt: r.attempt, Upstream: choice.upstream.Instance, ResumeAfter: r.lastEventID, ExpiresAt: r.expiresAt,
		Waited: now.Sub(r.arrivedAt), Predicted: choice.firstByte, Backlog: choice.backlog, Cached: choice.cachedTokens, Share: r.share, Size: s.sizeOf(r),
		Limited: choice.upstream.limit.perSecond > 0,
	}
	if choice.fetchFrom != nil {
		e.FetchFrom = choice.fetchFrom.Addr
	}
	s.emit(e)
}

// handleFirstByte records that the prompt of an attempt has been read.
func (s *State) handleFirstByte(now time.Time, e FirstByteReceived) {
	r := s.activeRequest(e.ID, e.Attempt)
	if r == nil || r.firstByteReceived {
		return
	}
	s.recordAnswer(now, r)
	r.endUnanswered()
	r.firstByteReceived, r.firstByteAt = true, now
	s.recordSpeed(now, r)
	r.upstream.local.Prefill -= r.load.Prefill
	s.unreportedTokens += r.load.Prefill
	r.load.Prefill = 0
	s.recordPlacements(r.upstream, r.upstream.cache.recordUse(now, r.Prompt.shared(), true))
	s.considerMove(now, r)
	if s.engine(r.Service) == nil {
		s.health.RecordFirstByte(r.upstream.ID, r.Service, now, now.Sub(r.sentAt))
	}
	s.drainService(now, r.Service)
}

// activeRequest returns the request whose current attempt is the given one, or nil.
func (s *State) activeRequest(id string, attempt int) *request {
	if r := s.requests[id]; r != nil && !r.waiting && r.attempt == attempt && r.upstream != nil {
		return r
	}
	return nil
}

// releaseAttempt removes the load of a request's attempt from its upstream.
func (s *State) releaseAttempt(r *request) {
	if r.upstream == nil {
		return
	}
	s.cancelMove(r)
	r.endUnanswered()
	r.upstream.local.sub(r.load)
	s.unreportedTokens += r.load.Prefill + slotChangeTokens
	if !r.firstByteReceived {
		r.upstream.cache.removeUnread(r.Prompt.shared())
	}
	r.upstream, r.load = nil, Load{}
}

// handleDone ends a request whose answer was delivered.
func (s *State) handleDone(now time.Time, e Done) {
	r := s.activeRequest(e.ID, e.Attempt)
	if r == nil {
		return
	}
	s.health.RecordSuccess(r.upstream.ID, r.Service, now)
	s.recordComplete(now, r.upstream)
	s.poison.Succeeded(now, r.traits)
	s.releaseAttempt(r)
	delete(s.requests, r.ID)
	s.drainService(now, r.Service)
}

// handleCallerLeft removes a request whose caller has disconnected.
func (s *State) handleCallerLeft(now time.Time, id string) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if r.waiting {
		s.dequeue(r)
	}
	s.releaseAttempt(r)
	delete(s.requests, id)
	s.drainService(now, r.Service)
}

// endAll ends all requests, since this router stops: those that have not run are refused.
func (s *State) endAll(now time.Time) {
	for _, r := range slices.SortedFunc(maps.Values(s.requests), func(a, b *request) int { return cmp.Compare(a.ID, b.ID) }) {
		if r.waiting {
			s.dequeue(r)
			s.refuse(now, r, ReasonStopping)
			continue
		}
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonStopping})
	}
}

// handleFailure ends an attempt that failed. The request is retried if that is
// allowed, and ends with a final effect otherwise.
func (s *State) handleFailure(now time.Time, e Failed) {
	r := s.activeRequest(e.ID, e.Attempt)
	if r == nil {
		return
	}
	if s.returnToSource(now, r, e) {
		return
	}
	if !e.Local && !e.Withheld {
		s.health.RecordFailure(r.upstream.ID, r.Service, now, e.Kind)
		r.failedUpstreams = append(r.failedUpstreams, r.upstream.ID)
		s.markUnavailable(now, r.upstream, e)
	}
	s.recordBadAnswer(now, r, e)
	s.recordBreak(now, r, e)
	if !e.MayHaveRun {
		s.shares.recordStart(now, r.Organisation, -s.shareCost(r))
	}
	s.releaseAttempt(r)
	if e.MayHaveRun {
		r.possibleRuns++
		r.queueDeadline = s.queueDeadline(r)
	}
	if e.ResponseStarted {
		r.responseStarted, r.lastEventID = true, e.LastEventID
	}
	service := r.Service
	s.retryOrEnd(now, r, e)
	s.drainService(now, service)
}

// markUnavailable excludes an upstream that cannot take work: until its entry changes
// if another instance answers at its address, and for unreachableHold if nothing
// listens there.
func (s *State) markUnavailable(now time.Time, u *upstream, e Failed) {
	switch {
	case e.Replaced:
		u.replaced = true
	case e.Unreachable:
		u.unavailableUntil = laterOf(u.unavailableUntil, now.Add(unreachableHold))
		s.noteUnreachable(now, u)
	}
}

// retryOrEnd decides what follows a failed attempt: a retry or a final effect.
func (s *State) retryOrEnd(now time.Time, r *request, e Failed) {
	// A connection that could not be established did not reach the upstream, so
	// the retry budget is not charged.
	notAttempted := e.Kind == core.FailDial && !e.MayHaveRun
	switch {
	case r.responseStarted && !s.mayResume(r):
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonBroken})
	case brokenConnection(e) && s.poison.Suspected(r.traits):
		// Another upstream might crash as well.
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonCrashes})
	case r.possibleRuns > 0 && !s.mayRetry(r):
		s.fail(now, r, Fail{ID: r.ID, Reason: s.noRetryReason(r)})
	case e.Local:
		// Another upstream would not help, since this router lacks the resources; the
		// caller may try another router.
		s.refuseOrFail(now, r, ReasonResources)
	case r.sends >= maxSends || !now.Before(r.expiresAt):
		s.refuseOrFail(now, r, ReasonAttempts)
	case !notAttempted && !s.chargeRetry(r):
		s.refuseOrFail(now, r, ReasonNotExecuted)
	default:
		s.admit(now, r)
	}
}

// chargeRetry charges the retry budget for a retry, unless it was charged already. It
// returns false if the budget is exhausted.
func (s *State) chargeRetry(r *request) bool {
	if r.retryCharged {
		r.retryCharged = false
		return true
	}
	return s.health.TakeRetry(r.Service)
}

// noRetryReason returns why a request that may have run is not retried.
func (s *State) noRetryReason(r *request) Reason {
	if r.Route.Kind.Repeatable() {
		return ReasonAttempts
	}
	return ReasonMayHaveRun
}

// mayRetry reports whether a request may run on another upstream. The current attempt
// counts as one that may have run.
func (s *State) mayRetry(r *request) bool {
	ran := r.possibleRuns
	if r.upstream != nil {
		ran++
	}
	return r.Route.Kind.Repeatable() && ran < r.Route.MaxAttempts && r.sends < maxSends
}

// mayResume reports whether a stream that has started may continue on another upstream.
func (s *State) mayResume(r *request) bool {
	return s.mayRetry(r) && r.Route.Kind.Streaming() && r.lastEventID != ""
}

// refuseOrFail ends a request that is not sent again: it is refused if it has not
// run, and fails otherwise.
func (s *State) refuseOrFail(now time.Time, r *request, reason Reason) {
	if r.possibleRuns > 0 || r.responseStarted {
		s.fail(now, r, Fail{ID: r.ID, Reason: reason})
		return
	}
	s.refuse(now, r, reason)
}

// refuse ends a request that has not run; a request that may have run fails instead.
func (s *State) refuse(now time.Time, r *request, reason Reason) {
	if r.possibleRuns > 0 || r.responseStarted {
		s.fail(now, r, Fail{ID: r.ID, Reason: reason})
		return
	}
	delete(s.requests, r.ID)
	s.emit(Refuse{ID: r.ID, Reason: reason, RetryAfter: s.retryAfter(now, r), Share: r.share, Size: s.sizeOf(r)})
}

// fail ends a request that may have run.
func (s *State) fail(now time.Time, r *request, e Fail) {
	if r.upstream != nil && !r.firstByteReceived {
		s.health.RecordFailure(r.upstream.ID, r.Service, now, core.FailIdle)
	}
	s.releaseAttempt(r)
	delete(s.requests, r.ID)
	s.emit(e)
}

// retryAfter returns when a refused caller should retry: after the requests that wait
// now should have been served and not before an upstream takes work. The values are
// spread so that refused callers do not retry at the same time.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	s.refusals++
	spread := time.Duration(s.refusals%8) * (retryAfterMax - retryAfterMin) / 8
	after := retryAfterMin + spread
	if readyAt, ok := s.availableTo(now, r); ok {
		after = max(after, readyAt.Sub(now)+spread/4)
	}
	return min(after, time.Duration(retryAfterFraction*float64(r.Deadline.Sub(now))))
}
