package burn

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
)

const (
	// maxOrganisations bounds the organisations that a report lists, those with
	// the least budget left first.
	maxOrganisations = 200
	// maxWorstListed bounds the worst minutes that a report lists.
	maxWorstListed = 20
	// minErrorBudget stands for the error budget of a target of 1.
	minErrorBudget = 1e-6
)

// Report is the report on service-level burn over a fleet.
type Report struct {
	Taken time.Time `json:"taken"`
	// Windows are the lengths over which burn was worked out, in minutes; the
	// budget is that of the longest.
	Windows  []int           `json:"windows_minutes"`
	Routers  []RouterPart    `json:"routers"`
	Services []ServiceReport `json:"services"`
	// Organisations are those with the least budget left, Omitted how many more
	// there are.
	Organisations []OrganisationReport `json:"organisations"`
	Omitted       int                  `json:"organisations_omitted"`
	Worst         []WorstMinute        `json:"worst_minutes"`
}

// RouterPart reports whether a router's figures are in the report.
type RouterPart struct {
	Router string `json:"router"`
	// Error is why its figures are missing; empty if they are there.
	Error string `json:"error,omitempty"`
	// Started is when its figures begin.
	Started *time.Time `json:"started,omitempty"`
	// Since is when its figures of organisations begin.
	Since *time.Time `json:"organisations_since,omitempty"`
	// Dropped is the number of accounts that it dropped at its bounds.
	Dropped uint64 `json:"dropped_accounts,omitempty"`
}

// ServiceReport is a service over all organisations.
type ServiceReport struct {
	Name       string            `json:"name"`
	Objectives []ObjectiveReport `json:"objectives"`
	// Latencies cover the last hour.
	Latencies []Latency `json:"latencies"`
	// Minutes are the minutes with requests, oldest first.
	Minutes []Minute `json:"minutes"`
}

// OrganisationReport is an organisation at one service.
type OrganisationReport struct {
	Key
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is how far an objective was met.
type ObjectiveReport struct {
	Signal string `json:"signal"`
	// BoundMS is the bound in milliseconds, 0 for a signal without one.
	BoundMS float64 `json:"bound_ms,omitempty"`
	Target  float64 `json:"target"`
	Windows []Burn  `json:"windows"`
	// BudgetLeft is the part of the error budget of the longest window that is
	// left; under 0 it is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// Burn is how fast the error budget was spent over a window: at a rate of 1 it
// would last just as long as the window.
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

// objectives works out the burn of each objective from the counts by window.
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

// burnRate is the part of requests that missed, over the part that may.
func burnRate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / max(1-target, minErrorBudget)
}

// leastBudgetLeft is the least budget left over the objectives.
func leastBudgetLeft(list []ObjectiveReport) float64 {
	out := 1.0
	for _, o := range list {
		out = min(out, o.BudgetLeft)
	}
	return out
}
