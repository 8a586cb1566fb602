package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// arrive takes a request in: it is sent, waits, or is refused at once.
func (s *State) arrive(now time.Time, req *Request) {
	r := &request{Request: req, group: groupOf(req.Prompt), arrived: now, until: req.Deadline, lastEvent: req.ResumeAfter}
	if t := req.Route.Timeout; t > 0 && now.Add(t).Before(r.until) {
		r.until = now.Add(t)
	}
	r.giveUp = s.giveUp(r)
	s.requests[r.ID] = r
	s.shares.ask(now, r.Organisation, s.shareTokens(r))
	if e := s.engine(r.Service); e != nil && r.Prompt.Tokens+r.Prompt.MaxOutput > e.CacheTokens {
		s.refuse(now, r, ReasonTooLarge)
		return
	}
	s.admit(now, r)
}

// giveUp is when a request that still waits cannot be answered on time.
func (s *State) giveUp(r *request) time.Time {
	var at time.Time
	if r.ran > 0 {
		// The caller has no use for being told to come back.
		return r.until
	}
	if s.engine(r.Service) != nil {
		target := time.Duration(patience * float64(r.Route.LatencyTarget))
		at = r.arrived.Add(max(0, target-s.prefillTime(r.Prompt.Tokens)/2))
	} else {
		at = r.arrived.Add(time.Duration(plainPatience * float64(r.until.Sub(r.arrived))))
	}
	if at.After(r.until) {
		return r.until
	}
	return at
}

// shareTokens is a request's size in the unit of shares.
func (s *State) shareTokens(r *request) float64 {
	return float64(r.Prompt.Tokens + 2*r.Prompt.Output())
}

// admit sends a request, lets it wait, or refuses it if waiting cannot help.
func (s *State) admit(now time.Time, r *request) {
	if back, ok := s.backAt(now, r.Service); !ok || back.After(now) && back.After(r.giveUp) {
		s.giveBack(now, r, ReasonNoUpstream)
		return
	}
	if r.sends > 0 {
		// It has been admitted before.
		s.readmit(now, r)
		return
	}
	q := s.queue(r)
	if s.yields(now, r) {
		s.giveBack(now, r, ReasonOverShare)
		return
	}
	if q.size == 0 && s.trySend(now, r) {
		return
	}
	if r.overShare {
		s.giveBack(now, r, ReasonOverShare)
		return
	}
	q.shortAt = now
	if s.hopeless(now, q, r) {
		s.giveBack(now, r, ReasonOverloaded)
		return
	}
	s.wait(r)
	s.fill(now, r.Service)
}

// yields reports whether others wait for what the organisation of a request would
// have beyond its share. One that has had much more than that yields always: its
// share follows what the engines can do. While requests of the other group wait it
// yields to them too, so that what an organisation gets does not depend on what
// kind of request it sends.
func (s *State) yields(now time.Time, r *request) bool {
	if s.engine(r.Service) == nil {
		return false
	}
	r.share = s.share(now, r.Organisation, r.Service, r.group)
	excess := r.share.Excess
	r.overShare = excess > 1
	if excess > muchExcess || r.overShare && s.contended(now, queueKey{r.Service, r.group}) {
		return true
	}
	if s.contended(now, queueKey{r.Service, r.group.other()}) {
		return s.shares.charged(now, r.Organisation) > muchExcess
	}
	return false
}

// readmit sends a request once more, or lets it wait.
func (s *State) readmit(now time.Time, r *request) {
	switch {
	case s.trySend(now, r):
	case !now.Before(r.giveUp):
		s.giveBack(now, r, ReasonWaited)
	default:
		s.wait(r)
	}
}

// hopeless reports whether the work that waits already takes longer than this
// request can wait.
func (s *State) hopeless(now time.Time, q *queue, r *request) bool {
	rate := q.drained.read(now)
	if s.engine(r.Service) == nil || rate <= 0 || q.size == 0 {
		return false
	}
	expected := time.Duration(float64(q.work) / rate)
	return now.Add(expected).After(r.giveUp)
}

