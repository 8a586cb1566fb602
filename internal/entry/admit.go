package entry

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refused
	// request.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// noUpstreamRetryAfter is the Retry-After time while a service has no
	// upstream.
	noUpstreamRetryAfter = 5 * time.Second
)

// admit performs admission control: it returns a refusal if the request cannot
// be accepted, or nil.
func (s *State) admit(now time.Time, ev core.RequestArrived) *core.Refuse {
	refuse := func(status int, reason core.Reason, retryAfter time.Duration) *core.Refuse {
		return &core.Refuse{Request: ev.Request, Status: status, Outcome: core.NotRun, Reason: reason, RetryAfter: retryAfter}
	}
	if s.draining {
		return refuse(statusUnavailable, core.ReasonDraining, minRetryAfter)
	}
	sv, ok := s.services[ev.Service]
	if !ok {
		return refuse(http.StatusNotFound, core.ReasonUnknownService, 0)
	}
	if ev.AtMostOnce && ev.Key == "" {
		return refuse(http.StatusBadRequest, core.ReasonKeyRequired, 0)
	}
	if until, blocked := s.hooks.Quarantined(now, ev.Organisation, ev.Fingerprint); blocked {
		return refuse(http.StatusUnprocessableEntity, core.ReasonQuarantined, until.Sub(now))
	}
	if near, far := s.view.Owners(ev.Service); len(near)+len(far) == 0 {
		return refuse(statusUnavailable, core.ReasonNoUpstream, noUpstreamRetryAfter)
	}
	queued := s.queueLength(ev.Service, ev.Organisation)
	if limit := s.orgs[ev.Organisation].MaxQueued; limit > 0 && queued >= limit {
		return refuse(statusTooMany, core.ReasonQueueFull, clampRetryAfter(s.predictWait(now, ev, queued)))
	}
	limit, reason := sv.MaxWait, core.ReasonWaitTooLong
	if own := ev.Deadline.Sub(now); !ev.Deadline.IsZero() && own < limit {
		limit, reason = own, core.ReasonDeadline
	}
	if wait := s.predictWait(now, ev, queued); wait > limit {
		return refuse(statusTooMany, reason, clampRetryAfter(wait-limit))
	}
	return nil
}

// queueLength returns how many requests of an organisation wait for a service.
func (s *State) queueLength(service, org string) int {
	n := 0
	for _, class := range []core.Class{core.ClassShort, core.ClassLong} {
		if q := s.queues[queueKey{service, org, class}]; q != nil {
			n += q.len()
		}
	}
	return n
}

// predictWait returns how long a request at the end of its queue would wait;
// zero if unknown.
func (s *State) predictWait(now time.Time, ev core.RequestArrived, queued int) time.Duration {
	c := s.estimator(ev.Service)
	q := s.queues[queueKey{ev.Service, ev.Organisation, c.classify(c.estimate(ev.Organisation, ev.CostHint))}]
	if q == nil {
		return 0
	}
	return q.waitAt(now, queued+1)
}

// retryAfter returns after what time a refused request may be sent again: the
// time that serving its queue is predicted to take.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	q := s.queue(r.key())
	return clampRetryAfter(q.waitAt(now, q.len()))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
