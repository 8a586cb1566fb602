package burn

import "time"

// RateWindow is the window of the rates over time, in minutes.
const RateWindow = 5

// RatePoint is a burn rate at the end of a minute.
type RatePoint struct {
	At   int64
	Rate float64
}

// Rates are the burn rates of an objective at each minute up to a time, over the
// RateWindow before it; nil if the service has no such objective.
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
