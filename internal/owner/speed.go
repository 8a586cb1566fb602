package owner

import "time"

const (
	// speedWeight is the weight of a new sample in the moving average.
	speedWeight = 0.3
	// bestDecay lowers the best speed slightly with each sample, so that a
	// lasting change becomes the new baseline.
	bestDecay = 0.999
	// slowFraction is the fraction of the best speed below which an upstream is
	// slow. A full batch alone does not slow an engine down that far.
	slowFraction = 1.0 / 3
	// minSampleInterval is the shortest time between two samples of a grant.
	minSampleInterval = 200 * time.Millisecond
	// sampleTTL is how long a measured speed is used without a new sample.
	// After it the upstream is tried again.
	sampleTTL = 3 * time.Second
)

// speed measures an upstream by the progress of its own streams, in cost per
// second of one grant.
type speed struct {
	current, best float64
	sampledAt     time.Time
}

// observeProgress samples the speed from the cost that a grant has reached.
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

// observeFinish samples the speed from a grant's final cost. For a grant
// without an earlier progress report the elapsed time includes the wait for the
// first token.
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

// slow reports whether the current speed is far below the best.
func (s *speed) slow(now time.Time) bool {
	return s.current < slowFraction*s.best && now.Sub(s.sampledAt) <= sampleTTL
}
