package dispatch

import (
	"math"
	"sort"
	"time"
)

// group says what most of a request's work is. Engines read prompts in chunks
// between the steps of their running streams, so each long prompt delays every
// stream beside it. On the users' heaviest days nearly all streams pause for too
// long when both are mixed; apart, only those that run beside long prompts do.
type group uint8

const (
	// groupPrompt requests have long prompts for what they generate.
	groupPrompt group = iota
	// groupOutput requests generate much for the length of their prompt.
	groupOutput
	groups
)

// other is the other group.
func (g group) other() group { return groups - 1 - g }

const (
	// outputRatio is how many prompt tokens a generated token may stand for in a
	// request of groupOutput.
	outputRatio = 10
	// streamsPerUpstream is how many streams of groupOutput an upstream serves
	// before another one is set apart for them, as a part of its slots.
	streamsPerUpstream = 0.45
	// groupMemory is the time in which a peak of streams is forgotten.
	groupMemory = 4 * time.Second
	// groupsEvery is how often the upstreams are divided anew.
	groupsEvery = 250 * time.Millisecond
)

// groupOf says what most of a prompt's work is.
func groupOf(p Prompt) group {
	if p.Tokens < outputRatio*p.Output() {
		return groupOutput
	}
	return groupPrompt
}

// division is how the upstreams of a service are divided between the groups.
type division struct {
	// streams is the recent peak of running streams of groupOutput.
	streams float64
	at      time.Time
	// keep is for how long an engine keeps a part that is not used again.
	keep time.Duration
}

// divide sets upstreams apart for streams of groupOutput. All routers do so from
// the same list and nearly the same load, so they need not agree.
func (s *State) divide(now time.Time) {
	for service, list := range s.services {
		e := s.engine(service)
		if e == nil {
			continue
		}
		d := s.divisions[service]
		if d == nil {
			d = &division{}
			s.divisions[service] = d
		}
		d.note(now, outputStreams(list))
		d.keep = keepTime(e.CacheTokens, s.shares.startedByAll(now)/float64(len(list)))
		s.assign(now, list, divisionSize(d.streams, s.usable(now, list), e.Slots))
	}
}

// usable counts the upstreams that can get work.
func (s *State) usable(now time.Time, list []*upstream) (n int) {
	for _, u := range list {
		if u.takesWork(now) && s.health.Available(u.ID, now) {
			n++
		}
	}
	return n
}

// assign sets the first size usable upstreams apart for groupOutput.
func (s *State) assign(now time.Time, list []*upstream, size int) {
	for _, u := range list {
		u.group = groupPrompt
		if size > 0 && u.takesWork(now) && s.health.Available(u.ID, now) {
			u.group = groupOutput
			size--
		}
	}
}

// note takes the number of streams that run now.
func (d *division) note(now time.Time, streams int) {
	if !d.at.IsZero() {
		d.streams *= math.Exp(-now.Sub(d.at).Seconds() / groupMemory.Seconds())
	}
	d.at = now
	d.streams = max(d.streams, float64(streams))
}

// divisionSize is how many of n upstreams are set apart: enough for the streams,
// at least one, and never more than half.
func divisionSize(streams float64, n, slots int) int {
	if n < 2 {
		return 0
	}
	size := int(math.Ceil(streams / (streamsPerUpstream * float64(max(1, slots)))))
	return min(max(1, size), n/2)
}

// outputStreams counts the running streams of groupOutput over all routers.
func outputStreams(list []*upstream) (n int) {
	for _, u := range list {
		n += u.own.Output + u.remote.Output
	}
	return n
}

// sortUpstreams orders the upstreams of a service so that any number of the first
// ones is spread over the failure domains.
func sortUpstreams(list []*upstream) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	rank := make(map[*upstream]int, len(list))
	seen := make(map[string]int)
	for _, u := range list {
		rank[u] = seen[u.Domain]
		seen[u.Domain]++
	}
	sort.SliceStable(list, func(i, j int) bool { return rank[list[i]] < rank[list[j]] })
}
