package dispatch

import (
	"math"
	"sort"
	"time"
)

// workloadClass says what most of a request's work is. Engines read prompts in chunks
// between the steps of their running streams, so each long prompt delays every
// stream beside it. On the users' heaviest days nearly all streams pause for too
// long when both are mixed; apart, only those that run beside long prompts do.
type workloadClass uint8

const (
	// classPrefill requests have long prompts for what they generate.
	classPrefill workloadClass = iota
	// classDecode requests generate much for the length of their prompt.
	classDecode
	classCount
)

// other is the other group.
func (g workloadClass) other() workloadClass { return classCount - 1 - g }

const (
	// outputRatio is how many prompt tokens a generated token may stand for in a
	// request of groupOutput.
	outputRatio = 10
	// outputUtilisation is how many streams of groupOutput an upstream serves
	// before another one is set apart for them, as a part of its slots.
	outputUtilisation = 0.45
	// streamPeakDecay is the time in which a peak of streams is forgotten.
	streamPeakDecay = 4 * time.Second
	// partitionInterval is how often the upstreams are divided anew.
	partitionInterval = 250 * time.Millisecond
)

// classify says what most of a prompt's work is.
func classify(p Prompt) workloadClass {
	if p.Tokens < outputRatio*p.Output() {
		return classDecode
	}
	return classPrefill
}

// partition is how the upstreams of a service are divided between the groups.
type partition struct {
	// peakStreams is the recent peak of running streams of groupOutput.
	peakStreams float64
	updatedAt   time.Time
	// cacheRetention is for how long an engine keeps a part that is not used again.
	cacheRetention time.Duration
}

// partitionUpstreams sets upstreams apart for streams of groupOutput. All routers do so from
// the same list and nearly the same load, so they need not agree.
func (s *State) partitionUpstreams(now time.Time) {
	for service, list := range s.services {
		engine := s.engine(service)
		if engine == nil {
			continue
		}
		p := s.partitions[service]
		if p == nil {
			p = &partition{}
			s.partitions[service] = p
		}
		p.recordStreams(now, countOutputStreams(list))
		p.cacheRetention = cacheRetention(engine.CacheTokens, s.shares.totalStartedRate(now)/float64(len(list)))
		s.assignClasses(now, list, outputPartitionSize(p.peakStreams, s.countUsable(now, list), engine.Slots))
	}
}

// countUsable counts the upstreams that can get work.
func (s *State) countUsable(now time.Time, list []*upstream) (n int) {
	for _, u := range list {
		if u.acceptsWork(now) && s.health.Available(u.ID, now) {
			n++
		}
	}
	return n
}

// assignClasses sets the first size usable upstreams apart for groupOutput.
func (s *State) assignClasses(now time.Time, list []*upstream, size int) {
	for _, u := range list {
		u.class = classPrefill
		if size > 0 && u.acceptsWork(now) && s.health.Available(u.ID, now) {
			u.class = classDecode
			size--
		}
	}
}

// recordStreams takes the number of streams that run now.
func (p *partition) recordStreams(now time.Time, streams int) {
	if !p.updatedAt.IsZero() {
		p.peakStreams *= math.Exp(-now.Sub(p.updatedAt).Seconds() / streamPeakDecay.Seconds())
	}
	p.updatedAt = now
	p.peakStreams = max(p.peakStreams, float64(streams))
}

// outputPartitionSize is how many of n upstreams are set apart: enough for the streams,
// at least one, and never more than half.
func outputPartitionSize(streams float64, n, slots int) int {
	if n < 2 {
		return 0
	}
	size := int(math.Ceil(streams / (outputUtilisation * float64(max(1, slots)))))
	return min(max(1, size), n/2)
}

// countOutputStreams counts the running streams of groupOutput over all routers.
func countOutputStreams(list []*upstream) (n int) {
	for _, u := range list {
		n += u.local.Output + u.remote.Output
	}
	return n
}

// sortUpstreams orders the upstreams of a service so that any number of the first
// ones is spread over the failure domains.
func sortUpstreams(list []*upstream) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	rankInDomain := make(map[*upstream]int, len(list))
	perDomain := make(map[string]int)
	for _, u := range list {
		rankInDomain[u] = perDomain[u.Domain]
		perDomain[u.Domain]++
	}
	sort.SliceStable(list, func(i, j int) bool { return rankInDomain[list[i]] < rankInDomain[list[j]] })
}
