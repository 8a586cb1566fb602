package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// resolution is the resolution of a histogram.
	resolution = 100 * time.Microsecond
	// maxLatency is the longest time that a histogram tells apart; longer ones count
	// as this.
	maxLatency = time.Hour
	// significantDigits is the number of significant decimal digits.
	significantDigits = 2
	// intervalLength and slotsKept bound a histogram's history to an hour.
	intervalLength = 10 * time.Minute
	numIntervals   = 6
)

// HistogramSpan is the time that the percentiles of a report cover.
const HistogramSpan = intervalLength * numIntervals

// rollingHistogram is a ring of histograms, each of one slot of time.
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
		panic(err) // the value lies within the bounds
	}
}

// encode is the sum of the slots in the library's own compressed form, empty
// if nothing was recorded.
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

// Latency is the distribution of one kind of time, in milliseconds.
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
