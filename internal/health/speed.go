package health

import (
	"math"
	"slices"
	"time"
)

const (
	// ewmaWeight is the weight of a new sample in an average.
	ewmaWeight = 0.25
	// maxLogStep bounds how far a sample may stand from a counting average, as the
	// logarithm of a factor, so that a single straggler makes nobody slow.
	maxLogStep = 1.4
	// minSamples is how many samples make an average count.
	minSamples = 4
	// minPeers is how many upstreams with counting averages make a median.
	minPeers = 3
	// staleAfter is how long an average counts after its last sample. A slow
	// upstream that gets no more work is thus tried again.
	staleAfter = 5 * time.Second
	// medianRefresh is how long a median is kept.
	medianRefresh = 100 * time.Millisecond
	// slowEnter is the speed at which an upstream becomes slow, slowUntil the
	// one at which it ceases to be.
	slowEnter = 0.5
	slowExit  = 0.7
)

// The signals of speed.
const (
	signalFirstByte = iota
	signalTokenGap
	numSignals
)

// logEWMA is an exponentially weighted mean of the logarithm of a time, so
// that a few long ones do not carry it away.
type logEWMA struct {
	mean       float64
	count      int
	lastSample time.Time
}

// add takes a sample. The first ones after a pause weigh as if they were the
// first of all.
func (a *logEWMA) add(now time.Time, d time.Duration) {
	if now.Sub(a.lastSample) > staleAfter {
		a.count = 0
	}
	a.count++
	a.lastSample = now
	step := math.Log(float64(max(d, time.Microsecond))) - a.mean
	if a.count > minSamples {
		step = max(-maxLogStep, min(step, maxLogStep))
	}
	a.mean += step * max(ewmaWeight, 1/float64(a.count))
}

// valid reports whether the average says something at this time.
func (a *logEWMA) valid(now time.Time) bool {
	return a.count >= minSamples && now.Sub(a.lastSample) <= staleAfter
}

// signal returns one of the averages.
func (u *upstream) signal(i int) *logEWMA {
	if i == signalTokenGap {
		return &u.tokenGap
	}
	return &u.firstByte
}

// Speed returns an upstream's speed relative to the median of its service: 0.2
// is a fifth. It is 1 while too little is known.
func (s *State) Speed(id string, now time.Time) float64 {
	u := s.upstreams[id]
	if u == nil {
		return 1
	}
	medians := s.services[u.service].medians(now)
	// The gap between tokens says more than the first token, which depends on
	// the length of the prompt.
	for _, i := range []int{signalTokenGap, signalFirstByte} {
		if a := u.signal(i); a.valid(now) && !math.IsNaN(medians[i]) {
			return math.Exp(medians[i] - a.mean)
		}
	}
	return 1
}

// medians returns the median of each signal over the service's upstreams, NaN
// where too few are known.
func (v *service) medians(now time.Time) [numSignals]float64 {
	if !v.medianAt.IsZero() && now.Sub(v.medianAt) < medianRefresh {
		return v.median
	}
	v.medianAt = now
	for i := range numSignals {
		var logs []float64
		for _, u := range v.members {
			if a := u.signal(i); a.valid(now) {
				logs = append(logs, a.mean)
			}
		}
		v.median[i] = median(logs)
	}
	return v.median
}

// median returns the lower median, NaN of fewer than minPeers values.
func median(values []float64) float64 {
	if len(values) < minPeers {
		return math.NaN()
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Slow reports whether an upstream is much slower than its peers.
func (s *State) Slow(id string, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil {
		return false
	}
	speed := s.Speed(id, now)
	if u.slow {
		u.slow = speed < slowExit
	} else {
		u.slow = speed < slowEnter
	}
	return u.slow
}
