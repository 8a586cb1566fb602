package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// Difference is one difference between two versions.
type Difference struct {
	// Change is "added", "removed" or "changed".
	Change string `json:"change"`
	// Subject is the route, service, organisation, key or limit that differs.
	Subject string `json:"subject"`
	// Details tell what has changed, old and new.
	Details []string `json:"details,omitempty"`
	// Concerns names the routes, services and organisations that feel the difference.
	Concerns []string `json:"concerns,omitempty"`
}

// everyOrganisation stands for all organisations in Concerns.
const everyOrganisation = "every organisation"

// CheckAgainst adds to the findings whether routers put the configuration in force in place of
// an older one.
func (f *Findings) CheckAgainst(inForce, next *routing.Config) {
	if next.Version > 0 && !next.Table().Supersedes(inForce.Table(), false) {
		f.add(Error, Place{Field: Version}, "routers keep the version in force, %d: %d is not above it", inForce.Version, next.Version)
	}
}

// Diff returns what differs from the version in force, in the order limits, routes, services,
// organisations and keys, and whom it concerns. Keys are named by their digests.
func Diff(inForce, next *routing.Config) (list []Difference) {
	if details := diffFields(limitFields(inForce.Limits), limitFields(next.Limits)); len(details) > 0 {
		list = append(list, Difference{"changed", "limits", details, []string{everyOrganisation}})
	}
	list = append(list, diffLists(routesByPlace(inForce), routesByPlace(next), "route ", routeFields, routeConcerns)...)
	usedBy := routesOfServices(inForce, next)
	list = append(list, diffLists(servicesByName(inForce), servicesByName(next), "service ", serviceFields,
		func(s routing.Service) []string { return usedBy[s.Name] })...)
	list = append(list, diffLists(organisationsByName(inForce), organisationsByName(next), "organisation ", organisationFields,
		func(o routing.Organisation) []string { return nil })...)
	return append(list, diffLists(ownersByKey(inForce), ownersByKey(next), "key ", func(owner string) fields { return fields{"organisation": owner} },
		func(owner string) []string { return []string{"organisation " + owner} })...)
}

// fields are the fields of an entry by name.
type fields map[string]string

// diffLists compares two lists whose entries have identities.
func diffLists[T any](old, next map[string]T, kind string, fieldsOf func(T) fields, concerns func(T) []string) (list []Difference) {
	ids := slices.Sorted(maps.Keys(old))
	for id := range next {
		if _, ok := old[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		before, was := old[id]
		after, is := next[id]
		switch {
		case !was:
			list = append(list, Difference{"added", kind + id, nil, concerns(after)})
		case !is:
			list = append(list, Difference{"removed", kind + id, nil, concerns(before)})
		default:
			if details := diffFields(fieldsOf(before), fieldsOf(after)); len(details) > 0 {
				concerned := append(slices.Clone(concerns(before)), concerns(after)...)
				slices.Sort(concerned)
				list = append(list, Difference{"changed", kind + id, details, slices.Compact(concerned)})
			}
		}
	}
	return list
}

func diffFields(old, next fields) (details []string) {
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if old[name] != next[name] {
			details = append(details, fmt.Sprintf("%s: %s -> %s", name, cmp.Or(old[name], "none"), cmp.Or(next[name], "none")))
		}
	}
	return details
}

// routesByPlace leaves out routes that never match; Check names them.
func routesByPlace(c *routing.Config) map[string]routing.Route {
	shadowed, byPlace := routing.Shadowed(c.Routes), make(map[string]routing.Route)
	for i, r := range c.Routes {
		if _, never := shadowed[i]; !never {
			byPlace[r.Place()] = r
		}
	}
	return byPlace
}

func servicesByName(c *routing.Config) map[string]routing.Service {
	byName := make(map[string]routing.Service)
	for _, s := range c.Services {
		byName[s.Name] = s
	}
	return byName
}

func organisationsByName(c *routing.Config) map[string]routing.Organisation {
	byName := make(map[string]routing.Organisation)
	for _, o := range c.Organisations {
		byName[o.Name] = o
	}
	return byName
}

// ownersByKey returns the organisations by the digests of their keys.
func ownersByKey(c *routing.Config) map[string]string {
	byKey := make(map[string]string)
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			byKey[KeyDigest(key)] = o.Name
		}
	}
	return byKey
}

func routesOfServices(configs ...*routing.Config) map[string][]string {
	usedBy := make(map[string][]string)
	for _, c := range configs {
		for _, r := range c.Routes {
			for _, t := range r.Targets {
				usedBy[t.Service] = append(usedBy[t.Service], "route "+r.Place())
			}
		}
	}
	for name, routes := range usedBy {
		slices.Sort(routes)
		usedBy[name] = slices.Compact(routes)
	}
	return usedBy
}

func routeFields(r routing.Route) fields {
	targets := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		targets[i] = fmt.Sprintf("%s (%d)", t.Service, t.Weight)
	}
	return fields{
		"name": r.Name, "kind": r.Kind.String(), "time limit": r.Timeout.String(), "target latency": r.LatencyTarget.String(),
		"target gap": r.GapTarget.String(), "priority": fmt.Sprint(r.Priority), "services": strings.Join(targets, ", "),
		"attempts": fmt.Sprint(r.MaxAttempts), "public": fmt.Sprint(r.Public), "regions": strings.Join(r.Regions, ", "),
	}
}

func routeConcerns(r routing.Route) (concerned []string) {
	for _, t := range r.Targets {
		concerned = append(concerned, "service "+t.Service)
	}
	if r.Public {
		return append(concerned, "callers without a key")
	}
	return append(concerned, everyOrganisation)
}

func serviceFields(s routing.Service) fields {
	f := fields{"connections": fmt.Sprint(s.MaxConns), "engine": "", "cold": ""}
	if s.Engine != nil {
		f["engine"] = fmt.Sprintf("%+v", *s.Engine)
	}
	if s.Cold != nil {
		f["cold"] = fmt.Sprintf("%g a second for %v", s.Cold.PerSecond, s.Cold.Duration)
	}
	return f
}

func organisationFields(o routing.Organisation) fields {
	return fields{"regions": strings.Join(o.Regions, ", ")}
}

func limitFields(l routing.Limits) fields {
	return fields{
		"header bytes": fmt.Sprint(l.HeaderBytes), "body bytes": fmt.Sprint(l.BodyBytes), "header timeout": l.HeaderTimeout.String(),
		"idle timeout": l.IdleTimeout.String(), "token rate": fmt.Sprint(l.TokenRate),
	}
}

// nameOf names an entry by its name, or by its place in its list if it has none.
func nameOf(name, kind string, index int) string {
	if name != "" {
		return kind + " " + name
	}
	return fmt.Sprintf("%s %d", kind, index)
}
