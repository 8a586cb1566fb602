package engine

import "time"

// Load is the body of a load report.
type Load struct {
	// Running is the number of streams in the batch AgeMs ago.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// sample records that the batch had this size from the time at on.
type sample struct {
	at      time.Time
	running int
}

// loadHistory holds the past sizes of the batch that a load report may still
// need.
type loadHistory struct{ samples []sample }

// record adds a sample and drops those that are too old for any report.
func (h *loadHistory) record(now time.Time, running int, lag time.Duration) {
	h.samples = append(h.samples, sample{at: now, running: running})
	oldest := h.lastIndexAt(now.Add(-lag))
	if oldest > 0 {
		h.samples = append(h.samples[:0], h.samples[oldest:]...)
	}
}

// lastIndexAt returns the index of the last sample at or before a time, or -1.
func (h *loadHistory) lastIndexAt(at time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) {
			return i
		}
	}
	return -1
}

// sizeAt returns the size of the batch at a time, 0 before the first sample.
func (h *loadHistory) sizeAt(at time.Time) int {
	i := h.lastIndexAt(at)
	if i < 0 {
		return 0
	}
	return h.samples[i].running
}
