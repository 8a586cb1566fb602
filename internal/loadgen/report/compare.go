package report

import (
	"fmt"
	"io"
	"slices"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

// The policies that are set side by side.
const (
	Baseline = "baseline"
	Current  = "owner"
)

// Summary is a measure over the rounds of one scenario and policy.
type Summary struct {
	Rounds int     `json:"rounds"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// ComparisonLine is one measure of one scenario, by policy.
type ComparisonLine struct {
	Scenario string             `json:"scenario"`
	Measure  string             `json:"measure"`
	Unit     string             `json:"unit"`
	Target   string             `json:"target"`
	Policies map[string]Summary `json:"policies"`
}

// Compare sets the runs of all scenarios and policies side by side.
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

// PrintComparison writes the lines as a table, scenario by scenario.
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
