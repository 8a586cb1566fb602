package report

import (
	"fmt"
	"io"
	"slices"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

// Names of the scheduling policies that are compared.
const (
	Baseline = "baseline"
	Current  = "owner"
)

// Summary summarises one measure over all rounds of a scenario with one policy.
type Summary struct {
	Rounds int     `json:"rounds"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// ComparisonLine holds one measure of one scenario for each policy.
type ComparisonLine struct {
	Scenario string             `json:"scenario"`
	Measure  string             `json:"measure"`
	Unit     string             `json:"unit"`
	Target   string             `json:"target"`
	Policies map[string]Summary `json:"policies"`
}

// Compare summarises the runs by scenario, measure and policy. It leaves out
// measures that no run of a scenario has.
func Compare(runs []*measure.Measures) []ComparisonLine {
	var scenarios []string
	for _, m := range runs {
		if !slices.Contains(scenarios, m.Scenario) {
			scenarios = append(scenarios, m.Scenario)
		}
	}
	var lines []ComparisonLine
	for _, scenario := range scenarios {
		for _, row := range Rows() {
			if line := compareMeasure(runs, scenario, row); len(line.Policies) > 0 {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// compareMeasure summarises one measure of one scenario for each policy.
func compareMeasure(runs []*measure.Measures, scenario string, row Row) ComparisonLine {
	values := make(map[string][]float64)
	for _, m := range runs {
		if m.Scenario != scenario {
			continue
		}
		if v, ok := row.Value(m); ok {
			values[m.Policy] = append(values[m.Policy], v)
		}
	}
	line := ComparisonLine{
		Scenario: scenario,
		Measure:  row.Name,
		Unit:     row.Unit,
		Target:   row.Target,
		Policies: make(map[string]Summary),
	}
	for policy, v := range values {
		line.Policies[policy] = summarise(v)
	}
	return line
}

func summarise(values []float64) Summary {
	slices.Sort(values)
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return Summary{
		Rounds: len(values),
		Median: median,
		Min:    values[0],
		Max:    values[len(values)-1],
	}
}

// PrintComparison prints the lines as one table per scenario.
func PrintComparison(w io.Writer, lines []ComparisonLine) error {
	t := newTable(w)
	lastScenario := ""
	for _, line := range lines {
		if line.Scenario != lastScenario {
			fmt.Fprintf(t, "\n%s\t%s\tcurrent\ttarget\n", line.Scenario, Baseline)
			lastScenario = line.Scenario
		}
		name := line.Measure
		if line.Unit != "" {
			name += ", " + line.Unit
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", name,
			formatCell(line.Policies, Baseline), formatCell(line.Policies, Current), line.Target)
	}
	return t.Flush()
}

func formatCell(policies map[string]Summary, policy string) string {
	s, ok := policies[policy]
	switch {
	case !ok:
		return "-"
	case s.Rounds == 1:
		return formatNumber(s.Median)
	default:
		return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Median), formatNumber(s.Min), formatNumber(s.Max))
	}
}
