package coldstart

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// routerMemory is how long a router keeps its place in the order of senders after its
// registration has lapsed. Registrations lapse while the store is not available, and not at
// the same time for each router; a view without some would let others take their place.
const routerMemory = 30 * time.Second

// Fleet is a router's view of the registered routers.
type Fleet struct {
	self    string
	routers map[string]member
	// version increases with each change of the view.
	version int
}

// member is a registered router.
type member struct {
	domain string
	// lapsedAt is when its registration lapsed, zero if it is registered.
	lapsedAt time.Time
}

// Set replaces the registered routers, given with their failure domains.
func (f *Fleet) Set(now time.Time, self string, registered []string, domains map[string]string) {
	before, selfBefore := f.routers, f.self
	f.self, f.routers = self, make(map[string]member, len(registered))
	for _, name := range registered {
		f.routers[name] = member{domain: domains[name]}
	}
	if _, ok := f.routers[self]; !ok {
		f.routers[self] = member{domain: domains[self]}
	}
	for name, m := range before {
		if _, ok := f.routers[name]; ok {
			continue
		}
		if m.lapsedAt.IsZero() {
			m.lapsedAt = now
		}
		if now.Sub(m.lapsedAt) < routerMemory {
			f.routers[name] = m
		}
	}
	if self != selfBefore || !maps.Equal(f.routers, before) {
		// Parts and places are computed anew, of many upstreams from many routers.
		f.version++
	}
}

// Version changes with each change of the view.
func (f *Fleet) Version() int { return f.version }

// Size returns the number of routers, at least 1.
func (f *Fleet) Size() int { return max(1, len(f.routers)) }

// Rank returns the place of this router in the order of senders to an upstream. Those in the
// upstream's own failure domain come first: they place most of their requests there. Within
// a domain the order differs from upstream to upstream.
func (f *Fleet) Rank(upstream, domain string) int {
	rank, own := 0, f.position(f.self, upstream, domain)
	for name := range f.routers {
		if name != f.self && f.position(name, upstream, domain).before(own) {
			rank++
		}
	}
	return rank
}

// position is a router's position in the order of senders to an upstream.
type position struct {
	elsewhere int
	hash      uint64
	name      string
}

func (f *Fleet) position(router, upstream, domain string) position {
	p := position{hash: hash(router, upstream), name: router}
	if f.routers[router].domain != domain {
		p.elsewhere = 1
	}
	return p
}

func (p position) before(o position) bool {
	return cmp.Or(cmp.Compare(p.elsewhere, o.elsewhere), cmp.Compare(p.hash, o.hash), cmp.Compare(p.name, o.name)) < 0
}

// hash mixes the bits of the names with MurmurHash3's finalizer.
func hash(names ...string) uint64 {
	f := fnv.New64a()
	for _, name := range names {
		f.Write([]byte(name))
		f.Write([]byte{0})
	}
	h := f.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Routers returns the names of the routers in the view, in order.
func (f *Fleet) Routers() []string {
	names := make([]string, 0, len(f.routers))
	for name := range f.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