// trySend sends a request if an upstream has room.
func (s *State) trySend(now time.Time, r *request) bool {
	c, ok := s.place(now, r)
	if !ok || !s.health.Admit(c.on.ID, now) {
		return false
	}
	if r.waiting {
		s.unwait(r)
	}
	s.send(now, r, c)
	return true
}

// send starts an attempt.
func (s *State) send(now time.Time, r *request, c choice) {
	if r.sends == 0 {
		s.health.Sent(r.Service)
	}
	r.sends++
	r.attempt++
	r.on, r.sentAt, r.silentFrom, r.answered, r.aborting = c.on, now, now, false, false
	r.load = Load{Running: 1, Prefill: c.read, Memory: r.Prompt.Tokens + r.Prompt.Output()}
	if r.group == groupOutput {
		r.load.Output = 1
	}
	c.on.own.add(r.load)
	s.unreported += r.load.Prefill + slotTokens
	s.shares.start(now, r.Organisation, s.shareTokens(r))
	s.queue(r).drained.add(now, float64(s.prefillTime(r.Prompt.Tokens)))
	s.announce(c.on, c.on.cache.touch(now, r.Prompt.shared(), false))
	e := Send{
		ID: r.ID, Attempt: r.attempt, Upstream: c.on.Instance, ResumeAfter: r.lastEvent, Until: r.until,
		Waited: now.Sub(r.arrived), Predicted: c.first, Backlog: c.backlog, Cached: c.cached, Share: r.share,
	}
	if c.fetchFrom != nil {
		e.FetchFrom = c.fetchFrom.Addr
	}
	s.emit(e)
}

// firstBytes notes that the prompt has been read.
func (s *State) firstBytes(now time.Time, e Answered) {
	r := s.running(e.ID, e.Attempt)
	if r == nil || r.answered {
		return
	}
	r.answered = true
	r.on.own.Prefill -= r.load.Prefill
	s.unreported += r.load.Prefill
	r.load.Prefill = 0
	s.announce(r.on, r.on.cache.touch(now, r.Prompt.shared(), true))
	s.considerMove(now, r)
	if s.engine(r.Service) == nil {
		s.health.First(r.on.ID, r.Service, now, now.Sub(r.sentAt))
	}
	s.fill(now, r.Service)
}

// running finds a request by its current attempt.
func (s *State) running(id string, attempt int) *request {
	if r := s.requests[id]; r != nil && !r.waiting && r.attempt == attempt && r.on != nil {
		return r
	}
	return nil
}

// release takes an attempt's load off its upstream.
func (s *State) release(r *request) {
	if r.on == nil {
		return
	}
	s.dropMove(r)
	r.on.own.sub(r.load)
	s.unreported += r.load.Prefill + slotTokens
	if !r.answered {
		r.on.cache.forgetUnread(r.Prompt.shared())
	}
	r.on, r.load = nil, Load{}
}

// done ends a request whose answer was delivered.
func (s *State) done(now time.Time, e Done) {
	r := s.running(e.ID, e.Attempt)
	if r == nil {
		return
	}
	s.health.Success(r.on.ID, r.Service, now)
	s.release(r)
	delete(s.requests, r.ID)
	s.fill(now, r.Service)
}

// left drops a request whose caller has gone.
func (s *State) left(now time.Time, id string) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if r.waiting {
		s.unwait(r)
	}
	s.release(r)
	delete(s.requests, id)
	s.fill(now, r.Service)
}

// failed takes the end of an attempt without a whole answer: the request is
// sent again where that is allowed, or gets its final answer.
func (s *State) failed(now time.Time, e Failed) {
	r := s.running(e.ID, e.Attempt)
	if r == nil {
		return
	}
	if s.backToSource(now, r, e) {
		return
	}
	if !e.Local {
		s.health.Failure(r.on.ID, r.Service, now, e.Kind)
		r.avoid = append(r.avoid, r.on.ID)
		s.judge(now, r.on, e)
	}
	if !e.Ran {
		s.shares.start(now, r.Organisation, -s.shareTokens(r))
	}
	s.release(r)
	if e.Ran {
		r.ran++
		r.giveUp = s.giveUp(r)
	}
	r.began = r.began || e.Began
	if e.LastEvent != "" {
		r.lastEvent = e.LastEvent
	}
	service := r.Service
	s.again(now, r, e)
	s.fill(now, service)
}

