package router

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/store"
)

// noPlatform is a platform for routers that never call it; any call would panic.
type noPlatform struct {
	store.Store
	store.Directory
}

// newTestRouter returns a router whose reducer has processed the events and whose loop
// runs until the test ends. Its ports are not opened.
func newTestRouter(t *testing.T, events ...core.Event) *Router {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := New(Options{
		Name: "r1", Domain: "ga-east/a", Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:2", AdminListen: "127.0.0.1:3",
		ClusterKey: []byte("a key for tests only"), Store: noPlatform{}, Directory: noPlatform{}, Policy: PolicyBaseline, Routers: 1,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, ev := range events {
		r.step(ev)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.loop(ctx)
	t.Cleanup(func() {
		cancel()
		<-r.loopDone
	})
	return r
}

// documentedMetric is a row of the table in docs/METRICS.md.
type documentedMetric struct{ name, prometheus, kind, unit, labels string }

func readDocumentedMetrics(t *testing.T) []documentedMetric {
	t.Helper()
	text, err := os.ReadFile("../docs/METRICS.md")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	var rows []documentedMetric
	for line := range strings.Lines(string(text)) {
		// The gateway's metrics are checked by the gateway's own test.
		if !strings.HasPrefix(line, "| `jujubeford.") || strings.HasPrefix(line, "| `jujubeford.gateway.") {
			continue
		}
		cells := strings.Split(strings.NewReplacer("`", "", "\n", "").Replace(line), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, documentedMetric{cells[1], cells[2], cells[3], cells[4], cells[5]})
	}
	return rows
}

func TestMetricsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t, core.Instances{Upstreams: []core.Upstream{{ID: "e1", Service: "assistant", Domain: "ga-east/a"}}})
	var described []documentedMetric
	for _, i := range instruments {
		r.metrics.observe(core.Observe{Metric: i.metric, Service: "assistant", Value: 1})
		kind := i.kind
		if kind == kindObservableCounter {
			kind = kindCounter
		}
		described = append(described, documentedMetric{i.name, "", string(kind), i.unit, strings.Join(i.labels, ", ")})
	}
	r.metrics.countRefusal(core.Refuse{Reason: core.ReasonQueueFull, Outcome: core.NotRun})

	families, err := r.metrics.registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	labels := make(map[string][]string)
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "jujubeford_") {
			continue
		}
		names := []string{}
		for _, l := range f.GetMetric()[0].GetLabel() {
			names = append(names, l.GetName())
		}
		labels[f.GetName()] = names
	}

	rows := readDocumentedMetrics(t)
	for i := range rows {
		got, registered := labels[rows[i].prometheus]
		// Metrics by kind of message appear only after a message was sent.
		if !strings.Contains(rows[i].labels, labelKind) {
			g.Expect(registered).To(gomega.BeTrue(), "%s is not registered", rows[i].prometheus)
			want := strings.FieldsFunc(rows[i].labels, func(c rune) bool { return c == ',' || c == ' ' })
			slices.Sort(want)
			g.Expect(got).To(gomega.ConsistOf(want), rows[i].prometheus)
		}
		delete(labels, rows[i].prometheus)
		rows[i].prometheus = ""
	}
	g.Expect(rows).To(gomega.ConsistOf(described), "the documented and the defined metrics must be the same")
	g.Expect(labels).To(gomega.BeEmpty(), "every registered metric must be documented")
}
