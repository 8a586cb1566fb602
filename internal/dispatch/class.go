package dispatch

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// workloadClass tells whether reading the prompt or generating the output dominates a
// request's work. Engines read prompts in chunks between the decode steps of their
// running streams, so each long prompt delays every stream at the same engine. On the
// users' heaviest days nearly all streams pause for too long if both classes are mixed;
// if they are separated, only those that run beside long prompts do.
type workloadClass uint8

const (
	// classPrefill requests have prompts that are long compared with their output.
	classPrefill workloadClass = iota
	// classDecode requests have outputs that are long compared with their prompt.
	classDecode
	// classCount is the number of classes.
	classCount
)

// String returns the name of the class in logs.
func (c workloadClass) String() string {
	if c == classDecode {
		return "decode"
	}
	return "prefill"
}

// other returns the other class.
func (c workloadClass) other() workloadClass { return classCount - 1 - c }

const (
	// decodeRatio is the number of prompt tokens per generated token below which a
	// request belongs to classDecode.
	decodeRatio = 10
	// decodeUtilisation is the number of classDecode streams per upstream, as a
	// fraction of its slots, above which another upstream is assigned to them.
	decodeUtilisation = 0.45
	// streamPeakDecay is the time constant with which a peak of streams decays.
	streamPeakDecay = 4 * time.Second
	// partitionInterval is the interval at which upstreams are assigned anew.
	partitionInterval = 250 * time.Millisecond
)

// classify returns the workload class of a prompt.
func classify(p Prompt) workloadClass {
	if p.Tokens < decodeRatio*p.ExpectedOutput() {
		return classDecode
	}
	return classPrefill
}

// partition is the assignment of a service's upstreams to the workload classes.
type partition struct {
	// peakStreams is the decaying peak of running classDecode streams.
	peakStreams float64
	updatedAt   time.Time
	// cacheRetention is how long an engine keeps a part that is not used again.
	cacheRetention time.Duration
}

// partitionUpstreams assigns the upstreams of each service to the workload classes. All
// routers compute this from the same list and nearly the same load, so they need not
// agree on it.
func (s *State) partitionUpstreams(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		list := s.services[service]
		s.updateSpeeds(now, service, list)
		engine := s.engine(service)
		if engine == nil {
			continue
		}
		p := s.partitions[service]
		if p == nil {
			p = &partition{}
			s.partitions[service] = p
		}
		p.recordStreams(now, countDecodeStreams(list))
		p.cacheRetention = cacheRetention(engine.CacheTokens, s.shares.totalStartedRate(now)/float64(len(list)))
		s.assignClasses(now, list, decodePartitionSize(p.peakStreams, s.countUsable(now, list), engine.Slots))
	}
}

// countUsable counts the upstreams that can get work.
// A cold one counts as the part of its time that it can be busy.
func (s *State) countUsable(now time.Time, list []*upstream) int {
	n := 0.0
	for _, u := range list {
		if u.acceptsWork(now) && s.health.Available(u.ID, now) {
			n += s.warmth(now, u)
		}
	}
	return int(n)
}

// assignClasses assigns the first size usable upstreams to classDecode, the slow ones first.
// Cold ones are left to the other class while there are others: what they take is bounded in
// requests, and long prompts make more of each.
func (s *State) assignClasses(now time.Time, list []*upstream, size int) {
	list = slowFirst(list)
	for _, u := range list {
		u.class = classPrefill
		if size > 0 && !s.isCold(now, u) && u.acceptsWork(now) && s.health.Available(u.ID, now) {
			u.class = classDecode
			size--
		}
	}
	for _, u := range list {
		if size > 0 && u.class == classPrefill && u.acceptsWork(now) && s.health.Available(u.ID, now) {
			u.class = classDecode
			size--
		}
	}
}

// recordStreams updates the decaying peak with the number of streams that run now.
func (p *partition) recordStreams(now time.Time, streams int) {
	if !p.updatedAt.IsZero() {
		p.peakStreams *= math.Exp(-now.Sub(p.updatedAt).Seconds() / streamPeakDecay.Seconds())
	}
	p.updatedAt = now
	p.peakStreams = max(p.peakStreams, float64(streams))
}

// decodePartitionSize returns how many of n upstreams are assigned to classDecode:
// enough for the streams, at least one and at most half.
func decodePartitionSize(streams float64, n, slots int) int {
	if n < 2 {
		return 0
	}
	size := int(math.Ceil(streams / (decodeUtilisation * float64(max(1, slots)))))
	return min(max(1, size), n/2)
}

// countDecodeStreams counts the running classDecode streams over all routers.
func countDecodeStreams(list []*upstream) (n int) {
	for _, u := range list {
		n += u.local.DecodeAttempts + u.remote.DecodeAttempts
	}
	return n
}

// sortUpstreams orders the upstreams of a service so that the first n are spread over
// the failure domains, for any n.
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
