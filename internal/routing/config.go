package routing

// Config is the content of a version of the configuration, in the order in which it lists
// its routes, services and organisations.
type Config struct {
	Version       uint64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
}

// Table returns the table of the configuration. It keeps references to the lists in c, which
// must not be modified afterwards.
func (c *Config) Table() *Table {
	return NewTable(c.Version, c.Limits, c.Routes, c.Services, c.Organisations)
}

// Supersedes reports whether routers put t in force in place of old, which may be nil. A
// store that was restored, in a later era, may hold other content of the same version.
func (t *Table) Supersedes(old *Table, laterEra bool) bool {
	return old == nil || t.Version > old.Version || t.Version == old.Version && laterEra
}

// Matchable reports whether requests can match the route at all: they name a host, and their
// paths begin with a slash.
func (r *Route) Matchable() bool {
	return canonicalHost(r.Host) != "" && len(r.Prefix) > 0 && r.Prefix[0] == '/'
}

// Shadowed returns, by index, the routes whose requests all match an earlier route, with the
// index of that one. Where several have the same host and prefix, Match returns the first.
func Shadowed(routes []Route) map[int]int {
	type place struct{ host, prefix string }
	first := make(map[place]int, len(routes))
	shadowed := make(map[int]int)
	for i := range routes {
		p := place{canonicalHost(routes[i].Host), routes[i].Prefix}
		if j, ok := first[p]; ok {
			shadowed[i] = j
		} else {
			first[p] = i
		}
	}
	return shadowed
}

// SameRequests reports whether two routes are for the same requests: the same host, ports and
// case ignored, and the same prefix.
func (r *Route) SameRequests(o *Route) bool { return r.Place() == o.Place() }

// Place names the requests of the route by their host and prefix.
func (r *Route) Place() string { return canonicalHost(r.Host) + r.Prefix }
