package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/coldstart"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/pace"
)

// PaceChanged tells that an upstream's pace begins, that it goes down or up, or that it ends.
// Window is the number of requests of all routers that the upstream may have unanswered.
type PaceChanged struct {
	Upstream      Instance
	Phase, Before string
	Window        int
}

// RequestID implements Effect. The effect concerns no single request.
func (PaceChanged) RequestID() string { return "" }

// upstreamPace is the pace of an upstream, and what it is derived from.
type upstreamPace struct {
	pace.Upstream
	// own is what this router saw and told what the others report.
	own, told pace.Evidence
	// unanswered counts this router's attempts whose answer has not begun.
	unanswered int
	// rank is this router's place in the order of senders, for a version of the fleet.
	rank, rankedFor int
}

// startPace begins the pace of an upstream that has just started.
func (s *State) startPace(now time.Time, u *upstream) {
	if !s.options.Pace {
		return
	}
	before := u.pace.Phase()
	u.pace.Start(now)
	s.tellPace(u, before)
}

// recordEnd records that nothing listens at an upstream's address.
func (s *State) recordEnd(now time.Time, u *upstream) {
	if !s.options.Pace {
		return
	}
	u.pace.own.Failed(now)
	u.pace.own.Failures = max(u.pace.own.Failures, endedFailures)
	before := u.pace.Phase()
	u.pace.Fall(now)
	s.tellPace(u, before)
}

// endedFailures is the number of failed attempts that a refused connection counts as: it
// leaves no doubt.
const endedFailures = 6

// updatePace brings an upstream's pace up to date.
func (s *State) updatePace(now time.Time, u *upstream) {
	if !s.options.Pace {
		return
	}
	before, slots := u.pace.Phase(), max(1, u.Slots)
	u.pace.own.Refute(u.pace.told)
	if u.pace.Update(now, u.pace.own.Merge(u.pace.told), slots, s.peersOf(u.Service).Troubled(), 2*crashReportTime(s.aggregatedByDomain)) {
		// It may have ended and started in between.
		if bound, ok := s.coldBound(u.Service); ok {
			s.setCold(now, u, coldstart.Assumed, now.Add(bound.Duration))
		}
	}
	s.tellPace(u, before)
}

// tellPace emits a change of phase.
func (s *State) tellPace(u *upstream, before string) {
	if after := u.pace.Phase(); after != before {
		s.unreportedTokens += coldNewsTokens
		s.emit(PaceChanged{Upstream: u.Instance, Phase: after, Before: before, Window: u.pace.Window()})
	}
}

// findPeerless finds the services of which most upstreams have a pace: after a start of the
// whole platform there are no peers to go by, and no others to serve the callers.
func (s *State) findPeerless() {
	clear(s.unpaced)
	for service, list := range s.services {
		paced := 0
		for _, u := range list {
			if u.pace.Paced() {
				paced++
			}
		}
		if 2*paced > len(list) {
			s.unpaced[service] = true
		}
	}
}

// updatePaces brings the pace of all upstreams up to date.
func (s *State) updatePaces(now time.Time) {
	for _, u := range s.upstreamsWhere(func(u *upstream) bool {
		return u.pace.Paced() || u.pace.own.Failures+u.pace.told.Failures > 0
	}) {
		s.updatePace(now, u)
	}
	s.findPeerless()
}

// windowAllows reports whether this router may have another unanswered request at an
// upstream. What a cold upstream is known to tolerate goes before a window that nothing has
// spoken against.
func (s *State) windowAllows(now time.Time, r *request, u *upstream) bool {
	if !u.pace.Paced() || u.pace.Untroubled() && s.isCold(now, u) || !u.pace.Down() && s.unpaced[u.Service] {
		return true
	}
	if u.pace.Down() && u.pace.Window() == 1 && !r.Route.Kind.Repeatable() {
		// A request that can be sent elsewhere afterwards finds out at less cost.
		return false
	}
	if v := s.fleet.Version(); u.pace.rankedFor != v {
		u.pace.rank, u.pace.rankedFor = s.fleet.Rank(u.ID, u.Domain), v
	}
	return u.pace.unanswered < u.pace.Part(u.pace.rank, s.fleet.Size())
}

// beginUnanswered counts an attempt whose answer has not begun.
func (r *request) beginUnanswered(predicted time.Duration) {
	r.unanswered, r.predicted = true, predicted
	r.upstream.pace.unanswered++
}

// endUnanswered ends that.
func (r *request) endUnanswered() {
	if r.unanswered && r.upstream != nil {
		r.unanswered = false
		r.upstream.pace.unanswered--
	}
}

// peersOf returns what is known of how the steady upstreams of a service answer.
func (s *State) peersOf(service string) *pace.Peers {
	peers := s.answers[service]
	if peers == nil {
		peers = &pace.Peers{}
		s.answers[service] = peers
	}
	return peers
}

