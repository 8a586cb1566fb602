package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// unit is the resolution of a histogram.
	unit = 100 * time.Microsecond
	// longest is the longest time that a histogram tells apart; longer ones count
	// as this.
	longest = time.Hour
	// digits is the number of significant decimal digits.
	digits = 2
	// slotLength and slotsKept bound a histogram's history to an hour.
	slotLength = 10 * time.Minute
	slotsKept  = 6
)

// HistogramSpan is the time that the percentiles of a report cover.
const HistogramSpan = slotLength * slotsKept

// histograms is a ring of histograms, each of one slot of time.
type histograms struct {
	slots [slotsKept]slot
}

type slot struct {
	number    int64
	histogram *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/unit), digits)
}

func slotNumber(now time.Time) int64 { return now.Unix() / int64(slotLength/time.Second) }

func (h *histograms) record(now time.Time, d time.Duration) {
	number := slotNumber(now)
	s := &h.slots[number%slotsKept]
	if s.histogram == nil {
		s.histogram = newHistogram()
	}
	if s.number != number {
		s.histogram.Reset()
		s.number = number
	}
	value := min(max(d/unit, 1), longest/unit)
	if err := s.histogram.RecordValue(int64(value)); err != nil {
		panic(err) // the value lies within the bounds
	}
}

// encoded is the sum of the slots in the library's own compressed form, empty
// if nothing was recorded.
func (h *histograms) encoded(now time.Time) (string, error) {
	sum := newHistogram()
	for _, s := range h.slots {
		if s.histogram != nil && s.number > slotNumber(now)-slotsKept {
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

func latency(kind Kind, h *hdrhistogram.Histogram) Latency {
	ms := func(v int64) float64 { return float64(time.Duration(v)*unit) / float64(time.Millisecond) }
	return Latency{
		Kind: kind.String(), Count: h.TotalCount(),
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}