// judge keeps work away from an upstream that cannot take any: for good from one
// that another instance has replaced, and for a while from one where nothing
// listens.
func (s *State) judge(now time.Time, u *upstream, e Failed) {
	switch {
	case e.Replaced:
		u.replaced = true
	case e.Unreachable:
		u.outUntil = later(u.outUntil, now.Add(unreachableFor))
	}
}

// again decides what follows a failed attempt.
func (s *State) again(now time.Time, r *request, e Failed) {
	// A connection that could not be made is no arrival at the upstream.
	free := e.Kind == core.FailDial && !e.Ran
	switch {
	case r.began && !s.mayResume(r):
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonBroken})
	case r.ran > 0 && !s.mayRepeat(r):
		s.fail(now, r, Fail{ID: r.ID, Reason: s.spent(r)})
	case e.Local:
		// No other upstream would do better; another router may.
		s.giveBack(now, r, ReasonResources)
	case r.sends >= maxSends || !now.Before(r.until):
		s.giveBack(now, r, ReasonAttempts)
	case !free && !s.payRetry(r):
		s.giveBack(now, r, ReasonNotExecuted)
	default:
		s.admit(now, r)
	}
}

// payRetry charges the budget for a repeat, once. False means that it is spent.
func (s *State) payRetry(r *request) bool {
	if r.paid {
		r.paid = false
		return true
	}
	return s.health.Retry(r.Service)
}

// spent says why a request that may have run is not sent again.
func (s *State) spent(r *request) Reason {
	if r.Route.Kind.Repeatable() {
		return ReasonAttempts
	}
	return ReasonMayHaveRun
}

// mayRepeat reports whether a request may run on another upstream, the one that
// it is on counted.
func (s *State) mayRepeat(r *request) bool {
	ran := r.ran
	if r.on != nil {
		ran++
	}
	return r.Route.Kind.Repeatable() && ran < r.Route.MaxAttempts && r.sends < maxSends
}

// mayResume reports whether a stream that has begun may go on elsewhere.
func (s *State) mayResume(r *request) bool {
	return s.mayRepeat(r) && r.Route.Kind.Streaming() && r.lastEvent != ""
}

// giveBack ends a request that is not sent again: as refused if it never ran,
// else as failed.
func (s *State) giveBack(now time.Time, r *request, why Reason) {
	if r.ran > 0 || r.began {
		s.fail(now, r, Fail{ID: r.ID, Reason: why})
		return
	}
	s.refuse(now, r, why)
}

// refuse ends a request that has not run.
func (s *State) refuse(now time.Time, r *request, why Reason) {
	if r.ran > 0 || r.began {
		s.fail(now, r, Fail{ID: r.ID, Reason: why})
		return
	}
	delete(s.requests, r.ID)
	s.emit(Refuse{ID: r.ID, Reason: why, RetryAfter: s.retryAfter(now, r), Share: r.share})
}

// fail ends a request that may have run.
func (s *State) fail(now time.Time, r *request, e Fail) {
	if r.on != nil && !r.answered {
		s.health.Failure(r.on.ID, r.Service, now, core.FailSilent)
	}
	s.release(r)
	delete(s.requests, r.ID)
	s.emit(e)
}

// retryAfter tells a refused caller when to come back: as soon as what waits
// now should be served, and no sooner than an upstream takes work, spread so that
// refused callers do not return together.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	s.serial++
	spread := time.Duration(s.serial%8) * (retryAfterMax - retryAfterMin) / 8
	after := retryAfterMin + spread
	if back, ok := s.backAt(now, r.Service); ok {
		after = max(after, back.Sub(now)+spread/4)
	}
	return min(after, time.Duration(retryAfterPart*float64(r.Deadline.Sub(now))))
}
