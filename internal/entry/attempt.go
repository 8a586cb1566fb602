package entry

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/quarantine"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// maxAttempts limits the sends of one request.
	maxAttempts = 5
	// maxResumes limits the new connections for one committed stream.
	maxResumes = 3
	// avoidFor is how long a request avoids an upstream that failed it.
	avoidFor = 5 * time.Second
	// minServerError is the first HTTP status code of server errors.
	minServerError = 500
)

// HandleFirstByte handles the start of an answer. The first attempt that
// answers is committed, and the others are cancelled. An attempt that answers
// with a server error may be retried instead.
func (s *State) HandleFirstByte(now time.Time, ev core.AttemptFirstByte) []core.Effect {
	r, a := s.findAttempt(ev.Request, ev.Attempt)
	if a == nil || a.finished {
		return nil
	}
	if r.committed != nil && r.committed != a {
		return s.cancelAttempt(r, a)
	}
	if ev.Status >= minServerError && s.takeServerErrorRetry(now, r) {
		effects := s.cancelAttempt(r, a)
		return append(effects, s.retry(now, r, a.slot.upstream)...)
	}
	a.started = true
	if r.committed == a {
		return s.handleContinuationStart(r, a, ev.Status)
	}
	effects := []core.Effect{
		core.Commit{Request: r.Request, Attempt: a.number},
		core.Record{Request: r.Request, Event: "answering", Upstream: a.slot.upstream},
		core.Observe{Metric: core.MetricTimeToFirstByte, Service: r.Service, Organisation: r.Organisation, Value: now.Sub(r.arrived).Seconds()},
	}
	r.committed, r.state = a, stateCommitted
	s.cancelHedge(r)
	s.hooks.RecordFirstByte(now, r.Service, a.slot.upstream, now.Sub(a.sentAt))
	for _, other := range r.liveAttempts() {
		if other != a {
			effects = append(effects, s.cancelAttempt(r, other)...)
		}
	}
	return effects
}

// handleContinuationStart handles the start of the answer of a resumed or moved
// stream.
func (s *State) handleContinuationStart(r *request, a *attempt, status int) []core.Effect {
	if status != http.StatusOK {
		// Only the rest of the same stream may follow what the caller has; any
		// other answer would corrupt it.
		return append(s.cancelAttempt(r, a), s.refuse(r, statusBadGateway, core.ReasonUpstreamFailed, minRetryAfter)...)
	}
	r.state = stateCommitted
	return []core.Effect{core.Commit{Request: r.Request, Attempt: a.number}}
}

// takeServerErrorRetry reports whether a request may be retried after a server
// error, and takes the retry from the budget. Only model work is retried, since
// its answer comes from the engine and not from an application.
func (s *State) takeServerErrorRetry(now time.Time, r *request) bool {
	return s.services[r.Service].Kind == config.Model && s.takeRetry(now, r)
}

// takeRetry reports whether work that may have run may be sent again, and takes
// the retry from the budget.
func (s *State) takeRetry(now time.Time, r *request) bool {
	return s.safeToRepeat(now, r) && s.hooks.TakeRetry(r.Service)
}

// safeToRepeat reports whether a second send can do no harm and the request
// still has time and attempts left for it.
func (s *State) safeToRepeat(now time.Time, r *request) bool {
	return r.Idempotent && !r.AtMostOnce && r.committed == nil && !r.callerGone &&
		len(r.attempts) < maxAttempts && now.Before(r.deadline)
}

// HandleProgress records how many tokens of a committed stream have arrived.
func (s *State) HandleProgress(now time.Time, ev core.AttemptProgress) []core.Effect {
	r, a := s.findAttempt(ev.Request, ev.Attempt)
	if a == nil || a.finished {
		return nil
	}
	r.tokens += ev.Tokens - min(ev.Tokens, a.cost)
	a.cost = max(a.cost, ev.Tokens)
	s.trackStreamSpeed(now, r, a, ev.Tokens)
	if h := s.heldSlots[a.slot]; h != nil {
		h.cost = a.cost
	}
	if ev.Gap == 0 {
		return nil
	}
	return []core.Effect{core.Observe{Metric: core.MetricTokenGap, Service: r.Service, Organisation: r.Organisation, Value: ev.Gap.Seconds()}}
}

