package dispatch

import (
	"maps"
	"slices"
	"time"
)

// maxSendAfterEvacuation is how long after this router has learnt that a failure domain is
// evacuated a request that is bound to an upstream there may still be sent: a stream that had
// been stopped for a move goes on where its memory is. It covers the last copy of a move
// (1.5 s) and leaves most of the time that the users allow (5 s) to learn of the evacuation.
const maxSendAfterEvacuation = 2 * time.Second

// evacuations is what the dispatcher keeps of evacuated failure domains.
type evacuations struct {
	// since holds when this router learnt of each.
	since map[string]time.Time
	// emptied holds the domains of which it has been told that nothing runs there.
	emptied map[string]bool
	// upstreams counts the upstreams that would take new work otherwise, by service.
	upstreams map[string]int
	// openFraction is the fraction of the engines' slots that is not evacuated.
	openFraction float64
}

// setEvacuations replaces the evacuated domains.
func (s *State) setEvacuations(since map[string]time.Time) {
	s.evacuated.since = since
	maps.DeleteFunc(s.evacuated.emptied, func(domain string, _ bool) bool {
		_, still := since[domain]
		return !still
	})
}

// isEvacuated reports whether an upstream is in an evacuated domain.
func (u *upstream) isEvacuated() bool { return !u.evacuatedAt.IsZero() }

// maySendEvacuated reports whether a request that is bound to the upstream may still be sent,
// as far as the evacuation of its domain is concerned.
func (u *upstream) maySendEvacuated(now time.Time) bool {
	return !u.isEvacuated() || now.Sub(u.evacuatedAt) < maxSendAfterEvacuation
}

// countEvacuated counts what is not available because of evacuations.
func (s *State) countEvacuated() {
	s.evacuated.upstreams = make(map[string]int)
	slots, open := 0, 0
	for _, u := range s.upstreams {
		if u.Draining || u.leaving {
			continue
		}
		if u.isEvacuated() {
			s.evacuated.upstreams[u.Service]++
		}
		if s.engine(u.Service) == nil {
			continue
		}
		slots += u.Slots
		if !u.isEvacuated() {
			open += u.Slots
		}
	}
	s.evacuated.openFraction = 1
	if slots > 0 {
		s.evacuated.openFraction = float64(open) / float64(slots)
	}
}

// refuseEvacuated refuses the waiting requests whose upstreams are all evacuated.
func (s *State) refuseEvacuated(now time.Time) {
	for _, key := range s.queueOrder {
		q := s.queues[key]
		if q.size == 0 || s.evacuated.upstreams[key.service] == 0 {
			continue
		}
		for _, org := range s.orgsByCharge(now, q) {
			for _, r := range slices.Clone(q.byOrg[org]) {
				if _, ok := s.availableTo(now, r); ok {
					continue
				}
				s.dequeue(r)
				s.refuseOrFail(now, r, s.unavailableReason(r))
			}
		}
	}
}

// RunningInEvacuated returns the number of requests of all routers that run in each
// evacuated domain, as far as this router knows.
func (s *State) RunningInEvacuated() map[string]int {
	running := make(map[string]int, len(s.evacuated.since))
	for domain := range s.evacuated.since {
		running[domain] = 0
	}
	for _, u := range s.upstreams {
		if u.isEvacuated() {
			running[u.Domain] += max(0, u.running())
		}
	}
	return running
}

// reportEmptied tells once of each evacuated domain that nothing runs there any more.
func (s *State) reportEmptied(now time.Time) {
	if len(s.evacuated.emptied) == len(s.evacuated.since) {
		return
	}
	running := s.RunningInEvacuated()
	for _, domain := range slices.Sorted(maps.Keys(running)) {
		since := s.evacuated.since[domain]
		if running[domain] > 0 || s.evacuated.emptied[domain] || now.Sub(since) < maxSendAfterEvacuation {
			continue
		}
		s.evacuated.emptied[domain] = true
		s.emit(DomainEmptied{Domain: domain, After: now.Sub(since)})
	}
}
