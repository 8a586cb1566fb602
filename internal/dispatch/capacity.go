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
	// leastGrowth and mostGrowth bound the capacity as a multiple of what was
	// started over the share window, with very much and with no work waiting.
	leastGrowth = 0.7
	mostGrowth  = 1.5
	// leastCapacity is the part of the stated throughput that is expected of the
	// engines at least: what is left when a quarter has crashed and others are slow.
	// A router that hears little of its peers sees less than that.
	leastCapacity = 0.6
)

// capacity is the rate of tokens that the engines can give while requests of a
// group come in, 0 if no rate is stated.
func (s *State) capacity(now time.Time, service string, g group) float64 {
	return s.capacityOf(now, growth(s.meanBacklog(now, service, g)))
}

// capacityOf is what is being started, grown by a factor.
func (s *State) capacityOf(now time.Time, growth float64) float64 {
	if s.table == nil || s.table.Limits.TokenRate <= 0 {
		return 0
	}
	return max(leastCapacity*s.table.Limits.TokenRate, growth*s.shares.startedByAll(now))
}

// share is what an organisation has had, and may have while requests of a group
// come in.
func (s *State) share(now time.Time, org, service string, g group) Share {
	l := &s.shares.levels[g]
	s.shares.update(now, &s.shares.seen, func() float64 { return s.capacityOf(now, 1) })
	s.shares.update(now, l, func() float64 { return s.capacity(now, service, g) })
	return s.shares.share(now, org, l)
}

// growth is by how much more, or less, may be started while a backlog waits.
func growth(backlog time.Duration) float64 {
	room := 1 - ms(backlog)/ms(targetBacklog)
	return max(leastGrowth, 1+(mostGrowth-1)*room)
}

// meanBacklog is the prompt work that waits at the engines of a group. Without a
// usable engine it counts as endless.
func (s *State) meanBacklog(now time.Time, service string, g group) time.Duration {
	const endless = time.Hour
	n, tokens := 0, 0
	for _, u := range s.services[service] {
		if u.group == g && u.takesWork(now) && s.health.Available(u.ID, now) {
			n++
			tokens += max(0, u.prefill())
		}
	}
	if n == 0 {
		return endless
	}
	return s.prefillTime(tokens) / time.Duration(n)
}
