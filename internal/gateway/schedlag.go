package gateway

import (
	"math"
	runtimemetrics "runtime/metrics"
	"time"
)

const (
	// schedLatencies is the runtime's histogram of the time that runnable goroutines
	// waited until they ran.
	schedLatencies = "/sched/latencies:seconds"
	// lagQuantile is the quantile of the waits that counts as the lag, and lagSamples
	// the minimum number of waits for a result. A request passes through several
	// goroutines, so a long wait of every tenth affects many requests.
	lagQuantile = 0.9
	lagSamples  = 20
)

// schedLag measures how long goroutines wait for the processor. It is not safe for
// concurrent use.
type schedLag struct {
	sample [1]runtimemetrics.Sample
	prev   []uint64
}

// read returns the lag since the last call, 0 if there were too few waits.
func (l *schedLag) read() time.Duration {
	l.sample[0].Name = schedLatencies
	runtimemetrics.Read(l.sample[:])
	if l.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0
	}
	h := l.sample[0].Value.Float64Histogram()
	return l.quantileSince(h.Counts, h.Buckets)
}

// quantileSince returns the lagQuantile of what has been added to the counts of a
// histogram since the last call, as the upper bound of its bucket. Bucket i lies
// between bounds i and i+1.
func (l *schedLag) quantileSince(counts []uint64, bounds []float64) time.Duration {
	if len(l.prev) != len(counts) {
		l.prev = make([]uint64, len(counts))
	}
	var total uint64
	for i, n := range counts {
		total += n - l.prev[i]
	}
	var lag time.Duration
	if total >= lagSamples {
		sum, rank := uint64(0), uint64(math.Ceil(lagQuantile*float64(total)))
		for i, n := range counts {
			if sum += n - l.prev[i]; sum >= rank {
				lag = bucketDuration(bounds[i+1], bounds[i])
				break
			}
		}
	}
	copy(l.prev, counts)
	return lag
}

// bucketDuration converts a bucket's upper bound in seconds, or its lower one if the
// upper one is infinite.
func bucketDuration(upper, lower float64) time.Duration {
	if math.IsInf(upper, 1) {
		upper = lower
	}
	return time.Duration(upper * float64(time.Second))
}
