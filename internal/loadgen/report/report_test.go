package report

import (
	"bytes"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

func sampleRuns() []*measure.Measures {
	var list []*measure.Measures
	for _, run := range []struct {
		policy string
		gap    float64
	}{{Baseline, 30}, {Baseline, 10}, {Baseline, 20}, {Current, 4}, {Current, 6}} {
		list = append(list, &measure.Measures{
			Scenario: "uneven",
			Policy:   run.policy,
			Gap:      measure.Gap{Largest: run.gap, Seconds: 1},
		})
	}
	return list
}

func TestCompareGivesMedianMinimumAndMaximum(t *testing.T) {
	g := NewWithT(t)
	lines := Compare(sampleRuns())
	g.Expect(lines[0].Measure).To(Equal("largest service gap"))
	g.Expect(lines[0].Policies).To(Equal(map[string]Summary{
		Baseline: {Rounds: 3, Median: 20, Min: 10, Max: 30},
		Current:  {Rounds: 2, Median: 5, Min: 4, Max: 6},
	}))
	for _, line := range lines {
		g.Expect(line.Measure).NotTo(HavePrefix("crest"), "the runs have no peak phase")
	}
}

func TestPrintComparisonSetsPoliciesSideBySide(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(PrintComparison(&out, Compare(sampleRuns()))).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`largest service gap.*20 \(10 to 30\) +5 \(4 to 6\)`))
}

func TestRecordIsReadBack(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "record.json")
	record := &Record{Measures: sampleRuns()[0], Curves: &measure.Curves{StepMillis: 100}}
	g.Expect(WriteJSON(path, record)).To(Succeed())
	g.Expect(Read(path)).To(Equal(record))
	g.Expect(WriteJSON(path, map[string]int{"other": 1})).To(Succeed())
	_, err := Read(path)
	g.Expect(err).To(MatchError(ContainSubstring("no measures")))
}

func TestPrintNamesEachMeasure(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	m := sampleRuns()[0]
	m.Refusals = []measure.Refusal{{Reason: "queue-full", Outcome: "not-run", Count: 2}}
	m.Notes = []string{"partition was not done"}
	g.Expect(Print(&out, m)).To(Succeed())
	g.Expect(out.String()).To(And(
		MatchRegexp(`largest service gap +30 tokens per share`),
		MatchRegexp(`queue-full +not-run +2`),
		ContainSubstring("note: partition was not done"),
	))
}