// recordAnswer compares the first byte of an answer with those of other upstreams.
func (s *State) recordAnswer(now time.Time, r *request) {
	if !s.options.Pace || !r.unanswered {
		return
	}
	u, took := r.upstream, now.Sub(r.sentAt)
	peers := s.peersOf(r.Service)
	if !u.pace.Paced() {
		peers.Record(took, r.predicted)
		peers.RecordOutcome(false)
		u.pace.own.Good(now)
		return
	}
	switch peers.Compare(took, r.predicted) {
	case pace.Good:
		u.pace.own.Good(now)
	case pace.Late:
		u.pace.own.Bad(now)
	}
	s.updatePace(now, u)
}

// recordComplete records an answer that is complete: the upstream is there. How fast it begins to
// answer is seen at the first byte.
func (s *State) recordComplete(now time.Time, u *upstream) {
	if s.options.Pace && (u.pace.Down() || !u.pace.Paced()) {
		u.pace.own.Good(now)
		s.updatePace(now, u)
	}
}

// recordBadAnswer records an attempt that failed at its upstream.
func (s *State) recordBadAnswer(now time.Time, r *request, e Failed) {
	u := r.upstream
	if !s.options.Pace || e.Local || e.Withheld || e.Replaced {
		return
	}
	if !u.pace.Paced() {
		s.peersOf(r.Service).RecordOutcome(true)
	}
	switch {
	case e.Unreachable:
		s.recordEnd(now, u)
		return
	case e.Kind == core.FailRefused || e.Kind == core.FailStatus || r.firstByteReceived:
		u.pace.own.Bad(now)
	case u.pace.Paced() && e.Kind != core.FailCancelled:
		// No sign of an end by itself: a path that is cut, or an answer that is lost on the
		// way, looks the same.
		u.pace.own.Bad(now)
	}
	s.updatePace(now, u)
}

// reportPace returns the evidence of this router that matters to others: on upstreams that
// are paced or have not answered. What peers told is not passed on.
func (s *State) reportPace(now time.Time) map[uint32]pace.Report {
	var reports map[uint32]pace.Report
	for _, u := range s.upstreams {
		if !u.pace.Paced() && u.pace.own.Failures+u.pace.told.Failures == 0 {
			continue
		}
		r := u.pace.own.Report(now)
		if r.BadAge < 0 && r.GoodAge < 0 {
			continue
		}
		if reports == nil {
			reports = make(map[uint32]pace.Report)
		}
		reports[u.key] = r
	}
	return reports
}

// learnPace replaces the evidence of a peer, nil if it is gone.
func (s *State) learnPace(now time.Time, peer string, reports map[uint32]pace.Report) {
	before := s.paceTold[peer]
	delete(s.paceTold, peer)
	if len(reports) > 0 {
		told := make(map[uint32]pace.Evidence, len(reports))
		for key, r := range reports {
			told[key] = r.Evidence(now)
		}
		s.paceTold[peer] = told
	}
	for key := range before {
		s.sumPace(key)
	}
	for key := range reports {
		s.sumPace(key)
	}
}

// sumPace sums up what the peers tell of an upstream.
func (s *State) sumPace(key uint32) {
	u := s.byKey[key]
	if u == nil {
		return
	}
	list := make([]pace.Evidence, 0, len(s.paceTold))
	for _, told := range s.paceTold {
		if e, ok := told[key]; ok {
			list = append(list, e)
		}
	}
	u.pace.told = pace.Sum(list...)
}

// addPace adds the evidence of another report.
func (r *Report) addPace(o Report) {
	for key, p := range o.Pace {
		if r.Pace == nil {
			r.Pace = make(map[uint32]pace.Report)
		}
		if sum, ok := r.Pace[key]; ok {
			p = sum.Add(p)
		}
		r.Pace[key] = p
	}
}

// subPace takes the failures of another report out of a sum: a router's own would come back to
// it and count twice.
func (r *Report) subPace(o Report) {
	for key, p := range o.Pace {
		if sum, ok := r.Pace[key]; ok {
			sum.Failures = max(0, sum.Failures-p.Failures)
			r.Pace[key] = sum
		}
	}
}

// PacedUpstreams returns the number of upstreams that have a pace.
func (s *State) PacedUpstreams() (n int) {
	for _, u := range s.upstreams {
		if u.pace.Paced() {
			n++
		}
	}
	return n
}

// Held returns how many times an upstream was passed over for a request because it was cold
// or had a pace.
func (s *State) Held() int { return s.held }

// takesNoMoves reports whether no stream is moved to an upstream because it is cold or has a
// pace.
func (s *State) takesNoMoves(now time.Time, u *upstream) bool {
	return s.isCold(now, u) || u.pace.Paced()
}
