package burn

import "time"

// RateWindow is the length of the sliding window of burn rates over time, in
// minutes.
const RateWindow = 5

// RatePoint is the burn rate over the RateWindow that ends with a minute.
type RatePoint struct {
	At   int64
	Rate float64
}

// Rates returns the burn rate of an objective for each minute from the first one
// recorded until the given time, each over the RateWindow that ends with it. It
// returns nil if the service has no such objective or no minutes.
func (s *ServiceReport) Rates(signal Signal, until time.Time) []RatePoint {
	target := 0.0
	for _, o := range s.Objectives {
		if o.Signal == signal.String() {
			target = o.Target
		}
	}
	if target == 0 || len(s.Minutes) == 0 {
		return nil
	}
	var out []RatePoint
	next, oldest := 0, 0
	var sum Count
	for at := s.Minutes[0].At; at <= until.Unix()/60; at++ {
		for ; next < len(s.Minutes) && s.Minutes[next].At <= at; next++ {
			sum.add(s.Minutes[next].Counts[signal])
		}
		for ; oldest < next && s.Minutes[oldest].At <= at-RateWindow; oldest++ {
			sum.sub(s.Minutes[oldest].Counts[signal])
		}
		out = append(out, RatePoint{At: at, Rate: burnRate(sum, target)})
	}
	return out
}
