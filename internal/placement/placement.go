// Package placement decides which router owns what by rendezvous hashing, so
// that all routers with the same view agree without talking.
package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Pick returns the router with the highest weight for key, "" if there is none.
// A change of one router moves only the keys which that router had or gets.
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

// Owner returns the owner of an upstream among the routers alive: one of the
// upstream's own failure domain, or any if none of those is alive.
func Owner(u core.Upstream, alive []core.Peer) core.RouterID {
	var near, all []core.RouterID
	for _, p := range alive {
		all = append(all, p.ID)
		if p.Domain == u.Domain {
			near = append(near, p.ID)
		}
	}
	if len(near) > 0 {
		return Pick(u.ID, near)
	}
	return Pick(u.ID, all)
}

func weight(key string, r core.RouterID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(r))
	return d.Sum64()
}
