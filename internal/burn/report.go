package burn

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
)

const (
	// maxOrganisations bounds the organisations that a report lists; it lists those
	// with the least budget left.
	maxOrganisations = 200
	// maxWorstListed bounds the worst minutes that a report lists.
	maxWorstListed = 20
	// minErrorBudget is used as the error budget for a target of 1, to avoid a
	// division by zero.
	minErrorBudget = 1e-6
)

// Report shows for a fleet of routers how fast error budgets burn.
type Report struct {
	Taken time.Time `json:"taken"`
	// Windows are the lengths of the windows that burn rates are computed over, in
	// minutes. The budget left is that of the longest window.
	Windows  []int           `json:"windows_minutes"`
	Routers  []RouterPart    `json:"routers"`
	Services []ServiceReport `json:"services"`
	// Organisations are those with the least budget left, sorted by it. Omitted is
	// how many more there are.
	Organisations []OrganisationReport `json:"organisations"`
	Omitted       int                  `json:"organisations_omitted"`
	Worst         []WorstMinute        `json:"worst_minutes"`
}

// RouterPart states whether a router's counts are in the report.
type RouterPart struct {
	Router string `json:"router"`
	// Error is why the router's counts are missing, empty if they are included.
	Error string `json:"error,omitempty"`
	// Started is when the router began to count.
	Started *time.Time `json:"started,omitempty"`
	// Since is the time from which the router's counts of organisations are complete:
	// Started, or later if minutes were dropped to bound memory.
	Since *time.Time `json:"organisations_since,omitempty"`
	// Dropped is the number of accounts that the router dropped to bound memory.
	Dropped uint64 `json:"dropped_accounts,omitempty"`
}

// ServiceReport covers one service over all organisations.
type ServiceReport struct {
	Name       string            `json:"name"`
	Objectives []ObjectiveReport `json:"objectives"`
	// Latencies cover the last hour.
	Latencies []Latency `json:"latencies"`
	// Minutes are the minutes with requests, oldest first.
	Minutes []Minute `json:"minutes"`
}

// OrganisationReport covers one organisation at one service.
type OrganisationReport struct {
	Key
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport shows how far an objective was met.
type ObjectiveReport struct {
	Signal string `json:"signal"`
	// BoundMS is the longest time allowed, in milliseconds; 0 for a signal without
	// such a bound.
	BoundMS float64 `json:"bound_ms,omitempty"`
	Target  float64 `json:"target"`
	Windows []Burn  `json:"windows"`
	// BudgetLeft is the part of the longest window's error budget that is left. It
	// is negative if the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// Burn is the burn rate of the error budget over a window. At a rate of 1 the budget
// is used up exactly at the end of the window.
type Burn struct {
	Minutes int `json:"minutes"`
	Count
	Rate float64 `json:"rate"`
}

// WorstMinute is a minute in which an organisation's requests missed their
// objectives.
type WorstMinute struct {
	Key
	Start time.Time `json:"start"`
	Bad   uint32    `json:"bad"`
	Cause Cause     `json:"cause"`
}

// objectives computes the burn of each objective from the counts by window.
func objectives(o config.Objectives, windows []int, counts [][numSignals]Count) []ObjectiveReport {
	out := []ObjectiveReport{}
	for s := range Signal(numSignals) {
		if !s.set(o) {
			continue
		}
		r := ObjectiveReport{
			Signal: s.String(), Target: o.Target, BudgetLeft: 1,
			BoundMS: float64(s.bound(o)) / float64(time.Millisecond),
		}
		longestWindow := 0
		for i, minutes := range windows {
			c := counts[i][s]
			rate := burnRate(c, o.Target)
			r.Windows = append(r.Windows, Burn{Minutes: minutes, Count: c, Rate: rate})
			if minutes > longestWindow {
				longestWindow, r.BudgetLeft = minutes, 1-rate
			}
		}
		out = append(out, r)
	}
	return out
}

// burnRate is the fraction of samples that missed the objective, divided by the
// fraction that may miss it.
func burnRate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / max(1-target, minErrorBudget)
}

// leastBudgetLeft returns the lowest BudgetLeft of the objectives, at most 1.
func leastBudgetLeft(list []ObjectiveReport) float64 {
	out := 1.0
	for _, o := range list {
		out = min(out, o.BudgetLeft)
	}
	return out
}
