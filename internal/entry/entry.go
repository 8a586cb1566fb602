// Package entry manages the requests of the callers connected to this router:
// their queues, the slots granted for them, their attempts and their outcome.
// The package is a pure state machine: messages to owners, sends to upstreams
// and answers to callers come out as effects.
package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// State holds the requests of one router.
type State struct {
	self       core.RouterID
	view       *placement.View
	hooks      Hooks
	services   map[string]config.Service
	orgs       map[string]config.Organisation
	requests   map[core.RequestID]*request
	queues     map[queueKey]*queue
	estimators map[string]*costEstimator
	heldSlots  map[slotKey]*heldSlot
	// outbox collects messages to owners until Flush.
	outbox outbox
	// unannounced are the queues whose demand has yet to be announced to other
	// owners.
	unannounced  map[queueKey]bool
	timers       timers.Queue[timer]
	nextProgress time.Time
	// demandPhase is this router's offset within repeatAfter. It spreads the
	// times at which routers repeat their demand.
	demandPhase time.Duration
	// progressReports counts the progress reports, the lists of held grants.
	progressReports int
	draining        bool
	// returnGrantsUntil is the time before which granted slots are returned
	// unused.
	returnGrantsUntil time.Time
}

// timer identifies what a deadline is for: a request's deadline, a request's
// hedge, or a queue's next round of announcements. Exactly one field is set.
type timer struct {
	request core.RequestID
	hedge   core.RequestID
	queue   queueKey
}

// slotKey identifies a granted slot.
type slotKey struct {
	upstream string
	id       core.GrantID
}

// heldSlot is a slot granted to this entry and not yet released.
type heldSlot struct {
	owner   core.RouterID
	service string
	grant   *wire.Grant
	cost    uint64
}

// New returns a state without requests.
func New(self core.RouterID, view *placement.View, hooks Hooks) *State {
	return &State{
		self:        self,
		view:        view,
		hooks:       hooks,
		services:    make(map[string]config.Service),
		orgs:        make(map[string]config.Organisation),
		requests:    make(map[core.RequestID]*request),
		queues:      make(map[queueKey]*queue),
		estimators:  make(map[string]*costEstimator),
		heldSlots:   make(map[slotKey]*heldSlot),
		outbox:      newOutbox(),
		demandPhase: time.Duration(xxhash.Sum64String(string(self)) % uint64(repeatAfter)),
		unannounced: make(map[queueKey]bool),
	}
}

// Configure applies the services and limits of a configuration.
func (s *State) Configure(c *config.Config) {
	s.services = make(map[string]config.Service, len(c.Services))
	for _, sv := range c.Services {
		s.services[sv.Name] = sv
	}
	s.orgs = make(map[string]config.Organisation, len(c.Organisations))
	for _, o := range c.Organisations {
		s.orgs[o.Name] = o
	}
}

// SetDraining makes the entry refuse new requests. Accepted requests are
// completed.
func (s *State) SetDraining() { s.draining = true }

// Requests returns the number of requests that have not ended.
func (s *State) Requests() int { return len(s.requests) }

// HandleArrival queues a request, or refuses it at once.
func (s *State) HandleArrival(now time.Time, ev core.RequestArrived) []core.Effect {
	if refusal := s.admit(now, ev); refusal != nil {
		return []core.Effect{*refusal}
	}
	r := &request{
		RequestArrived: ev, arrived: now, expectedCost: s.estimator(ev.Service).estimate(ev.Organisation, ev.CostHint),
		avoidUntil: make(map[string]time.Time),
	}
	r.class = s.estimator(ev.Service).classify(r.expectedCost)
	r.deadline = now.Add(s.services[ev.Service].MaxWait)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	s.requests[ev.Request] = r
	s.timers.Add(r.deadline, timer{request: ev.Request})
	s.enqueue(now, r, false)
	return []core.Effect{core.Record{Request: ev.Request, Event: "queued", Detail: "Waits for a slot."}}
}

