// Package measure works out the brief's measures from what a run saw.
package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Step is the width of the windows in which service and waiting are compared.
const Step = 100 * time.Millisecond

// Measures are the measures of one run.
type Measures struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// SendLag is the longest time by which a request was sent too late, in
	// milliseconds; a large one means that the load generator was overloaded.
	SendLag float64            `json:"send_lag_ms"`
	Ends    map[client.End]int `json:"ends"`
	Gap     Gap                `json:"gap"`
	// IdealGap is the gap if one central queue had served the same requests.
	IdealGap    Gap         `json:"ideal_gap"`
	Utilisation Utilisation `json:"use"`
	Nodes       Nodes       `json:"nodes"`
	Phases      []Phase     `json:"phases"`
	Peak        *Peak       `json:"crest,omitempty"`
	// Contrast compares one kind of request between two phases.
	Contrast *Contrast `json:"contrast,omitempty"`
	Refusals []Refusal `json:"refusals"`
	// UntrueRefusals is the number of refusals that said "not run" of work that ran.
	UntrueRefusals int `json:"untrue_refusals"`
	// DuplicateRuns is the number of runs of work that must run at most once beyond
	// the first.
	DuplicateRuns int `json:"doubled"`
	// DuplicatesChecked reports whether the plain services could be asked what they ran.
	DuplicatesChecked bool `json:"doubled_checked"`
	Truncated         int  `json:"cut"`
	Mismatched        int  `json:"foreign"`
	// Service is what each organisation received.
	Service []OrganisationService `json:"service"`
	Notes   []string              `json:"notes,omitempty"`
}

// OrganisationService is what one organisation received in the whole run.
type OrganisationService struct {
	Organisation string  `json:"organisation"`
	Share        int     `json:"share"`
	Answers      int     `json:"answers"`
	Refused      int     `json:"refused"`
	Tokens       int     `json:"tokens"`
	PerShare     float64 `json:"tokens_per_share"`
}

// Of works out the measures of a run.
func Of(r *run.Run) *Measures {
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
		Nodes:       summariseNodes(r.Nodes),
		Phases:      measurePhases(r),
		Peak:        measurePeak(r),
		Contrast:    measureContrast(r),
		Service:     serviceByOrganisation(r),
		Notes:       r.Notes,
	}
	for _, result := range r.Results {
		m.Ends[result.End]++
	}
	m.Truncated = m.Ends[client.Cut]
	m.Mismatched = m.Ends[client.Foreign]
	m.Refusals, m.UntrueRefusals = countRefusals(r)
	m.DuplicateRuns = countDuplicateRuns(r)
	m.DuplicatesChecked = r.UpstreamRuns.Plain != nil
	return m
}

func serviceByOrganisation(r *run.Run) []OrganisationService {
	rows := make([]OrganisationService, len(r.Trace.Tenants))
	for i, t := range r.Trace.Tenants {
		rows[i] = OrganisationService{Organisation: t.Name, Share: t.Share}
	}
	for _, result := range r.Results {
		row := &rows[result.Organisation]
		row.Tokens += len(result.TokenTimes)
		switch result.End {
		case client.Whole:
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
