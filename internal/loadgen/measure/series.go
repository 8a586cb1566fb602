package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Series holds the service of each organisation and whether it was backlogged, in
// windows of Step.
type Series struct {
	// Service is the normalised service by organisation and window, in tokens per
	// unit of share.
	Service [][]float64
	// Backlogged reports, by organisation and window, whether requests of the
	// organisation waited for a slot during the whole window.
	Backlogged [][]bool
	// Tokens is the number of tokens that all organisations received, by window.
	Tokens []float64
	// names holds the names of the organisations.
	names []string
}

// transitAllowance is the time for which a request may be in transit. Only the time
// after it counts as waiting.
const transitAllowance = 10 * time.Millisecond

// NewSeries computes the series of a run.
func NewSeries(r *run.Run) *Series {
	end := time.Duration(0)
	for _, result := range r.Results {
		end = max(end, result.EndedAt)
	}
	windows := int(end/Step) + 1
	s := &Series{Tokens: make([]float64, windows)}
	waits := make([][]interval, len(r.Trace.Organisations))
	for _, org := range r.Trace.Organisations {
		s.Service = append(s.Service, make([]float64, windows))
		s.names = append(s.names, org.Name)
	}
	for _, result := range r.Results {
		share := float64(r.Trace.Organisations[result.Organisation].Share)
		for _, at := range result.TokenTimes {
			s.Tokens[at/Step]++
			s.Service[result.Organisation][at/Step] += 1 / share
		}
		if w := slotWaitInterval(result, r.Fleet.TokenTime, end); w.begin < w.end {
			waits[result.Organisation] = append(waits[result.Organisation], w)
		}
	}
	for _, w := range waits {
		s.Backlogged = append(s.Backlogged, coveredWindows(w, windows))
	}
	return s
}

type interval struct{ begin, end time.Duration }

// slotWaitInterval returns the time during which a model request waited for a slot, as
// seen by its caller. A request that was never served waited until it ended, and an
// unanswered one until the end of the run. The interval is empty for a plain request.
func slotWaitInterval(r client.Result, tokenTime, end time.Duration) interval {
	if !r.Model {
		return interval{}
	}
	w := interval{begin: r.IntendedSend + transitAllowance, end: r.EndedAt}
	switch {
	case r.FirstByteAt > 0:
		w.end = r.FirstByteAt - tokenTime
	case r.End == client.Unanswered:
		w.end = end
	}
	return w
}

// coveredWindows marks the windows that lie entirely within the union of the
// intervals.
func coveredWindows(intervals []interval, windows int) []bool {
	marks := make([]bool, windows)
	slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.begin, b.begin) })
	var current interval
	markCurrent := func() {
		for k := (current.begin + Step - 1) / Step; (k+1)*Step <= current.end; k++ {
			marks[k] = true
		}
	}
	for _, next := range intervals {
		if next.begin <= current.end {
			current.end = max(current.end, next.end)
			continue
		}
		markCurrent()
		current = next
	}
	markCurrent()
	return marks
}
