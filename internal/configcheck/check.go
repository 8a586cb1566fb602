package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// KeyDigest names an API key without showing it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:6])
}

// Check returns what is wrong with a configuration by itself. contradicted are its limits that
// routers do not keep.
func Check(c *routing.Config, contradicted []Contradiction) *Findings {
	f := &Findings{}
	if c.Version == 0 {
		f.add(Error, Place{Field: Version}, "the version is missing or 0; routers skip the configuration")
	}
	t := c.Table()
	checkLimits(f, c, contradicted)
	checkRoutes(f, c, t)
	checkServices(f, c, t)
	checkOrganisations(f, c, t)
	checkRegions(f, c, t)
	return f
}

func checkLimits(f *Findings, c *routing.Config, contradicted []Contradiction) {
	l := c.Limits
	for _, x := range []struct {
		field    Field
		negative bool
	}{
		{HeaderBytes, l.HeaderBytes < 0}, {BodyBytes, l.BodyBytes < 0}, {HeaderTimeout, l.HeaderTimeout < 0},
		{IdleTimeout, l.IdleTimeout < 0}, {TokenRate, l.TokenRate < 0},
	} {
		if x.negative {
			f.add(Error, Place{List: Limits, Field: x.field}, "the limit is negative")
		}
	}
	for _, x := range contradicted {
		f.add(Warning, Place{List: Limits, Field: x.Field}, "%s", x.Message)
	}
	engines := false
	for _, s := range c.Services {
		engines = engines || s.Engine != nil
	}
	if l.TokenRate > 0 && !engines {
		f.add(Warning, Place{List: Limits, Field: TokenRate}, "a rate of tokens is stated, but no service has engines")
	}
}

func checkRoutes(f *Findings, c *routing.Config, t *routing.Table) {
	shadowed := routing.Shadowed(c.Routes)
	for i := range c.Routes {
		r, at := &c.Routes[i], func(field Field) Place { return Place{List: Routes, Index: i, Field: field} }
		switch {
		case !r.Matchable():
			f.add(Error, at(Prefix), "the route never matches: it needs a host, and a prefix that begins with a slash")
		case !strings.HasSuffix(r.Prefix, "/"):
			f.add(Error, at(Prefix), "the prefix %q does not end with a slash: it matches longer names too", r.Prefix)
		}
		if j, ok := shadowed[i]; ok {
			f.add(Error, at(Prefix), "the route never matches: %s has the same host and prefix", nameOf(c.Routes[j].Name, "route", j))
		}
		checkTargets(f, r, t, at)
		checkTimes(f, r, at)
		if r.MaxAttempts > 1 && !r.Kind.Repeatable() {
			f.add(Warning, at(MaxAttempts), "requests of kind %s are not repeated, %d attempts have no effect", r.Kind, r.MaxAttempts)
		}
	}
}

func checkTargets(f *Findings, r *routing.Route, t *routing.Table, at func(Field) Place) {
	// The id is any: the route has a service for all requests or for none.
	served := r.SelectService("id") != ""
	if !served {
		f.add(Error, at(Targets), "the route has no service for its requests: none is named, or all weights are 0")
	}
	for k, target := range r.Targets {
		p := at(Targets)
		p.Item = k
		if t.Service(target.Service) == nil {
			f.add(Error, p, "there is no service %q", target.Service)
		}
		switch {
		case target.Weight < 0:
			f.add(Error, p, "the weight is negative")
		case target.Weight == 0 && len(r.Targets) > 1 && served:
			f.add(Warning, p, "service %q has weight 0 and gets no requests", target.Service)
		}
	}
}

