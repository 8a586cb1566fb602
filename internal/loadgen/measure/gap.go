package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// Gap is the largest difference of service between two organisations over a
// time during which work of both waited without a break.
type Gap struct {
	// Largest is in tokens per unit of share.
	Largest float64 `json:"largest_tokens_per_share"`
	// Ahead and Behind are the organisations concerned.
	Ahead  string `json:"ahead,omitempty"`
	Behind string `json:"behind,omitempty"`
	// Bound is the scenario's bound, and OverBound the largest gap over it; both
	// are 0 without a bound.
	Bound     float64 `json:"bound,omitempty"`
	OverBound float64 `json:"over_bound,omitempty"`
	// Seconds is how long at least two organisations were backlogged.
	Seconds float64 `json:"backlogged_seconds"`
}

func (s *Series) gap(bound float64) Gap {
	g := Gap{Bound: bound, Seconds: s.contendedTime().Seconds()}
	for a := range s.Service {
		for b := range a {
			s.updateGap(&g, a, b)
		}
	}
	if bound > 0 {
		g.OverBound = g.Largest / bound
	}
	return g
}

// updateGap raises the gap to the largest one between two organisations. Over each
// unbroken time, the difference of service since its begin is followed; the gap
// is the distance between its highest and its lowest value.
func (s *Series) updateGap(g *Gap, a, b int) {
	sum, low, high := 0.0, 0.0, 0.0
	for k := range s.Tokens {
		if !s.Backlogged[a][k] || !s.Backlogged[b][k] {
			sum, low, high = 0, 0, 0
			continue
		}
		sum += s.Service[a][k] - s.Service[b][k]
		if rise := sum - low; rise > g.Largest {
			g.Largest, g.Ahead, g.Behind = rise, s.names[a], s.names[b]
		}
		if fall := high - sum; fall > g.Largest {
			g.Largest, g.Ahead, g.Behind = fall, s.names[b], s.names[a]
		}
		low, high = min(low, sum), max(high, sum)
	}
}

// contendedTime is the time during which at least two organisations were
// backlogged.
func (s *Series) contendedTime() time.Duration {
	windows := 0
	for k := range s.Tokens {
		backlogged := 0
		for _, marks := range s.Backlogged {
			if marks[k] {
				backlogged++
			}
		}
		if backlogged > 1 {
			windows++
		}
	}
	return time.Duration(windows) * Step
}

// Utilisation is how much of the capacity was used while work waited.
type Utilisation struct {
	// Fraction is tokens delivered over the engines' capacity.
	Fraction float64 `json:"fraction"`
	// Seconds is how long work waited.
	Seconds float64 `json:"seconds"`
}

func (s *Series) utilisation(r *run.Run) Utilisation {
	tokens, capacity, windows := 0.0, 0.0, 0
	for k := range s.Tokens {
		if !s.anyBacklogged(k) {
			continue
		}
		windows++
		tokens += s.Tokens[k]
		capacity += capacityAt(r, time.Duration(k)*Step) * Step.Seconds()
	}
	u := Utilisation{Seconds: float64(windows) * Step.Seconds()}
	if capacity > 0 {
		u.Fraction = tokens / capacity
	}
	return u
}

func (s *Series) anyBacklogged(k int) bool {
	for _, marks := range s.Backlogged {
		if marks[k] {
			return true
		}
	}
	return false
}

// capacityAt is the engines' capacity in tokens a second, with slowed engines at
// their lower speed.
func capacityAt(r *run.Run, at time.Duration) float64 {
	rate := r.Fleet.TokenRate()
	each := rate / float64(max(1, len(r.Fleet.Engines)))
	for _, e := range r.Trace.Scenario.Events {
		if e.Action == scenario.Slow && at >= e.At && at < e.At+e.Duration {
			rate -= float64(len(e.Targets)) * each * (1 - 1/e.Factor)
		}
	}
	return rate
}
