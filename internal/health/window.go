package health

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSize is how many samples a latencyWindow keeps.
	windowSize = 128
	// minWindowSamples is how many samples are needed for a quantile.
	minWindowSamples = 20
	// hedgeQuantile is the quantile of the times to the first byte after which a
	// hedge is sent.
	hedgeQuantile = 0.95
)

// latencyWindow holds the most recent samples of a duration.
type latencyWindow struct {
	samples []time.Duration
	next    int
	// sorted is a sorted copy of samples; stale means that samples have been added
	// since.
	sorted []time.Duration
	stale  bool
}

func (w *latencyWindow) add(d time.Duration) {
	w.stale = true
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % windowSize
}

// quantile returns the smallest sample that is at least as large as the share q of
// all samples. It returns false if there are too few samples.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if len(w.samples) < minWindowSamples {
		return 0, false
	}
	if w.stale {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.stale = false
	}
	rank := int(math.Ceil(q*float64(len(w.sorted)))) - 1
	return w.sorted[max(0, rank)], true
}
