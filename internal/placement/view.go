package placement

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/jujubeford/jujubeford/internal/core"
)

// View is a router's current knowledge of the upstreams, the live routers and
// which router owns which upstream.
type View struct {
	self      core.RouterID
	domain    string
	upstreams map[string]core.Upstream
	services  map[string][]string
	owners    map[string]core.RouterID
	alive     []core.Peer
	aliveIDs  []core.RouterID
	ownsAll   bool
}

// NewView returns a view of router self in a failure domain, without upstreams or
// live routers.
func NewView(self core.RouterID, domain string) *View {
	return &View{
		self:      self,
		domain:    domain,
		upstreams: make(map[string]core.Upstream),
		services:  make(map[string][]string),
		owners:    make(map[string]core.RouterID),
	}
}

// SetUpstreams replaces the list of upstreams and recomputes the owners.
func (v *View) SetUpstreams(list []core.Upstream) {
	v.upstreams = make(map[string]core.Upstream, len(list))
	v.services = make(map[string][]string)
	for _, u := range list {
		v.upstreams[u.ID] = u
		v.services[u.Service] = append(v.services[u.Service], u.ID)
	}
	for _, ids := range v.services {
		sort.Strings(ids)
	}
	v.assignOwners()
}

// SetAlive replaces the list of live routers and recomputes the owners.
func (v *View) SetAlive(alive []core.Peer) {
	v.alive = alive
	v.aliveIDs = make([]core.RouterID, len(alive))
	for i, p := range alive {
		v.aliveIDs[i] = p.ID
	}
	v.assignOwners()
}

// OwnAll makes this router the owner of every upstream, whichever other routers are
// alive. It takes effect when the owners are next computed.
func (v *View) OwnAll() { v.ownsAll = true }

// assignOwners computes the owner of every upstream.
func (v *View) assignOwners() {
	v.owners = make(map[string]core.RouterID, len(v.upstreams))
	routers := groupByDomain(v.alive)
	for id, u := range v.upstreams {
		if v.ownsAll {
			v.owners[id] = v.self
			continue
		}
		v.owners[id] = routers.owner(u)
	}
}

// Upstream returns the upstream with the given id, if it is known.
func (v *View) Upstream(id string) (core.Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// All returns the upstreams of all services, sorted by id.
func (v *View) All() []core.Upstream {
	return slices.SortedFunc(maps.Values(v.upstreams), func(a, b core.Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// OwnedFractions returns the fraction of each service's upstreams that this router owns.
func (v *View) OwnedFractions() map[string]float64 {
	fractions := make(map[string]float64, len(v.services))
	for service, ids := range v.services {
		owned := 0
		for _, id := range ids {
			if v.owners[id] == v.self {
				owned++
			}
		}
		fractions[service] = float64(owned) / float64(len(ids))
	}
	return fractions
}

// HasUpstreams reports whether any upstream is known.
func (v *View) HasUpstreams() bool { return len(v.upstreams) > 0 }

// Owner returns the owner of an upstream, or "" if it has none.
func (v *View) Owner(upstream string) core.RouterID { return v.owners[upstream] }

// Alive returns the live routers.
func (v *View) Alive() []core.Peer { return v.alive }

// RouterIDs returns the ids of the live routers.
func (v *View) RouterIDs() []core.RouterID { return v.aliveIDs }

// Owned returns the upstreams that this router owns, sorted by id.
func (v *View) Owned() []core.Upstream {
	var out []core.Upstream
	for id, owner := range v.owners {
		if owner == v.self {
			out = append(out, v.upstreams[id])
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Upstreams returns the upstreams of a service, sorted by id.
func (v *View) Upstreams(service string) []core.Upstream {
	out := make([]core.Upstream, 0, len(v.services[service]))
	for _, id := range v.services[service] {
		out = append(out, v.upstreams[id])
	}
	return out
}

// Owners returns the routers that own upstreams of a service in state up. near
// lists the owners of upstreams in this router's failure domain and far those of
// upstreams in other domains; a router can be in both.
func (v *View) Owners(service string) (near, far []core.RouterID) {
	seenNear := make(map[core.RouterID]bool)
	seenFar := make(map[core.RouterID]bool)
	for _, id := range v.services[service] {
		u, owner := v.upstreams[id], v.owners[id]
		switch {
		case owner == "" || u.State != core.UpstreamUp:
		case u.Domain == v.domain && !seenNear[owner]:
			seenNear[owner] = true
			near = append(near, owner)
		case u.Domain != v.domain && !seenFar[owner]:
			seenFar[owner] = true
			far = append(far, owner)
		}
	}
	return near, far
}
