package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/evacuation"
)

// updateEvacuations passes the operator's requests to evacuate failure domains from the mirror
// to the state, and returns the domains evacuated now. The caller holds mirrorMu.
func (g *Gateway) updateEvacuations(now time.Time, upstreams []dispatch.Instance) map[string]time.Time {
	prefix := g.options.Directory.EvacuationPrefix()
	var requested []string
	for _, e := range g.mirror.Entries(prefix) {
		requested = append(requested, strings.TrimPrefix(e.Key, prefix))
	}
	for _, c := range g.evacuations.Update(now, g.mirror.Position().Era, requested) {
		g.noteEvacuation(now, c, upstreams)
	}
	return g.evacuations.Domains()
}

// expireEvacuations ends the evacuations that a restored store lacks and that were not written
// again, and reports whether there were any.
func (g *Gateway) expireEvacuations(now time.Time) bool {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	ended := g.evacuations.Expire(now)
	for _, c := range ended {
		g.noteEvacuation(now, c, nil)
	}
	return len(ended) > 0
}

// noteEvacuation logs and counts a change of an evacuation. A domain without upstreams may be
// misspelt.
func (g *Gateway) noteEvacuation(now time.Time, c evacuation.Change, upstreams []dispatch.Instance) {
	klog.InfoS("Evacuation: changed.", "domain", c.Domain, "outcome", c.Outcome, "for", now.Sub(c.Since), "position", g.mirror.Position())
	g.metrics.recordEvacuation(c.Outcome.String())
	isKnown := slices.ContainsFunc(upstreams, func(in dispatch.Instance) bool { return in.Domain == c.Domain })
	if c.Outcome == evacuation.Began && !isKnown && c.Domain != g.options.Domain {
		klog.InfoS("Evacuation: no upstream is in this domain.", "domain", c.Domain)
		g.metrics.recordEvacuation("unknown-domain")
	}
}

// recordEvacuation counts what became of an evacuation.
func (m *metrics) recordEvacuation(outcome string) {
	m.evacuations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// registerEvacuationGauge registers the gauge of what runs in evacuated domains. A domain that
// is not evacuated has no value.
func registerEvacuationGauge(meter metric.Meter, g *Gateway) error {
	_, err := meter.Int64ObservableGauge(metricPrefix+"evacuated", metric.WithDescription("Requests that still run in each evacuated failure domain."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			g.mu.Lock()
			defer g.mu.Unlock()
			for domain, running := range g.dispatcher.RunningInEvacuated() {
				o.Observe(int64(running), metric.WithAttributes(attribute.String("domain", domain)))
			}
			return nil
		}))
	return errors.Wrap(err, "evacuated")
}