// HandleDone handles the explicit end of a complete answer.
func (s *State) HandleDone(now time.Time, ev core.AttemptDone) []core.Effect {
	r, a := s.findAttempt(ev.Request, ev.Attempt)
	if a == nil || a.finished {
		return nil
	}
	s.releaseSlot(a, ev.Cost)
	effects := s.notifyLeaving(a, ev.Leaving, now)
	effects = append(effects, s.hooks.ReportSuccess(now, r.Organisation, r.Fingerprint)...)
	if r.committed != a {
		return effects
	}
	s.estimator(r.Service).observe(r.Organisation, r.CostHint, ev.Cost)
	if r.AtMostOnce {
		effects = append(effects, s.hooks.FinishClaim(now, r.Request, ev.Status, ev.Answer)...)
	}
	effects = append(effects,
		core.Observe{Metric: core.MetricServed, Service: r.Service, Organisation: r.Organisation, Value: float64(ev.Cost)},
		core.Observe{Metric: core.MetricResponseTime, Service: r.Service, Organisation: r.Organisation, Value: now.Sub(r.arrived).Seconds()},
	)
	return append(effects, s.endRequest(r, core.Reason(core.Complete))...)
}

// HandleFailure handles an attempt that ended without a complete answer.
func (s *State) HandleFailure(now time.Time, ev core.AttemptFailed) []core.Effect {
	r, a := s.findAttempt(ev.Request, ev.Attempt)
	if a == nil || a.finished || ev.Failure == core.FailCancelled {
		return nil
	}
	a.mayHaveRun = ev.Sent
	a.cost = max(a.cost, ev.Tokens)
	effects := s.notifyLeaving(a, ev.Leaving, now)
	effects = append(effects, s.reportFailure(now, r, a, ev.Failure)...)
	effects = append(effects, core.Record{Request: r.Request, Event: "failed", Upstream: a.slot.upstream, Detail: ev.Failure.String()})
	if r.committed == a {
		return append(effects, s.resume(now, r, a, ev)...)
	}
	s.releaseSlot(a, a.cost)
	r.avoidUntil[a.slot.upstream] = now.Add(avoidFor)
	if len(r.liveAttempts()) > 0 || r.committed != nil {
		return effects
	}
	s.cancelHedge(r)
	return append(effects, s.afterFailure(now, r, a, ev)...)
}

// afterFailure decides whether a request is retried or refused after its last
// attempt failed before any of its answer was forwarded.
func (s *State) afterFailure(now time.Time, r *request, a *attempt, ev core.AttemptFailed) []core.Effect {
	var effects []core.Effect
	if r.AtMostOnce {
		effects = s.hooks.FailClaim(now, r.Request, ev.Sent)
	}
	if r.callerGone {
		return append(effects, s.endRequest(r, core.ReasonCallerGone)...)
	}
	unsent := !ev.Sent && len(r.attempts) < maxAttempts && now.Before(r.deadline)
	if unsent || (ev.Sent && s.takeRetry(now, r)) {
		if r.probedFailures >= quarantine.CrashThreshold && r.pendingProbes > 0 {
			// One more crash may put the request into quarantine.
			// HandleProbeResult continues once the probes have answered.
			r.state = stateProbing
			return effects
		}
		return append(effects, s.retry(now, r, a.slot.upstream)...)
	}
	reason := core.ReasonUpstreamFailed
	switch {
	case ev.Sent && s.safeToRepeat(now, r):
		reason = core.ReasonRetryBudget
	case ev.Failure == core.FailIdle:
		reason = core.ReasonUpstreamSilent
	}
	return append(effects, s.refuse(r, statusBadGateway, reason, minRetryAfter)...)
}

// retry puts a request back into its queue and makes it avoid the upstream that
// failed.
func (s *State) retry(now time.Time, r *request, failed string) []core.Effect {
	r.avoidUntil[failed] = now.Add(avoidFor)
	s.enqueue(now, r, true)
	return []core.Effect{
		core.Record{Request: r.Request, Event: "retried", Upstream: failed, Detail: "Back in its place in the queue."},
		core.Observe{Metric: core.MetricRetried, Service: r.Service, Organisation: r.Organisation, Value: 1},
	}
}

