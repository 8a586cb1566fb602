package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/burn"
)

// printReport prints the report as text tables.
func printReport(out io.Writer, r *burn.Report) {
	fmt.Fprintf(out, "service-level burn at %s\n", r.Taken.UTC().Format(time.RFC3339))
	printCoverage(out, r)
	for _, s := range r.Services {
		printServiceReport(out, r.Windows, s)
	}
	printOrganisations(out, r)
	printWorst(out, r)
}

// printCoverage prints which routers' counts are in the report and complete.
func printCoverage(out io.Writer, r *burn.Report) {
	merged, missing := coverage(r)
	fmt.Fprintf(out, "figures of %d routers, %d missing\n", merged, len(missing))
	for _, part := range missing {
		fmt.Fprintf(out, "  missing: %s: %s\n", part.Router, part.Error)
	}
	for _, text := range droppedData(r) {
		fmt.Fprintf(out, "  %s\n", text)
	}
}

// droppedData returns a sentence for each kind of data that a router dropped to bound
// its memory.
func droppedData(r *burn.Report) []string {
	var out []string
	for _, part := range r.Routers {
		if part.Started != nil && part.Since != nil && part.Since.After(*part.Started) {
			out = append(out, fmt.Sprintf("%s has dropped minutes of organisations before %s to make room",
				part.Router, part.Since.UTC().Format(time.RFC3339)))
		}
		if part.Dropped > 0 {
			out = append(out, fmt.Sprintf("%s dropped %d accounts at its bounds: their organisations show too little",
				part.Router, part.Dropped))
		}
	}
	return out
}

// coverage returns the number of routers whose counts are in the report, and the
// routers whose counts are missing.
func coverage(r *burn.Report) (merged int, missing []burn.RouterPart) {
	for _, part := range r.Routers {
		if part.Error == "" {
			merged++
			continue
		}
		missing = append(missing, part)
	}
	return merged, missing
}

func printServiceReport(out io.Writer, windows []int, s burn.ServiceReport) {
	if len(s.Objectives) == 0 {
		fmt.Fprintf(out, "\nSERVICE %s has no objectives.\n", s.Name)
	} else {
		t := newTable(out, "SERVICE "+s.Name, "OBJECTIVE BOUND TARGET "+windowHeadings(windows)+" BUDGET-LEFT")
		for _, o := range s.Objectives {
			t.row(objectiveCells(o)...)
		}
		t.end()
	}
	t := newTable(out, "latency over the last hour", "TIME COUNT P50 P95 P99 MAX")
	for _, l := range s.Latencies {
		t.row(l.Kind, l.Count, msText(l.P50), msText(l.P95), msText(l.P99), msText(l.Max))
	}
	t.end()
}

// windowHeadings returns the column headings of the windows, separated by spaces.
func windowHeadings(windows []int) string {
	headings := make([]string, len(windows))
	for i, minutes := range windows {
		headings[i] = "BURN-" + strings.ToUpper(windowText(minutes))
	}
	return strings.Join(headings, " ")
}

// windowText formats a window as the flag -window takes it.
func windowText(minutes int) string {
	if minutes%60 == 0 {
		return fmt.Sprintf("%dh", minutes/60)
	}
	return fmt.Sprintf("%dm", minutes)
}

func objectiveCells(o burn.ObjectiveReport) []any {
	cells := []any{o.Signal, boundText(o.BoundMS), fmt.Sprintf("%.4g%%", 100*o.Target)}
	return append(cells, burnCells(o)...)
}

// burnCells returns the table cells with the burn rate of each window and the budget
// left.
func burnCells(o burn.ObjectiveReport) []any {
	var cells []any
	for _, w := range o.Windows {
		cells = append(cells, burnText(w))
	}
	return append(cells, fmt.Sprintf("%.0f%%", 100*o.BudgetLeft))
}

// burnText formats a burn rate with the counts of misses and of samples.
func burnText(w burn.Burn) string { return fmt.Sprintf("%.2f (%d/%d)", w.Rate, w.Bad, w.Total) }

// boundText formats the bound of an objective in milliseconds. A bound of 0 means that
// the objective has none.
func boundText(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return msText(ms)
}

func msText(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

// printOrganisations prints, for each organisation, the objective with the least
// budget left.
func printOrganisations(out io.Writer, r *burn.Report) {
	if len(r.Organisations) == 0 {
		return
	}
	t := newTable(out, "ORGANISATIONS, the least budget left first",
		"SERVICE ORGANISATION OBJECTIVE "+windowHeadings(r.Windows)+" BUDGET-LEFT")
	for _, org := range r.Organisations[:min(len(r.Organisations), maxRows)] {
		least := slices.MinFunc(org.Objectives, func(a, b burn.ObjectiveReport) int {
			return cmp.Compare(a.BudgetLeft, b.BudgetLeft)
		})
		cells := append([]any{org.Service, org.Organisation, least.Signal}, burnCells(least)...)
		t.row(cells...)
	}
	t.end()
	printOmitted(out, len(r.Organisations))
	if r.Omitted > 0 {
		fmt.Fprintf(out, "%d organisations with more budget left are not in the report\n", r.Omitted)
	}
}

func printWorst(out io.Writer, r *burn.Report) {
	if len(r.Worst) == 0 {
		fmt.Fprintln(out, "\nNo request missed its objectives.")
		return
	}
	t := newTable(out, "WORST MINUTES", "MINUTE SERVICE ORGANISATION MISSES CAUSE")
	for _, w := range r.Worst {
		t.row(w.Start.UTC().Format("01-02T15:04Z"), w.Service, w.Organisation, w.Bad, w.Cause)
	}
	t.end()
}
