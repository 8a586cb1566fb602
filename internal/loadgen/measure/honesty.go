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
	// Untrue is how many said "not run" of a request that an upstream ran.
	Untrue int `json:"untrue"`
	// Unchecked is how many could not be compared with what upstreams ran.
	Unchecked int `json:"unchecked"`
	// WithRetryAfter is how many said when to come back.
	WithRetryAfter int `json:"with_retry_after"`
}

const outcomeNotRun = "not-run"

func refusals(r *run.Run) (rows []Refusal, untrue int) {
	type kind struct{ reason, outcome string }
	counts := make(map[kind]*Refusal)
	for _, result := range r.Results {
		if result.End != client.Refused {
			continue
		}
		k := kind{result.Reason, result.Outcome}
		if counts[k] == nil {
			counts[k] = &Refusal{Reason: k.reason, Outcome: k.outcome}
		}
		row := counts[k]
		row.Count++
		if result.RetryAfter {
			row.WithRetryAfter++
		}
		if result.Outcome != outcomeNotRun {
			continue
		}
		switch {
		case !r.Ran.Known || result.RequestID == "":
			row.Unchecked++
		case r.Ran.Requests[result.RequestID] > 0:
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

// doubled counts the runs beyond the first of each key of this run.
func doubled(r *run.Run) int {
	keys := make(map[string]bool)
	for _, result := range r.Results {
		if result.Key != "" {
			keys[result.Key] = true
		}
	}
	n := 0
	for key := range keys {
		n += max(0, r.Ran.Keys[key]-1)
	}
	return n
}

// Nodes is what the routers spent.
type Nodes struct {
	// Measured is how many routers gave their metrics before and after.
	Measured int `json:"measured"`
	// ControlMean and ControlMax are bytes a second in both directions.
	ControlMean float64 `json:"control_bytes_per_second_mean"`
	ControlMax  float64 `json:"control_bytes_per_second_max"`
	// CPUMean and CPUMax are in percent of a core.
	CPUMean float64 `json:"cpu_percent_mean"`
	CPUMax  float64 `json:"cpu_percent_max"`
	// MemoryMax is the largest resident memory, in bytes.
	MemoryMax float64 `json:"memory_bytes_max"`
}

func nodes(all []*run.Usage) Nodes {
	var n Nodes
	for _, u := range all {
		if u == nil {
			continue
		}
		n.Measured++
		n.ControlMean += u.ControlBytes
		n.ControlMax = max(n.ControlMax, u.ControlBytes)
		n.CPUMean += u.CPU
		n.CPUMax = max(n.CPUMax, u.CPU)
		n.MemoryMax = max(n.MemoryMax, u.Memory)
	}
	if n.Measured > 0 {
		n.ControlMean /= float64(n.Measured)
		n.CPUMean /= float64(n.Measured)
	}
	return n
}