// resume continues a committed stream that broke off: on a new connection to
// the same upstream, or at another upstream. If neither is possible it ends the
// stream with an explicit error.
func (s *State) resume(now time.Time, r *request, a *attempt, ev core.AttemptFailed) []core.Effect {
	s.cancelHedge(r)
	model := s.services[r.Service].Kind == config.Model
	u, known := s.view.Upstream(a.slot.upstream)
	resumable := model && known && a.started && ev.Failure != core.FailDial && ev.Failure != core.FailStatus
	if resumable && !r.callerGone && r.resumes < maxResumes {
		r.resumes++
		next := &attempt{number: core.Attempt(len(r.attempts) + 1), slot: a.slot, sentAt: now, mayHaveRun: true, started: true, cost: a.cost}
		a.finished = true
		r.attempts = append(r.attempts, next)
		r.committed = next
		return []core.Effect{
			s.sendEffect(r, next, u, true),
			core.Record{Request: r.Request, Event: "resumed", Upstream: u.ID},
		}
	}
	if s.movable(r) {
		return s.requeueStream(now, r, a)
	}
	s.releaseSlot(a, a.cost)
	var effects []core.Effect
	if r.AtMostOnce {
		effects = s.hooks.FailClaim(now, r.Request, true)
	}
	effects = append(effects, core.Abort{Request: r.Request, Outcome: core.MayHaveRun, Reason: core.ReasonUpstreamFailed})
	return append(effects, s.endRequest(r, core.ReasonUpstreamFailed)...)
}

// cancelAttempt releases an attempt's slot and cancels the attempt.
func (s *State) cancelAttempt(r *request, a *attempt) []core.Effect {
	s.releaseSlot(a, a.cost)
	return []core.Effect{core.Cancel{Request: r.Request, Attempt: a.number}}
}

// reportFailure notifies the owner of an upstream that failed, and has the
// runtime probe whether the upstream crashed.
func (s *State) reportFailure(now time.Time, r *request, a *attempt, f core.Failure) []core.Effect {
	switch f {
	case core.FailDial, core.FailReset, core.FailIdle, core.FailTruncated:
	default:
		return nil
	}
	effects := s.notifyOwner(now, a.slot.upstream, wire.UpstreamState_UPSTREAM_CRASHED)
	if u, ok := s.view.Upstream(a.slot.upstream); ok && f != core.FailDial {
		r.probedFailures++
		r.pendingProbes++
		effects = append(effects, core.Probe{Request: r.Request, Organisation: r.Organisation, Fingerprint: r.Fingerprint, Upstream: u.ID, Addr: u.Addr})
	}
	return effects
}

// HandleProbeResult handles the result of probing an upstream that failed a
// request. If the upstream is down, the request may have crashed it and is
// reported to the quarantine.
func (s *State) HandleProbeResult(now time.Time, ev core.Probed) []core.Effect {
	p := ev.Probe
	var effects []core.Effect
	if !ev.Alive {
		effects = s.hooks.ReportCrash(now, p.Organisation, p.Fingerprint, p.Upstream)
	}
	r := s.requests[p.Request]
	if r == nil {
		return effects
	}
	r.pendingProbes--
	if r.state != stateProbing || r.pendingProbes > 0 {
		return effects
	}
	if until, blocked := s.hooks.Quarantined(now, r.Organisation, r.Fingerprint); blocked {
		return append(effects, s.refuseQuarantined(r, until.Sub(now))...)
	}
	return append(effects, s.retry(now, r, p.Upstream)...)
}

// notifyLeaving notifies the owner if the upstream announced that it is
// leaving.
func (s *State) notifyLeaving(a *attempt, announced bool, now time.Time) []core.Effect {
	if !announced {
		return nil
	}
	return s.notifyOwner(now, a.slot.upstream, wire.UpstreamState_UPSTREAM_LEAVING)
}

// notifyOwner reports the state of an upstream to its owner.
func (s *State) notifyOwner(now time.Time, upstream string, state wire.UpstreamState) []core.Effect {
	owner := s.view.Owner(upstream)
	if owner == "" {
		return nil
	}
	return []core.Effect{sendPeer(owner, &wire.Envelope{Body: &wire.Envelope_UpstreamNotice{UpstreamNotice: &wire.UpstreamNotice{
		Upstream: upstream, State: state, ObservedUnixMs: uint64(now.UnixMilli()),
	}}})}
}

func (s *State) findAttempt(id core.RequestID, n core.Attempt) (*request, *attempt) {
	r := s.requests[id]
	if r == nil {
		return nil, nil
	}
	return r, r.attempt(n)
}
