package dispatch

// mayReach reports whether a request may get to an upstream at all: whether it is in a region
// that the request's route and organisation allow. Upstreams in evacuated domains are not
// listed among those of a service.
func (s *State) mayReach(r *request, u *upstream) bool {
	return !r.regions.Restricted || r.regions.Allows(s.options.Regions[u.Domain])
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
