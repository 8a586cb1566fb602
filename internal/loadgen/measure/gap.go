package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// Gap is the largest difference in normalised service between two organisations
// over any interval in which both were continuously backlogged.
type Gap struct {
	// Largest is in tokens per unit of share.
	Largest float64 `json:"largest_tokens_per_share"`
	// Ahead and Behind are the organisations that received more and less service.
	Ahead  string `json:"ahead,omitempty"`
	Behind string `json:"behind,omitempty"`
	// Bound is the scenario's bound on the gap, and OverBound is Largest divided by
	// Bound; both are 0 if the scenario has no bound.
	Bound     float64 `json:"bound,omitempty"`
	OverBound float64 `json:"over_bound,omitempty"`
	// Seconds is the time during which at least two organisations were backlogged.
	Seconds float64 `json:"backlogged_seconds"`
}

// gap returns the largest service gap of all pairs of organisations.
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

// updateGap raises g to the largest gap between organisations a and b. In each period
// in which both are continuously backlogged, it tracks the difference of their
// service since the start of the period. The gap is the range of that difference,
// since the largest difference may build up over any part of the period.
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

// contendedTime returns the time during which at least two organisations were
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

// Utilisation is the part of the engines' capacity that was used while requests
// waited.
type Utilisation struct {
	// Fraction is the number of tokens delivered divided by the engines' capacity.
	Fraction float64 `json:"fraction"`
	// Seconds is the time during which at least one organisation was backlogged.
	Seconds float64 `json:"seconds"`
}

// utilisation returns the utilisation over all windows in which an organisation was
// backlogged.
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

// capacityAt returns the engines' capacity at a time of the run, in tokens per
// second. It counts slowed engines at their reduced speed.
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
