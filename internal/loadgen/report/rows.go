package report

import (
	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

// Row defines one numeric measure of a run.
type Row struct {
	Name string
	Unit string
	// Target describes the target value for the current policy; it is printed and
	// not evaluated.
	Target string
	// Value returns the measure, or false if the run doesn't have it.
	Value func(*measure.Measures) (float64, bool)
}

// Rows returns the definitions of all measures, in the order of the tables.
func Rows() []Row {
	rows := fairnessRows()
	rows = append(rows, peakRows()...)
	rows = append(rows, routerRows()...)
	return append(rows, correctnessRows()...)
}

func fairnessRows() []Row {
	return []Row{
		{"largest service gap", "tokens per share", "", func(m *measure.Measures) (float64, bool) {
			return m.Gap.Largest, m.Gap.Seconds > 0
		}},
		{"the ideal's largest gap", "tokens per share", "", func(m *measure.Measures) (float64, bool) {
			return m.IdealGap.Largest, m.IdealGap.Seconds > 0
		}},
		{"largest gap over its bound", "", "<= 1", func(m *measure.Measures) (float64, bool) {
			return m.Gap.OverBound, m.Gap.Bound > 0
		}},
		{"time with two backlogged", "s", "", func(m *measure.Measures) (float64, bool) {
			return m.Gap.Seconds, true
		}},
		{"utilisation while work waits", "%", ">= 98", func(m *measure.Measures) (float64, bool) {
			return m.Utilisation.Fraction * percent, m.Utilisation.Seconds > 0
		}},
		{"time while work waits", "s", "", func(m *measure.Measures) (float64, bool) {
			return m.Utilisation.Seconds, true
		}},
	}
}

func peakRows() []Row {
	ofPeak := func(value func(*measure.Peak) float64) func(*measure.Measures) (float64, bool) {
		return func(m *measure.Measures) (float64, bool) {
			if m.Peak == nil {
				return 0, false
			}
			return value(m.Peak), true
		}
	}
	return []Row{
		{"crest: served over ideal", "%", ">= 95", ofPeak(func(p *measure.Peak) float64 { return p.Served * percent })},
		{"crest: wait p50", "ms", "", ofPeak(func(p *measure.Peak) float64 { return p.Wait.P50 })},
		{"crest: wait p95", "ms", "", ofPeak(func(p *measure.Peak) float64 { return p.Wait.P95 })},
		{"crest: wait p99", "ms", "", ofPeak(func(p *measure.Peak) float64 { return p.Wait.P99 })},
		{"crest: wait p95 over ideal", "", "<= 1.3", ofPeak(func(p *measure.Peak) float64 { return p.P95Ratio })},
		{"p99 with over without", "", "<= 1.25 short, 1.5 slowed", func(m *measure.Measures) (float64, bool) {
			if m.Contrast == nil {
				return 0, false
			}
			return m.Contrast.Ratio, m.Contrast.Without > 0
		}},
	}
}

func routerRows() []Row {
	ofUsage := func(value func(measure.RouterUsage) float64) func(*measure.Measures) (float64, bool) {
		return func(m *measure.Measures) (float64, bool) {
			return value(m.RouterUsage), m.RouterUsage.Measured > 0
		}
	}
	return []Row{
		{"control a node, mean", "KB/s", "<= 2", ofUsage(func(u measure.RouterUsage) float64 { return u.ControlMean / kilobyte })},
		{"control a node, largest", "KB/s", "<= 2", ofUsage(func(u measure.RouterUsage) float64 { return u.ControlMax / kilobyte })},
		{"processor a node, mean", "% of a core", "", ofUsage(func(u measure.RouterUsage) float64 { return u.CPUMean })},
		{"processor a node, largest", "% of a core", "", ofUsage(func(u measure.RouterUsage) float64 { return u.CPUMax })},
		{"memory a node, largest", "MB", "<= 256", ofUsage(func(u measure.RouterUsage) float64 { return u.MemoryMax / megabyte })},
	}
}

func correctnessRows() []Row {
	count := func(value func(*measure.Measures) int) func(*measure.Measures) (float64, bool) {
		return func(m *measure.Measures) (float64, bool) { return float64(value(m)), true }
	}
	return []Row{
		{"refusals", "", "", count(func(m *measure.Measures) int {
			n := 0
			for _, r := range m.Refusals {
				n += r.Count
			}
			return n
		})},
		{"refusals untrue", "", "0", count(func(m *measure.Measures) int { return m.UntrueRefusals })},
		{"answers doubled", "", "0", func(m *measure.Measures) (float64, bool) {
			return float64(m.DuplicateRuns), m.DuplicatesChecked
		}},
		{"answers failed", "", "", count(func(m *measure.Measures) int { return m.Ends[client.Failed] })},
		{"answers missing", "", "", count(func(m *measure.Measures) int { return m.Ends[client.Unanswered] })},
		{"answers cut", "", "0", count(func(m *measure.Measures) int { return m.Truncated })},
		{"answers foreign", "", "0", count(func(m *measure.Measures) int { return m.Mismatched })},
		{"latest sending", "ms", "", func(m *measure.Measures) (float64, bool) { return m.SendLag, true }},
	}
}
