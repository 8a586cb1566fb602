// Package placement assigns upstreams and other keys to routers by rendezvous
// hashing. Routers with the same view compute the same owners without
// communicating.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Pick returns the router with the highest weight for key, or "" if routers is
// empty. Adding or removing a router moves only the keys that it gains or loses.
func Pick(key string, routers []core.RouterID) core.RouterID {
	var best core.RouterID
	var top uint64
	for _, r := range routers {
		w := weight(key, r)
		if best == "" || w > top || (w == top && r < best) {
			best, top = r, w
		}
	}
	return best
}

// routersByDomain holds the live routers, all together and by failure domain.
type routersByDomain struct {
	all      []core.RouterID
	byDomain map[string][]core.RouterID
}

// groupByDomain indexes the live routers by failure domain.
func groupByDomain(alive []core.Peer) routersByDomain {
	d := routersByDomain{byDomain: make(map[string][]core.RouterID)}
	for _, p := range alive {
		d.all = append(d.all, p.ID)
		d.byDomain[p.Domain] = append(d.byDomain[p.Domain], p.ID)
	}
	return d
}

// owner returns the router that owns an upstream: one in the upstream's failure
// domain, or any live router if that domain has none.
func (d routersByDomain) owner(u core.Upstream) core.RouterID {
	if near := d.byDomain[u.Domain]; len(near) > 0 {
		return Pick(u.ID, near)
	}
	return Pick(u.ID, d.all)
}

// Rank returns the routers in descending order of weight for key.
func Rank(key string, routers []core.RouterID) []core.RouterID {
	weights := make(map[core.RouterID]uint64, len(routers))
	for _, r := range routers {
		weights[r] = weight(key, r)
	}
	return slices.SortedFunc(slices.Values(routers), func(a, b core.RouterID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

// weight returns the rendezvous hash of a key and a router.
func weight(key string, r core.RouterID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(r))
	return d.Sum64()
}
