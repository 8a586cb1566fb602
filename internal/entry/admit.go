package entry

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// retryMin and retryMost bound what a refused caller is told to wait.
	retryMin  = time.Second
	retryMost = time.Minute
	// retryNoUpstream is when to come back while a service has no upstream.
	retryNoUpstream = 5 * time.Second
)

// admit returns a refusal if the request cannot be taken in.
func (s *State) admit(now time.Time, ev core.Arrive) *core.Refuse {
	refuse := func(status int, reason core.Reason, retry time.Duration) *core.Refuse {
		return &core.Refuse{Request: ev.Request, Status: status, Outcome: core.NotRun, Reason: reason, RetryAfter: retry}
	}
	if s.draining {
		return refuse(statusUnavailable, core.ReasonDraining, retryMin)
	}
	sv, ok := s.services[ev.Service]
	if !ok {
		return refuse(http.StatusNotFound, core.ReasonUnknownService, 0)
	}
	if ev.Once && ev.Key == "" {
		return refuse(http.StatusBadRequest, core.ReasonKeyRequired, 0)
	}
	if until, blocked := s.gates.Blocked(now, ev.Organisation, ev.Body); blocked {
		return refuse(http.StatusUnprocessableEntity, core.ReasonPoison, until.Sub(now))
	}
	if near, far := s.view.Owners(ev.Service); len(near)+len(far) == 0 {
		return refuse(statusUnavailable, core.ReasonNoUpstream, retryNoUpstream)
	}
	waits := s.waitingOf(ev.Service, ev.Organisation)
	if limit := s.orgs[ev.Organisation].MaxQueued; limit > 0 && waits >= limit {
		return refuse(statusTooMany, core.ReasonQueueFull, clamp(s.predict(now, ev, waits)))
	}
	limit, reason := sv.MaxWait, core.ReasonWaitTooLong
	if own := ev.Deadline.Sub(now); !ev.Deadline.IsZero() && own < limit {
		limit, reason = own, core.ReasonDeadline
	}
	if wait := s.predict(now, ev, waits); wait > limit {
		return refuse(statusTooMany, reason, clamp(wait-limit))
	}
	return nil
}

func (s *State) waitingOf(service, org string) int {
	n := 0
	for _, class := range []core.Class{core.ClassShort, core.ClassLong} {
		if q := s.queues[queueKey{service, org, class}]; q != nil {
			n += q.len()
		}
	}
	return n
}

// predict is how long a request at the end of its queue would wait.
func (s *State) predict(now time.Time, ev core.Arrive, waits int) time.Duration {
	c := s.cost(ev.Service)
	q := s.queues[queueKey{ev.Service, ev.Organisation, c.class(c.expect(ev.Organisation, ev.Hint))}]
	if q == nil {
		return 0
	}
	return q.wait(now, waits+1)
}

// retryAfter is when a refused request may come back: when what waits before it
// will have been served.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	q := s.queue(r.key())
	return clamp(q.wait(now, q.len()))
}

func clamp(d time.Duration) time.Duration { return min(max(d, retryMin), retryMost) }
