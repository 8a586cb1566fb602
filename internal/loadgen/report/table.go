package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

const (
	columnPadding = 2
	kilobyte      = 1e3
	megabyte      = 1e6
	percent       = 100
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
}

// Print prints the measures of one run as tables.
func Print(w io.Writer, m *measure.Measures) error {
	t := newTable(w)
	fmt.Fprintf(t, "scenario %s, policy %s, seed %d, %d requests\n\n", m.Scenario, m.Policy, m.Seed, m.Requests)
	printRows(t, m)
	printPhases(t, m.Phases)
	printRefusals(t, m.Refusals)
	printService(t, m.Service)
	for _, note := range m.Notes {
		fmt.Fprintf(t, "note: %s\n", note)
	}
	return t.Flush()
}

func printRows(w io.Writer, m *measure.Measures) {
	for _, end := range slices.Sorted(maps.Keys(m.Ends)) {
		fmt.Fprintf(w, "answers %s\t%d\n", end, m.Ends[end])
	}
	for _, row := range Rows() {
		if value, ok := row.Value(m); ok {
			fmt.Fprintf(w, "%s\t%s %s\n", row.Name, formatNumber(value), row.Unit)
		}
	}
	if m.Gap.Ahead != "" {
		fmt.Fprintf(w, "largest gap between\t%s and %s\n", m.Gap.Ahead, m.Gap.Behind)
	}
}

func printPhases(w io.Writer, phases []measure.Phase) {
	fmt.Fprintf(w, "\nphase\tkind\tsent\twhole\twait p50\tp95\tp99 ms\tanswer p50\tp95\tp99 ms\n")
	for _, p := range phases {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			p.Phase, p.Kind, p.Sent, p.Complete,
			p.Wait.P50, p.Wait.P95, p.Wait.P99,
			p.Answer.P50, p.Answer.P95, p.Answer.P99)
	}
}

func printRefusals(w io.Writer, refusals []measure.Refusal) {
	if len(refusals) == 0 {
		return
	}
	fmt.Fprintf(w, "\nrefusal\toutcome\tcount\tuntrue\tunchecked\twith Retry-After\n")
	for _, r := range refusals {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n",
			r.Reason, r.Outcome, r.Count, r.Untrue, r.Unchecked, r.WithRetryAfter)
	}
}

func printService(w io.Writer, rows []measure.OrganisationService) {
	fmt.Fprintf(w, "\norganisation\tshare\tanswers\trefused\ttokens\ttokens per share\n")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\n",
			r.Organisation, r.Share, r.Answers, r.Refused, r.Tokens, r.PerShare)
	}
}

func formatNumber(value float64) string {
	switch {
	case value == float64(int64(value)):
		return fmt.Sprintf("%d", int64(value))
	case value < 10:
		return fmt.Sprintf("%.3f", value)
	default:
		return fmt.Sprintf("%.1f", value)
	}
}
