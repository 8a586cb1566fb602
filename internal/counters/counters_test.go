package counters

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

var testTime = time.Unix(1_700_000_000, 0)

func counter(served uint64) []*wire.Counter {
	return []*wire.Counter{{Service: "s", Organisation: "o", Served: served, Backlogged: true}}
}

func fixedCounter(n uint64) OwnCounter { return func(string, string) uint64 { return n } }

// remoteGrowth returns the service of other owners that a reporter computes from
// an aggregator's totals.
func remoteGrowth(s *State, from core.RouterID, totals []*wire.Counter, ownServed uint64) uint64 {
	return s.HandleTotals(from, totals, fixedCounter(ownServed))[0].Cost
}

func TestTotalsExcludeOwnService(t *testing.T) {
	g := gomega.NewWithT(t)
	aggregator, reporter := New("agg.1"), New("rep.1")
	aggregator.MergeReport(testTime, "other.1", counter(100))
	g.Expect(remoteGrowth(reporter, "agg.1", aggregator.MergeReport(testTime, "rep.1", counter(10)), 10)).
		To(gomega.BeZero(), "the first total is the baseline")

	aggregator.MergeReport(testTime, "other.1", counter(130))
	g.Expect(remoteGrowth(reporter, "agg.1", aggregator.MergeReport(testTime, "rep.1", counter(15)), 15)).
		To(gomega.BeEquivalentTo(30), "its own 5 are not counted again")
}

func TestLateAndDuplicateReportsAreHarmless(t *testing.T) {
	g := gomega.NewWithT(t)
	aggregator := New("agg.1")
	aggregator.MergeReport(testTime, "a.1", counter(50))
	aggregator.MergeReport(testTime, "a.1", counter(40))
	g.Expect(aggregator.MergeReport(testTime, "a.1", counter(50))[0].Served).To(gomega.BeEquivalentTo(50))
}

func TestRestartsLoseNoMoreThanAPeriod(t *testing.T) {
	rows := []struct {
		name       string
		aggregator core.RouterID
		// total is the first total after the restart.
		total uint64
	}{
		{"the new aggregator has a lower total", "agg.2", 20},
		{"the new aggregator has a higher total", "agg.2", 900},
		{"the total fell, since the report of a dead router expired", "agg.1", 20},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New("rep.1")
			remoteGrowth(s, "agg.1", counter(100), 0)
			g.Expect(remoteGrowth(s, row.aggregator, counter(row.total), 0)).To(gomega.BeZero())
			g.Expect(remoteGrowth(s, row.aggregator, counter(row.total+7), 0)).To(gomega.BeEquivalentTo(7))
		})
	}
}

func TestBacklogExcludesReporter(t *testing.T) {
	g := gomega.NewWithT(t)
	aggregator := New("agg.1")
	g.Expect(aggregator.MergeReport(testTime, "a.1", counter(1))[0].Backlogged).To(gomega.BeFalse())
	g.Expect(aggregator.MergeReport(testTime, "b.1", counter(1))[0].Backlogged).To(gomega.BeTrue())
	later := testTime.Add(backlogTTL)
	g.Expect(aggregator.MergeReport(later, "b.1", counter(1))[0].Backlogged).To(gomega.BeFalse(), "an old report does not count")
}

func TestReportsGoToOneAggregatorPerOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New("a.1")
	alive := []core.RouterID{"a.1", "b.1", "c.1"}
	messages, organisations := 0, 0
	for _, name := range []string{"o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"} {
		effects, local := s.Report(testTime, []*wire.Counter{{Service: "s", Organisation: name}}, alive, fixedCounter(0))
		messages += len(effects)
		organisations += len(effects) + len(local)
	}
	g.Expect(organisations).To(gomega.Equal(8))
	g.Expect(messages).To(gomega.BeNumerically("<", 8), "some are aggregated here")
}
