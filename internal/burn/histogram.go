package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// resolution is the unit of the values in a histogram.
	resolution = 100 * time.Microsecond
	// maxLatency is the longest time that a histogram can hold; longer ones are
	// recorded as maxLatency.
	maxLatency = time.Hour
	// significantDigits is the number of decimal digits kept of a value.
	significantDigits = 2
	// intervalLength and numIntervals bound the history of latencies to an hour.
	intervalLength = 10 * time.Minute
	numIntervals   = 6
)

// HistogramSpan is the length of time that the percentiles of a report cover.
const HistogramSpan = intervalLength * numIntervals

// rollingHistogram is a ring of histograms, each covering one interval of time.
type rollingHistogram struct {
	intervals [numIntervals]interval
}

type interval struct {
	number    int64
	histogram *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/resolution), significantDigits)
}

func intervalNumber(now time.Time) int64 { return now.Unix() / int64(intervalLength/time.Second) }

func (h *rollingHistogram) record(now time.Time, d time.Duration) {
	number := intervalNumber(now)
	s := &h.intervals[number%numIntervals]
	if s.histogram == nil {
		s.histogram = newHistogram()
	}
	if s.number != number {
		s.histogram.Reset()
		s.number = number
	}
	value := min(max(d/resolution, 1), maxLatency/resolution)
	if err := s.histogram.RecordValue(int64(value)); err != nil {
		panic(err) // cannot happen: the value was clamped to the range
	}
}

// encode merges the intervals of the last HistogramSpan and returns them in the
// compressed encoding of HdrHistogram, empty if nothing was recorded.
func (h *rollingHistogram) encode(now time.Time) (string, error) {
	sum := newHistogram()
	for _, s := range h.intervals {
		if s.histogram != nil && s.number > intervalNumber(now)-numIntervals {
			sum.Merge(s.histogram)
		}
	}
	if sum.TotalCount() == 0 {
		return "", nil
	}
	data, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(data), errors.Wrap(err, "encode histogram")
}

// Latency summarises the distribution of one kind of latency, in milliseconds.
type Latency struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func latency(kind LatencyKind, h *hdrhistogram.Histogram) Latency {
	ms := func(v int64) float64 { return float64(time.Duration(v)*resolution) / float64(time.Millisecond) }
	return Latency{
		Kind: kind.String(), Count: h.TotalCount(),
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}
