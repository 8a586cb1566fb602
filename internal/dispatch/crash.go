package dispatch

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// survivalTime is how long an attempt has to run after its first byte for its request to
// count as one that does not crash upstreams.
const survivalTime = time.Second

// directReportTime and relayedReportTime are how long peers take to report a crash, directly
// or by relays: a few intervals of the reports.
const (
	directReportTime  = 100 * time.Millisecond
	relayedReportTime = 500 * time.Millisecond
)

// crashReportTime returns how long peers take to report a crash.
func crashReportTime(aggregatedByDomain bool) time.Duration {
	if aggregatedByDomain {
		return relayedReportTime
	}
	return directReportTime
}

// traitsOf names the properties of a request by which it may crash upstreams.
func traitsOf(r *Request) poison.Request {
	traits := poison.Request{Fingerprint: r.Fingerprint}
	for _, p := range r.Prompt.shared() {
		traits.Parts = append(traits.Parts, p.ID)
	}
	return traits
}

// runID identifies the run of an instance from its start on.
func runID(in Instance) poison.RunID {
	h := fnv.New64a()
	h.Write([]byte(in.ID + " " + in.Addr + " " + strconv.FormatInt(in.Started, 10)))
	return poison.RunID(h.Sum64())
}

// brokenConnection reports whether an attempt's connection broke after the request was
// sent, as it does when the upstream crashes.
func brokenConnection(e Failed) bool {
	return e.MayHaveRun && !e.Local && (e.Kind == core.FailReset || e.Kind == core.FailTruncated)
}

// recordBreak records an attempt whose connection broke, and probes its upstream unless it
// is being probed already.
func (s *State) recordBreak(now time.Time, r *request, e Failed) {
	if !brokenConnection(e) {
		return
	}
	u := r.upstream
	if r.hasSurvived(now) {
		s.poison.Succeeded(now, r.traits)
	} else {
		s.poison.Broken(now, runID(u.Instance), r.traits)
	}
	if !s.probing[u.ID] {
		s.probing[u.ID] = true
		s.emit(Probe{ID: r.ID, Upstream: u.Instance})
	}
}

func (s *State) handleProbe(now time.Time, e Probed) {
	delete(s.probing, e.Upstream.ID)
	switch {
	case e.Refused:
		s.poison.Crashed(now, runID(e.Upstream))
		if u := s.upstreams[e.Upstream.ID]; u != nil && SameStart(u.Instance, e.Upstream) {
			u.unavailableUntil = laterOf(u.unavailableUntil, now.Add(unreachableHold))
			s.noteUnreachable(now, u)
		}
	case e.Connected:
		s.poison.Survived(runID(e.Upstream))
	}
}

// hasSurvived reports whether the current attempt has run for survivalTime.
func (r *request) hasSurvived(now time.Time) bool {
	return r.firstByteReceived && now.Sub(r.firstByteAt) >= survivalTime
}

// recordSurvivors records the requests that have run for survivalTime.
func (s *State) recordSurvivors(now time.Time) {
	for _, r := range s.requests {
		if !r.survived && r.upstream != nil && r.hasSurvived(now) {
			r.survived = true
			s.poison.Succeeded(now, r.traits)
		}
	}
}

// refuseIfBlocked ends a request if requests like it crash upstreams. It may come back
// once they are no longer refused.
func (s *State) refuseIfBlocked(now time.Time, r *request) bool {
	_, until, blocked := s.poison.Blocked(now, r.traits)
	if !blocked {
		return false
	}
	if r.possibleRuns > 0 || r.responseStarted {
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonCrashes})
		return true
	}
	delete(s.requests, r.ID)
	s.emit(Refuse{ID: r.ID, Reason: ReasonCrashes, RetryAfter: until.Sub(now)})
	return true
}

// applyBlocks emits the changes of what is blocked, ends the waiting requests that are
// blocked now, and lets peers hear of news with the next report.
func (s *State) applyBlocks(now time.Time) {
	changes := s.poison.Changes()
	for _, c := range changes {
		s.emit(BlockChanged{c})
	}
	if len(changes) > 0 {
		s.endBlocked(now)
	}
	if s.poison.HasNews() && !s.newsCounted {
		s.newsCounted = true
		s.unreportedTokens += newsTokens
	}
}

// newsTokens is what news of crashes add to UnreportedTokens, so that they are reported
// at the next interval.
const newsTokens = 4 * slotChangeTokens

func (s *State) endBlocked(now time.Time) {
	for _, key := range s.queueOrder {
		for _, list := range s.queues[key].byOrg {
			for _, r := range append([]*request(nil), list...) {
				if _, _, blocked := s.poison.Blocked(now, r.traits); blocked {
					s.dequeue(r)
					s.refuseIfBlocked(now, r)
				}
			}
		}
	}
}

// BlockedTraits returns the number of traits whose requests are refused because of
// crashes.
func (s *State) BlockedTraits(now time.Time) int { return s.poison.BlockedTraits(now) }