// HandleCallerGone ends a request whose caller has closed the connection. Work
// that must run at most once continues unless it is still queued, so that its
// outcome is recorded.
func (s *State) HandleCallerGone(now time.Time, id core.RequestID) []core.Effect {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	r.callerGone = true
	switch {
	case r.state == stateWaiting:
		s.dequeue(r)
		return s.endRequest(r, core.ReasonCallerGone)
	case r.AtMostOnce:
		return nil
	default:
		var effects []core.Effect
		for _, a := range r.liveAttempts() {
			effects = append(effects, core.Cancel{Request: id, Attempt: a.number})
			s.releaseSlot(a, a.cost)
		}
		return append(effects, s.endRequest(r, core.ReasonCallerGone)...)
	}
}

// AbortAll ends every request with its final answer. Requests that were not
// sent are reported as not run, and answers under way end with an explicit
// error.
func (s *State) AbortAll(now time.Time) []core.Effect {
	var effects []core.Effect
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if r.state == stateWaiting {
			s.dequeue(r)
		}
		for _, a := range r.liveAttempts() {
			effects = append(effects, core.Cancel{Request: id, Attempt: a.number})
			s.releaseSlot(a, a.cost)
		}
		effects = append(effects, s.refuse(r, statusUnavailable, core.ReasonShutdown, minRetryAfter)...)
	}
	return effects
}

// Tick refuses requests that have waited too long, queues hedges, starts the
// next rounds of announcements and reports progress.
func (s *State) Tick(now time.Time) []core.Effect {
	var effects []core.Effect
	for {
		t, ok := s.timers.PopDue(now)
		if !ok {
			break
		}
		switch {
		case t.request != "":
			effects = append(effects, s.expireRequest(now, t.request)...)
		case t.hedge != "":
			s.queueHedge(now, t.hedge)
		default:
			s.startNextRound(now, t.queue)
		}
	}
	s.reportProgress(now)
	return effects
}

// Wake returns the time at which Tick is next due; zero if never.
func (s *State) Wake() time.Time {
	next := s.timers.NextDue()
	if len(s.heldSlots) > 0 {
		next = timers.Earliest(next, s.nextProgress)
	}
	return next
}

// Flush returns the batched messages to owners.
func (s *State) Flush() []core.Effect { return s.outbox.flush() }

// HandleViewChange reports the held slots to the new owners of their upstreams,
// and announces the waiting requests anew.
func (s *State) HandleViewChange(now time.Time) {
	changedOwners := make(map[core.RouterID]bool)
	for key, h := range s.heldSlots {
		if owner := s.view.Owner(key.upstream); owner != "" && owner != h.owner {
			h.owner = owner
			changedOwners[owner] = true
		}
	}
	for _, owner := range s.view.RouterIDs() {
		if changedOwners[owner] {
			s.outbox.setProgress(owner, s.heldByOwner(owner, true), true)
		}
	}
	for key, q := range s.queues {
		q.resetOwners()
		if q.len() > 0 {
			s.announce(now, key)
		}
	}
}

// expireRequest refuses a request whose deadline passed while it waited.
func (s *State) expireRequest(now time.Time, id core.RequestID) []core.Effect {
	r := s.requests[id]
	if r == nil || r.state != stateWaiting || now.Before(r.deadline) {
		return nil
	}
	retry := s.retryAfter(now, r)
	s.dequeue(r)
	reason := core.ReasonWaitTooLong
	if r.deadline.Equal(r.Deadline) {
		reason = core.ReasonDeadline
	}
	return s.refuse(r, statusUnavailable, reason, retry)
}

// refuse ends a request. If its answer has begun, the answer ends with an
// explicit error.
func (s *State) refuse(r *request, status int, reason core.Reason, retryAfter time.Duration) []core.Effect {
	if r.committed != nil {
		effects := []core.Effect{core.Abort{Request: r.Request, Outcome: core.MayHaveRun, Reason: reason}}
		return append(effects, s.endRequest(r, reason)...)
	}
	effects := []core.Effect{core.Refuse{
		Request: r.Request, Status: status, Outcome: r.outcome(), Reason: reason, RetryAfter: retryAfter,
	}}
	return append(effects, s.endRequest(r, reason)...)
}

// endRequest removes a request and records why it ended.
func (s *State) endRequest(r *request, reason core.Reason) []core.Effect {
	s.cancelHedge(r)
	delete(s.requests, r.Request)
	return []core.Effect{core.Record{Request: r.Request, Event: "ended", Detail: string(reason)}}
}
