// Package measure computes the fairness, latency, resource and correctness measures
// of a load run from its recorded results.
package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Step is the width of the time windows in which service and backlog are measured.
const Step = 100 * time.Millisecond

// Measures holds the measures of one run.
type Measures struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// SendLag is the longest delay between the intended and the actual send time of
	// a request, in milliseconds. A large value means that the load generator was
	// overloaded.
	SendLag float64 `json:"send_lag_ms"`
	// Ends counts the results by the way in which they ended.
	Ends map[client.End]int `json:"ends"`
	Gap  Gap                `json:"gap"`
	// IdealGap is the gap in the ideal schedule of the same requests.
	IdealGap    Gap         `json:"ideal_gap"`
	Utilisation Utilisation `json:"use"`
	RouterUsage RouterUsage `json:"nodes"`
	Phases      []Phase     `json:"phases"`
	Peak        *Peak       `json:"crest,omitempty"`
	// Contrast compares one kind of request between two phases, if the scenario
	// asks for it.
	Contrast *Contrast `json:"contrast,omitempty"`
	Refusals []Refusal `json:"refusals"`
	// UntrueRefusals is the number of refusals with the outcome "not run" although
	// an upstream ran the request.
	UntrueRefusals int `json:"untrue_refusals"`
	// DuplicateRuns is the number of runs beyond the first of requests that must run
	// at most once.
	DuplicateRuns int `json:"doubled"`
	// DuplicatesChecked reports whether the plain upstreams' runs are known, without
	// which DuplicateRuns means nothing.
	DuplicatesChecked bool `json:"doubled_checked"`
	Truncated         int  `json:"cut"`
	Mismatched        int  `json:"foreign"`
	// Service holds the service of each organisation.
	Service []OrganisationService `json:"service"`
	Notes   []string              `json:"notes,omitempty"`
}

// OrganisationService is the service that one organisation received in the whole
// run.
type OrganisationService struct {
	Organisation string  `json:"organisation"`
	Share        int     `json:"share"`
	Answers      int     `json:"answers"`
	Refused      int     `json:"refused"`
	Tokens       int     `json:"tokens"`
	PerShare     float64 `json:"tokens_per_share"`
}

// Compute computes the measures of a run.
func Compute(r *run.Run) *Measures {
	s := r.Trace.Scenario
	series := NewSeries(r)
	m := &Measures{
		Scenario:    s.Name,
		Policy:      r.Fleet.Policy,
		Seed:        s.Seed,
		Requests:    len(r.Results),
		SendLag:     milliseconds(r.SendLag.Microseconds()),
		Ends:        make(map[client.End]int),
		Gap:         series.gap(s.GapBound),
		IdealGap:    NewSeries(runOnIdeal(r)).gap(s.GapBound),
		Utilisation: series.utilisation(r),
		RouterUsage: summariseRouterUsage(r.RouterUsages),
		Phases:      measurePhases(r),
		Peak:        measurePeak(r),
		Contrast:    measureContrast(r),
		Service:     serviceByOrganisation(r),
		Notes:       r.Notes,
	}
	for _, result := range r.Results {
		m.Ends[result.End]++
	}
	m.Truncated = m.Ends[client.Truncated]
	m.Mismatched = m.Ends[client.Mismatched]
	m.Refusals, m.UntrueRefusals = countRefusals(r)
	m.DuplicateRuns = countDuplicateRuns(r)
	m.DuplicatesChecked = r.UpstreamRuns.Plain != nil
	return m
}

// serviceByOrganisation returns the service that each organisation received.
func serviceByOrganisation(r *run.Run) []OrganisationService {
	rows := make([]OrganisationService, len(r.Trace.Organisations))
	for i, org := range r.Trace.Organisations {
		rows[i] = OrganisationService{Organisation: org.Name, Share: org.Share}
	}
	for _, result := range r.Results {
		row := &rows[result.Organisation]
		row.Tokens += len(result.TokenTimes)
		switch result.End {
		case client.Complete:
			row.Answers++
		case client.Refused:
			row.Refused++
		}
	}
	for i := range rows {
		rows[i].PerShare = float64(rows[i].Tokens) / float64(rows[i].Share)
	}
	return rows
}
