package dispatch

import "time"

// mayReach reports whether a request may get to an upstream at all: whether it is in a region
// that the request's route and organisation allow. Upstreams in evacuated domains are not
// listed among those of a service.
func (s *State) mayReach(r *request, u *upstream) bool {
	return !r.regions.Restricted || r.regions.Allows(s.options.Regions[u.Domain])
}

// availableTo returns when the first upstream that a request may reach takes work, as
// availableAt does for a service.
func (s *State) availableTo(now time.Time, r *request) (at time.Time, ok bool) {
	if !r.regions.Restricted {
		return s.availableAt(now, r.Service)
	}
	for _, u := range s.services[r.Service] {
		if !s.mayReach(r, u) || u.replaced || u.isLeaving(now) {
			continue
		}
		back := laterOf(s.nextColdSend(now, u), u.unavailableUntil)
		if !back.After(now) {
			return now, true
		}
		if !ok || back.Before(at) {
			at, ok = back, true
		}
	}
	return at, ok
}

// unavailableReason returns why no upstream takes a request.
func (s *State) unavailableReason(r *request) Reason {
	evacuated, elsewhere := false, false
	for _, u := range s.upstreams {
		if u.Service != r.Service || u.Draining || u.leaving {
			continue
		}
		evacuated = evacuated || u.isEvacuated() && s.mayReach(r, u)
		elsewhere = elsewhere || !s.mayReach(r, u)
	}
	switch {
	case evacuated:
		return ReasonEvacuated
	case elsewhere || r.regions.Restricted && len(r.regions.Names) == 0:
		return ReasonRegion
	}
	return ReasonNoUpstream
}
