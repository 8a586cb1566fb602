package routing

import "slices"

// Regions is a restriction of requests to some regions. The zero value is none.
type Regions struct {
	// Restricted means that only the regions of Names are allowed, which may be none.
	Restricted bool
	Names      []string
}

// Allows reports whether upstreams in a region may get the requests and routers there their
// bodies. Where the region is not known, region is empty.
func (r Regions) Allows(region string) bool {
	return !r.Restricted || region != "" && slices.Contains(r.Names, region)
}

// AllowedRegions returns the regions in which requests of an organisation on a route may be
// handled: those that both allow. An empty list of either allows all.
func (t *Table) AllowedRegions(route *Route, org string) Regions {
	owned := t.orgRegions[org]
	switch {
	case len(route.Regions) == 0 && len(owned) == 0:
		return Regions{}
	case len(owned) == 0:
		return Regions{true, route.Regions}
	case len(route.Regions) == 0:
		return Regions{true, owned}
	}
	both := Regions{Restricted: true}
	for _, name := range route.Regions {
		if slices.Contains(owned, name) {
			both.Names = append(both.Names, name)
		}
	}
	return both
}

// NamedRegions returns the regions that any route or organisation names, in order.
func (t *Table) NamedRegions() (names []string) {
	for _, routes := range t.hosts {
		for _, r := range routes {
			names = append(names, r.Regions...)
		}
	}
	for _, regions := range t.orgRegions {
		names = append(names, regions...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
