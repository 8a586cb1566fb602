package measure

import (
	"cmp"
	"slices"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Refusal counts the refusals with one reason and outcome.
type Refusal struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
	// Untrue is the number of refusals with the outcome "not run" of requests that
	// an upstream ran.
	Untrue int `json:"untrue"`
	// Unchecked is the number of refusals with the outcome "not run" that could not
	// be checked, because the upstreams' runs are unknown.
	Unchecked int `json:"unchecked"`
	// WithRetryAfter is the number of refusals with a Retry-After header.
	WithRetryAfter int `json:"with_retry_after"`
}

const outcomeNotRun = "not-run"

// countRefusals counts the refusals by reason and outcome. It returns the rows sorted
// by these, and the total number of untrue refusals.
func countRefusals(r *run.Run) (rows []Refusal, untrue int) {
	type groupKey struct{ reason, outcome string }
	counts := make(map[groupKey]*Refusal)
	checker := newRefusalChecker(r)
	for _, result := range r.Results {
		if result.End != client.Refused {
			continue
		}
		k := groupKey{result.Reason, result.Outcome}
		if counts[k] == nil {
			counts[k] = &Refusal{Reason: k.reason, Outcome: k.outcome}
		}
		row := counts[k]
		row.Count++
		if result.RetryAfter {
			row.WithRetryAfter++
		}
		switch {
		case !refusedAsNotRun(result):
		case !checker.checkable(result):
			row.Unchecked++
		case checker.wasRun(result):
			row.Untrue++
			untrue++
		}
	}
	for _, row := range counts {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	return rows, untrue
}

func refusedAsNotRun(r client.Result) bool {
	return r.End == client.Refused && r.Outcome == outcomeNotRun
}

// callerRequestID returns the id under which upstreams report a caller's request: the
// idempotency key or, without one, the request's name.
func callerRequestID(r client.Result) string { return cmp.Or(r.Key, r.Name) }

// refusalChecker compares refusals with the runs that the upstreams report.
type refusalChecker struct {
	upstreamRuns run.UpstreamRuns
	// possibleRuns counts, by the caller's request id, the sends that may have run:
	// all except those that were refused as not run.
	possibleRuns map[string]int
}

func newRefusalChecker(r *run.Run) refusalChecker {
	c := refusalChecker{upstreamRuns: r.UpstreamRuns, possibleRuns: make(map[string]int)}
	for _, result := range r.Results {
		if !refusedAsNotRun(result) {
			c.possibleRuns[callerRequestID(result)]++
		}
	}
	return c
}

// runCounts returns the reported runs at the upstreams of the request's kind.
func (c refusalChecker) runCounts(r client.Result) map[string]int {
	if r.Model {
		return c.upstreamRuns.Model
	}
	return c.upstreamRuns.Plain
}

// checkable reports whether the runs at the upstreams of the request's kind are known.
func (c refusalChecker) checkable(r client.Result) bool { return c.runCounts(r) != nil }

// wasRun reports whether a request that was refused as not run has in fact run. That
// is the case if an upstream reports a run under the router's id of the request, or
// if it reports a run under the caller's id that no other send of the same request
// can account for.
func (c refusalChecker) wasRun(r client.Result) bool {
	runs := c.runCounts(r)
	return runs[r.RequestID] > 0 || runs[callerRequestID(r)] > 0 && c.possibleRuns[callerRequestID(r)] == 0
}

// countDuplicateRuns returns the number of runs beyond the first of all idempotency
// keys of this load run. The upstreams may also report keys of earlier load runs.
func countDuplicateRuns(r *run.Run) int {
	keys := make(map[string]bool)
	for _, result := range r.Results {
		if result.Key != "" {
			keys[result.Key] = true
		}
	}
	n := 0
	for key := range keys {
		n += max(0, r.UpstreamRuns.Plain[key]-1)
	}
	return n
}

// RouterUsage summarises the resource usage of the routers.
type RouterUsage struct {
	// Measured is the number of routers whose usage is known.
	Measured int `json:"measured"`
	// ControlMean and ControlMax are the traffic between routers in both
	// directions, in bytes per second and router.
	ControlMean float64 `json:"control_bytes_per_second_mean"`
	ControlMax  float64 `json:"control_bytes_per_second_max"`
	// CPUMean and CPUMax are the CPU usage of a router, in percent of a core.
	CPUMean float64 `json:"cpu_percent_mean"`
	CPUMax  float64 `json:"cpu_percent_max"`
	// MemoryMax is the largest resident memory of a router, in bytes.
	MemoryMax float64 `json:"memory_bytes_max"`
}

func summariseRouterUsage(usages []*run.Usage) RouterUsage {
	var summary RouterUsage
	for _, u := range usages {
		if u == nil {
			continue
		}
		summary.Measured++
		summary.ControlMean += u.ControlBytes
		summary.ControlMax = max(summary.ControlMax, u.ControlBytes)
		summary.CPUMean += u.CPU
		summary.CPUMax = max(summary.CPUMax, u.CPU)
		summary.MemoryMax = max(summary.MemoryMax, u.Memory)
	}
	if summary.Measured > 0 {
		summary.ControlMean /= float64(summary.Measured)
		summary.CPUMean /= float64(summary.Measured)
	}
	return summary
}
