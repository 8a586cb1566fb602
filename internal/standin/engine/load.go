package engine

import "time"

// Load is the load report.
type Load struct {
	// Running is the number of streams in the batch some time ago.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// AgeMs is how old the report is.
	AgeMs int64 `json:"age_ms"`
}

// sample is the size of the batch from a time on.
type sample struct {
	at      time.Time
	running int
}

// loadHistory keeps the sizes of the batch for as long as the report lags.
type loadHistory struct{ samples []sample }

// record adds a size and forgets what no report can show any more.
func (h *loadHistory) record(now time.Time, running int, lag time.Duration) {
	h.samples = append(h.samples, sample{at: now, running: running})
	oldest := h.lastIndexAt(now.Add(-lag))
	if oldest > 0 {
		h.samples = append(h.samples[:0], h.samples[oldest:]...)
	}
}

// lastIndexAt is the index of the last sample at or before a time; -1 if there is none.
func (h *loadHistory) lastIndexAt(at time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) {
			return i
		}
	}
	return -1
}

// sizeAt is the size of the batch at a time.
func (h *loadHistory) sizeAt(at time.Time) int {
	i := h.lastIndexAt(at)
	if i < 0 {
		return 0
	}
	return h.samples[i].running
}