func checkTimes(f *Findings, r *routing.Route, at func(Field) Place) {
	for _, x := range []struct {
		field    Field
		negative bool
	}{{Timeout, r.Timeout < 0}, {LatencyTarget, r.LatencyTarget < 0}, {GapTarget, r.GapTarget < 0}} {
		if x.negative {
			f.add(Error, at(x.field), "the time is negative")
		}
	}
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		f.add(Warning, at(LatencyTarget), "the target latency %v is beyond the time limit %v", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout > 0 && r.GapTarget > r.Timeout {
		f.add(Warning, at(GapTarget), "the target gap %v is beyond the time limit %v", r.GapTarget, r.Timeout)
	}
	if r.GapTarget > 0 && !r.Kind.Streaming() {
		f.add(Warning, at(GapTarget), "requests of kind %s have no events and no gaps between them", r.Kind)
	}
}

func checkServices(f *Findings, c *routing.Config, t *routing.Table) {
	used := make(map[string]bool)
	for _, r := range c.Routes {
		for _, target := range r.Targets {
			used[target.Service] = true
		}
	}
	last := make(map[string]int)
	for i, s := range c.Services {
		last[s.Name] = i
	}
	for i, s := range c.Services {
		at := func(field Field) Place { return Place{List: Services, Index: i, Field: field} }
		switch {
		case s.Name == "":
			f.add(Error, at(Name), "the service has no name")
		case last[s.Name] != i:
			f.add(Error, at(Name), "the service is never used: services[%d] has the same name", last[s.Name])
		case !used[s.Name]:
			f.add(Warning, at(Name), "no route leads to service %q", s.Name)
		}
		if s.MaxConns < 0 {
			f.add(Error, at(MaxConns), "the number of connections is negative")
		}
		switch {
		case s.ColdUnknown:
			f.add(Error, at(Cold), "what cold upstreams tolerate is not a number, or out of range")
		case s.Cold != nil && s.Cold.PerSecond*s.Cold.Duration.Seconds() < 1:
			f.add(Warning, at(Cold), "a cold upstream gets no request: %g a second for %v is less than one", s.Cold.PerSecond, s.Cold.Duration)
		}
		checkEngine(f, s.Engine, at)
	}
}

func checkEngine(f *Findings, e *routing.Engine, at func(Field) Place) {
	if e == nil {
		return
	}
	if e.Slots <= 0 {
		f.add(Error, at(Slots), "an engine with %d slots runs nothing", e.Slots)
	}
	if e.CacheTokens <= 0 {
		f.add(Error, at(CacheTokens), "an engine with memory for %d tokens runs nothing", e.CacheTokens)
	}
	if e.Moves && (e.TokenBytes <= 0 || e.LinkBytesPerSecond <= 0) {
		f.add(Warning, at(Moves), "how long a move takes is not known: the size of a token or the rate of the link is missing")
	}
}

func checkOrganisations(f *Findings, c *routing.Config, t *routing.Table) {
	seen, names := make(map[string]bool), make(map[string]int)
	for i, o := range c.Organisations {
		at := func(field Field) Place { return Place{List: Organisations, Index: i, Field: field} }
		if j, ok := names[o.Name]; ok {
			f.add(Warning, at(Name), "organisations[%d] has the same name; the two share as one", j)
		} else {
			names[o.Name] = i
		}
		if o.Name == "" {
			f.add(Error, at(Name), "the organisation has no name")
		}
		if len(o.Keys) == 0 {
			f.add(Warning, at(Keys), "organisation %q has no key; it can use public routes only", o.Name)
		}
		for k, key := range o.Keys {
			p := at(Keys)
			p.Item = k
			owner, _ := t.Organisation(key)
			switch {
			case key == "":
				f.add(Error, p, "the key is empty")
			case owner != o.Name:
				f.add(Error, p, "key %s does not work for %q: it belongs to %q too, which gets its requests", KeyDigest(key), o.Name, owner)
			case seen[o.Name+"\x00"+key]:
				f.add(Warning, p, "key %s is there twice", KeyDigest(key))
			}
			seen[o.Name+"\x00"+key] = true
		}
	}
}

// maxRegionPairs bounds the pairs of lists of regions that are compared, so that the check of any
// file takes well under a second.
const maxRegionPairs = 1_000_000

// checkRegions finds routes that no organisation may use, and organisations that may use no
// route, by the regions in which requests may be handled.
func checkRegions(f *Findings, c *routing.Config, t *routing.Table) {
	id := func(regions []string) string { return strings.Join(regions, "\x00") }
	routes, orgs := make(map[string]*routing.Route), make(map[string]string)
	for i := range c.Routes {
		routes[id(c.Routes[i].Regions)] = &c.Routes[i]
	}
	for _, o := range c.Organisations {
		orgs[id(o.Regions)] = o.Name
	}
	if len(routes)*len(orgs) > maxRegionPairs {
		f.add(Warning, Place{}, "%d lists of regions of routes and %d of organisations are too many to compare", len(routes), len(orgs))
		return
	}
	usable, mayUse := make(map[string]bool), make(map[string]bool)
	for r, route := range routes {
		for o, org := range orgs {
			if allowed := t.AllowedRegions(route, org); !allowed.Restricted || len(allowed.Names) > 0 {
				usable[r], mayUse[o] = true, true
			}
		}
	}
	for i, r := range c.Routes {
		if len(orgs) > 0 && !r.Public && !usable[id(r.Regions)] {
			f.add(Error, Place{List: Routes, Index: i, Field: Regions}, "no organisation may use the route: they have no region in common")
		}
	}
	for i, o := range c.Organisations {
		if len(routes) > 0 && !mayUse[id(o.Regions)] {
			f.add(Warning, Place{List: Organisations, Index: i, Field: Regions}, "organisation %q may use no route: they have no region in common", o.Name)
		}
	}
}
