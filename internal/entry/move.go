package entry

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// slowGapFactor times the usual time between tokens of a service makes a stream
	// slow, and slowReports such reports in a row make it worth moving.
	slowGapFactor     = 3
	slowReportsToMove = 2
	// maxMoves bounds the moves of one request.
	maxMoves = 3
	// gapStep moves the usual gap by this fraction with each report.
	gapStep = 0.02
)

// movable reports whether another upstream may go on with a stream whose first
// part the caller has: the service's engines must take up a partial answer.
func (s *State) movable(r *request) bool {
	sv := s.services[r.Service]
	return sv.Kind == config.Model && sv.Continues && r.Idempotent && !r.Once &&
		!r.callerGone && r.moves < maxMoves
}

// trackStreamSpeed takes the mean time between tokens since an attempt's last report,
// and asks for another upstream if the stream has become slow.
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

// observeGap learns the usual time between tokens and reports whether this one is
// far above it.
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

// requestMove puts a slow stream into its queue for a slot elsewhere while nothing
// else of the queue waits; it goes on meanwhile.
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

// minMovedTokens is the expected rest of a stream that is worth moving.
const minMovedTokens = 5

// remainingTokens is how many tokens a stream is expected to have left.
func (s *State) remainingTokens(r *request) uint64 {
	return r.expectedCost - min(r.expectedCost, r.tokens)
}

// requeueStream waits for another upstream to go on with a stream that broke off.
func (s *State) requeueStream(now time.Time, r *request, a *attempt) []core.Effect {
	s.releaseSlot(a, a.cost)
	r.avoidUntil[a.slot.upstream] = now.Add(avoidFor)
	r.deadline = now.Add(s.services[r.Service].MaxWait)
	s.enqueue(now, r, true)
	return []core.Effect{core.Record{
		Request: r.Request, What: "moving", Upstream: a.slot.upstream, Detail: "Waits for another upstream to go on.",
	}}
}

// continueStream sends the rest of a stream to another upstream. A slow attempt is
// cancelled first, so that the text it gave stands still.
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
		core.Record{Request: r.Request, What: "moved", Upstream: u.ID, Detail: "Goes on after the tokens that the caller has."},
		core.Observe{Metric: core.MetricMoved, Service: r.Service, Organisation: r.Organisation, Value: 1})
}
