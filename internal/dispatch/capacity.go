package dispatch

import "time"

// What engines can do is not what is stated: some have crashed, some are slow, and
// half of them may be set apart for streams. It is found by feedback instead: the
// capacity counts as more than what is being started while little waits at the
// engines, and as less while much does (docs/MEASURES.md, constants).
const (
	// targetBacklog is the prompt work, as time, that should wait at an engine:
	// enough that it is not idle before the next prompt gets there.
	targetBacklog = 140 * time.Millisecond
	// minGrowth and mostGrowth bound the capacity as a multiple of what was
	// started over the share window, with very much and with no work waiting.
	minGrowth = 0.7
	maxGrowth = 1.5
	// minCapacityFraction is the part of the stated throughput that is expected of the
	// engines at least: what is left when a quarter has crashed and others are slow.
	// A router that hears little of its peers sees less than that.
	minCapacityFraction = 0.6
)

// capacity is the rate of tokens that the engines can give while requests of a
// group come in, 0 if no rate is stated.
func (s *State) capacity(now time.Time, service string, class workloadClass) float64 {
	return s.scaledThroughput(now, growthFactor(s.meanBacklog(now, service, class)))
}

// scaledThroughput is what is being started, grown by a factor.
func (s *State) scaledThroughput(now time.Time, factor float64) float64 {
	if s.table == nil || s.table.Limits.TokenRate <= 0 {
		return 0
	}
	return max(minCapacityFraction*s.table.Limits.TokenRate, factor*s.shares.totalStartedRate(now))
}

// shareOf is what an organisation has had, and may have while requests of a group
// come in.
func (s *State) shareOf(now time.Time, org, service string, class workloadClass) Share {
	level := &s.shares.classLevels[class]
	s.shares.updateLevel(now, &s.shares.measuredLevel, func() float64 { return s.scaledThroughput(now, 1) })
	s.shares.updateLevel(now, level, func() float64 { return s.capacity(now, service, class) })
	return s.shares.shareAt(now, org, level)
}

// growthFactor is by how much more, or less, may be started while a backlog waits.
func growthFactor(backlog time.Duration) float64 {
	headroom := 1 - milliseconds(backlog)/milliseconds(targetBacklog)
	return max(minGrowth, 1+(maxGrowth-1)*headroom)
}

// meanBacklog is the prompt work that waits at the engines of a group. Without a
// usable engine it counts as endless.
func (s *State) meanBacklog(now time.Time, service string, class workloadClass) time.Duration {
	const endless = time.Hour
	n, tokens := 0, 0
	for _, u := range s.services[service] {
		if u.class == class && u.acceptsWork(now) && s.health.Available(u.ID, now) {
			n++
			tokens += max(0, u.prefill())
		}
	}
	if n == 0 {
		return endless
	}
	return s.prefillTime(tokens) / time.Duration(n)
}
