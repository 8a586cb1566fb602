package dispatch

import "time"

// The throughput of the engines differs from the configured one: some have crashed, some
// are slow, and up to half of them may be assigned to classDecode streams. It is estimated
// by feedback instead: the capacity is more than the started rate while little prefill
// work waits at the engines, and less while much does (docs/MEASURES.md, constants).
const (
	// targetBacklog is the prefill work, as time, that should wait at an engine: enough
	// to keep it busy until the next prompt arrives.
	targetBacklog = 140 * time.Millisecond
	// minGrowth and maxGrowth bound the capacity as a multiple of the rate started over
	// the share window: with a very large backlog and with none.
	minGrowth = 0.7
	maxGrowth = 1.5
	// minCapacityFraction is the least capacity as a fraction of the configured
	// throughput: what is left when a quarter of the engines has crashed and others are
	// slow. A router that receives few reports from its peers measures less than that.
	minCapacityFraction = 0.6
)

// capacity returns the rate of tokens that the engines can serve, estimated from the
// backlog of a service's engines of one class; 0 if no throughput is configured.
func (s *State) capacity(now time.Time, service string, class workloadClass) float64 {
	return s.scaledThroughput(now, growthFactor(s.meanBacklog(now, service, class)))
}

// scaledThroughput returns the started rate of all routers multiplied by a factor, but
// at least minCapacityFraction of the configured throughput of the domains that are not
// evacuated; 0 if none is configured.
func (s *State) scaledThroughput(now time.Time, factor float64) float64 {
	if s.table == nil || s.table.Limits.TokenRate <= 0 {
		return 0
	}
	return max(minCapacityFraction*s.evacuated.openFraction*s.table.Limits.TokenRate, factor*s.shares.totalStartedRate(now))
}

// shareOf returns the share of an organisation for requests of a service and class. It
// first updates the level at the measured throughput, and the level of the class, whose
// capacity is estimated from the backlog.
func (s *State) shareOf(now time.Time, org, service string, class workloadClass) Share {
	level := &s.shares.classLevels[class]
	s.shares.updateLevel(now, &s.shares.measuredLevel, func() float64 { return s.scaledThroughput(now, 1) })
	s.shares.updateLevel(now, level, func() float64 { return s.capacity(now, service, class) })
	return s.shares.shareAt(now, org, level)
}

// growthFactor returns the ratio of the capacity to the started rate for a backlog: 1 at
// targetBacklog, more below it and less above.
func growthFactor(backlog time.Duration) float64 {
	headroom := 1 - milliseconds(backlog)/milliseconds(targetBacklog)
	return max(minGrowth, 1+(maxGrowth-1)*headroom)
}

// meanBacklog returns the mean prefill work that waits at the usable engines of a class.
// If there are none, the backlog counts as endless.
func (s *State) meanBacklog(now time.Time, service string, class workloadClass) time.Duration {
	const endless = time.Hour
	n, tokens := 0.0, 0
	for _, u := range s.services[service] {
		if u.class == class && u.acceptsWork(now) && s.health.Available(u.ID, now) {
			n += s.warmth(now, u) * u.speed
			tokens += max(0, u.prefill())
		}
	}
	if n == 0 {
		return endless
	}
	return time.Duration(float64(s.prefillTime(tokens)) / n)
}
