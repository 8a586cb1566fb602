package gateway

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/mirror"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// metricRow is a row of the gateway's table in docs/METRICS.md.
type metricRow struct{ name, kind, labels string }

func TestMetricsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	gw := &Gateway{
		dispatcher: dispatch.New(dispatch.DefaultOptions()), conns: newConns(0), mirror: mirror.New("", time.Second),
	}
	gw.peers = newPeers(gw)
	m, err := newMetrics(gw)
	g.Expect(err).NotTo(HaveOccurred())
	m.recordRequest("stream", "complete", "", time.Second)
	m.recordFirstByte("stream", time.Second)
	m.recordMaxGap("stream", time.Second)
	m.recordAttempt("stream", dispatch.Send{Attempt: 1, Waited: time.Second})
	m.recordRetryAfter("overloaded", time.Second)
	m.recordOffload(string(offloadAnswered))
	m.recordGaveWay("ahead", "slow")
	m.recordUnreadable(unreadableEntry)
	m.recordStoreCall(callList, nil)
	m.recordEvacuation("began")
	gw.metrics = m
	gw.noteUnknownRegions(routing.NewTable(1, routing.Limits{}, []routing.Route{{Regions: []string{"nowhere"}}}, nil, nil))
	gw.dispatcher.Step(time.Now(), dispatch.InstancesChanged{Evacuated: map[string]time.Time{"a": time.Now()}})
	m.recordStoreCall(callWatch, errors.New("reset"))

	families, err := m.registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	var served []metricRow
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "jujubeford_") {
			continue
		}
		var labels []string
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels = append(labels, l.GetName())
		}
		slices.Sort(labels)
		served = append(served, metricRow{f.GetName(), strings.ToLower(f.GetType().String()), strings.Join(labels, ", ")})
	}
	g.Expect(served).To(ConsistOf(documentedMetrics(t)))
}

func documentedMetrics(t *testing.T) (rows []metricRow) {
	t.Helper()
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `jujubeford.gateway.") {
			continue
		}
		cells := strings.Split(strings.ReplaceAll(line, "`", ""), "|")
		rows = append(rows, metricRow{strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3]), strings.TrimSpace(cells[5])})
	}
	return rows
}

func TestPlacementReason(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placementReason(dispatch.Send{Attempt: 1})).To(Equal("load"))
	g.Expect(placementReason(dispatch.Send{Attempt: 1, Cached: 5})).To(Equal("cache"))
	g.Expect(placementReason(dispatch.Send{Attempt: 1, Cached: 5, FetchFrom: "a"})).To(Equal("fetch"))
	g.Expect(placementReason(dispatch.Send{Attempt: 2, Cached: 5})).To(Equal("repeat"))
	g.Expect(placementReason(dispatch.Send{Attempt: 2, ContinueFrom: "a#b"})).To(Equal("continue"))
}

func TestStoreAge(t *testing.T) {
	g := NewWithT(t)
	var m metrics
	g.Expect(m.storeAge()).To(BeZero())
	m.storeAnsweredAt.Store(time.Now().Add(-time.Hour).UnixNano())
	g.Expect(m.storeAge()).To(BeNumerically(">=", 3600))
}
