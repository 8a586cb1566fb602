package entry

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// slowGapFactor is the multiple of a service's median time between tokens
	// above which a stream is slow. After slowReportsToMove slow reports in a
	// row it is moved.
	slowGapFactor     = 3
	slowReportsToMove = 2
	// maxMoves limits the moves of one request.
	maxMoves = 3
	// gapStep is the fraction by which each report moves the median gap.
	gapStep = 0.02
)

// movable reports whether another upstream may continue a stream that the
// caller has a part of. The service's engines must be able to continue a
// partial answer.
func (s *State) movable(r *request) bool {
	sv := s.services[r.Service]
	return sv.Kind == config.Model && sv.Continues && r.Idempotent && !r.AtMostOnce &&
		!r.callerGone && r.moves < maxMoves
}

// trackStreamSpeed computes the mean time between tokens since an attempt's
// last report, and requests a move if the stream has become slow.
func (s *State) trackStreamSpeed(now time.Time, r *request, a *attempt, tokens uint64) {
	if tokens <= a.lastTokens {
		return
	}
	if a.lastTokens > 0 {
		gap := now.Sub(a.lastProgress) / time.Duration(tokens-a.lastTokens)
		if s.estimator(r.Service).observeGap(gap) {
			a.slowReports++
		} else {
			a.slowReports = 0
		}
	}
	a.lastTokens, a.lastProgress = tokens, now
	if a.slowReports >= slowReportsToMove {
		s.requestMove(now, r, a)
	}
}

// observeGap adds a time between tokens to the running median, and reports
// whether it is far above the median.
func (c *costEstimator) observeGap(gap time.Duration) bool {
	g := float64(gap)
	switch {
	case c.medianGap == 0:
		c.medianGap = g
	case g > c.medianGap:
		c.medianGap *= 1 + gapStep
	default:
		c.medianGap *= 1 - gapStep
	}
	return g > slowGapFactor*c.medianGap
}

// requestMove queues a slow stream for a slot at another upstream, provided
// that its queue is empty. The stream continues meanwhile.
func (s *State) requestMove(now time.Time, r *request, a *attempt) {
	q := s.queue(r.key())
	if r.wantsSecondSlot || !s.movable(r) || q.len() > 0 || s.remainingTokens(r) < minMovedTokens {
		return
	}
	r.wantsSecondSlot = true
	r.avoidUntil[a.slot.upstream] = now.Add(avoidFor)
	q.requests = append(q.requests, r)
	s.announce(now, r.key())
}

// minMovedTokens is the smallest number of expected remaining tokens for which
// a stream is moved.
const minMovedTokens = 5

// remainingTokens returns the expected number of tokens that a stream has left.
func (s *State) remainingTokens(r *request) uint64 {
	return r.expectedCost - min(r.expectedCost, r.tokens)
}

// requeueStream queues a stream that broke off for a slot at another upstream.
func (s *State) requeueStream(now time.Time, r *request, a *attempt) []core.Effect {
	s.releaseSlot(a, a.cost)
	r.avoidUntil[a.slot.upstream] = now.Add(avoidFor)
	r.deadline = now.Add(s.services[r.Service].MaxWait)
	s.enqueue(now, r, true)
	return []core.Effect{core.Record{
		Request: r.Request, Event: "moving", Upstream: a.slot.upstream, Detail: "Waits for another upstream to go on.",
	}}
}

// continueStream sends the request to another upstream, which continues after
// the tokens that the caller has. If the old attempt is still running it is
// cancelled first, so that no more of its text is forwarded.
func (s *State) continueStream(now time.Time, r *request, a *attempt, u core.Upstream) []core.Effect {
	var effects []core.Effect
	if old := r.committed; !old.finished {
		effects = s.cancelAttempt(r, old)
	}
	r.wantsSecondSlot = false
	r.moves++
	r.resumes = 0
	r.committed, r.state = a, stateSent
	move := s.sendEffect(r, a, u, false)
	move.Continue = true
	return append(effects, move,
		core.Record{Request: r.Request, Event: "moved", Upstream: u.ID, Detail: "Goes on after the tokens that the caller has."},
		core.Observe{Metric: core.MetricMoved, Service: r.Service, Organisation: r.Organisation, Value: 1})
}
