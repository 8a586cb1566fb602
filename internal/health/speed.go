package health

import (
	"math"
	"slices"
	"time"
)

const (
	// ewmaWeight is the weight of a new sample in an average.
	ewmaWeight = 0.25
	// maxLogStep bounds how far a sample may differ from a valid average, as the
	// logarithm of a factor, so that a single outlier does not make an upstream
	// slow.
	maxLogStep = 1.4
	// minSamples is how many samples make an average valid.
	minSamples = 4
	// minPeers is how many upstreams with valid averages are needed for a median.
	minPeers = 3
	// staleAfter is how long an average stays valid after its last sample, so that
	// a slow upstream that gets no more work is tried again.
	staleAfter = 5 * time.Second
	// medianRefresh is how long a median is cached.
	medianRefresh = 100 * time.Millisecond
	// An upstream becomes slow below the speed slowEnter and stays so until it
	// reaches slowExit. The gap between the two is the hysteresis.
	slowEnter = 0.5
	slowExit  = 0.7
)

// The durations from which speed is computed.
const (
	signalFirstByte = iota
	signalTokenGap
	numSignals
)

// logEWMA is an exponentially weighted moving average of the logarithm of a
// duration, so that a few long ones have little weight.
type logEWMA struct {
	mean       float64
	count      int
	lastSample time.Time
}

// add adds a sample. After a pause longer than staleAfter the average starts anew:
// the first samples are weighted as if there had been none before.
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

// valid reports whether the average has enough samples and a recent one.
func (a *logEWMA) valid(now time.Time) bool {
	return a.count >= minSamples && now.Sub(a.lastSample) <= staleAfter
}

// signal returns the average of a signal.
func (u *upstream) signal(i int) *logEWMA {
	if i == signalTokenGap {
		return &u.tokenGap
	}
	return &u.firstByte
}

// Speed returns an upstream's speed relative to the median of its service; 0.2 is a
// fifth of the median speed. It returns 1 while there are too few samples or peers.
func (s *State) Speed(id string, now time.Time) float64 {
	u := s.upstreams[id]
	if u == nil {
		return 1
	}
	medians := s.services[u.service].medians(now)
	// The gap between tokens is preferred, since the time to the first token
	// depends on the length of the prompt.
	for _, i := range []int{signalTokenGap, signalFirstByte} {
		if a := u.signal(i); a.valid(now) && !math.IsNaN(medians[i]) {
			return math.Exp(medians[i] - a.mean)
		}
	}
	return 1
}

// medians returns the median of each signal over the service's upstreams, NaN where
// too few of them have a valid average. The result is cached for medianRefresh.
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

// median returns the lower median, or NaN for fewer than minPeers values.
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
