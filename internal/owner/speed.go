package owner

import "time"

const (
	// speedWeight is the weight of a new reading.
	speedWeight = 0.3
	// bestDecay lowers the best speed a little with each reading, so that a
	// lasting change becomes the new normal.
	bestDecay = 0.999
	// slowFraction of the best speed counts as slow. A full batch alone does not
	// bring an engine that low.
	slowFraction = 1.0 / 3
	// minSampleInterval is the shortest time between two readings of a grant.
	minSampleInterval = 200 * time.Millisecond
	// sampleTTL is how long a judgement holds without a new reading; after it
	// the upstream is tried again.
	sampleTTL = 3 * time.Second
)

// speed judges an upstream by the progress of its own streams, in cost a second
// for one grant.
type speed struct {
	current, best float64
	sampledAt     time.Time
}

// observeProgress takes a grant's cost so far.
func (s *speed) observeProgress(now time.Time, g *grant, cost uint64) {
	elapsed := now.Sub(g.sampledAt)
	if elapsed < minSampleInterval {
		return
	}
	if cost > g.sampledCost && g.sampledCost > 0 {
		s.addSample(now, float64(cost-g.sampledCost)/elapsed.Seconds())
	}
	g.sampledCost, g.sampledAt = cost, now
}

// observeFinish takes a grant's final cost. The wait for the first token is part of
// the time, so only grants without an earlier reading are taken whole.
func (s *speed) observeFinish(now time.Time, g *grant, cost uint64) {
	elapsed := now.Sub(g.sampledAt)
	if elapsed < minSampleInterval || cost <= g.sampledCost {
		return
	}
	s.addSample(now, float64(cost-g.sampledCost)/elapsed.Seconds())
}

func (s *speed) addSample(now time.Time, rate float64) {
	if s.current == 0 || now.Sub(s.sampledAt) > sampleTTL {
		s.current = rate
	}
	s.sampledAt = now
	s.current += speedWeight * (rate - s.current)
	s.best = max(s.best*bestDecay, s.current)
}

// slow reports whether the upstream is now far below its best.
func (s *speed) slow(now time.Time) bool {
	return s.current < slowFraction*s.best && now.Sub(s.sampledAt) <= sampleTTL
}
