package router

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/jujubeford/jujubeford/internal/core"
)

// metrics are the router's OpenTelemetry instruments. Their labels are services,
// outcomes and reasons, never organisations: 3,400 of them would be too many
// series.
type metrics struct {
	registry   *prometheus.Registry
	histograms map[core.Metric]metric.Float64Histogram
	counters   map[core.Metric]metric.Float64Counter
	refusals   metric.Int64Counter
}

// latencyBounds are the bucket bounds of latencies, in seconds.
var latencyBounds = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.042, 0.1, 0.25, 0.5, 1, 1.6, 2.5, 5, 10, 30,
}

func newMetrics(r *Router) (*metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "open metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("jujubeford")
	m := &metrics{
		registry:   registry,
		histograms: make(map[core.Metric]metric.Float64Histogram),
		counters:   make(map[core.Metric]metric.Float64Counter),
	}
	return m, m.instruments(meter, r)
}

func (m *metrics) instruments(meter metric.Meter, r *Router) error {
	histograms := []struct {
		key  core.Metric
		name string
		what string
	}{
		{core.MetricWait, "jujubeford.request.wait", "Time a request waited for a slot."},
		{core.MetricFirst, "jujubeford.request.first", "Time to the first byte of the answer."},
		{core.MetricGap, "jujubeford.token.gap", "Largest time between tokens in a report period."},
		{core.MetricAnswer, "jujubeford.request.answer", "Time to the whole answer."},
	}
	for _, h := range histograms {
		instrument, err := meter.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.what),
			metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			return errors.Wrap(err, h.name)
		}
		m.histograms[h.key] = instrument
	}
	counters := []struct {
		key  core.Metric
		name string
		what string
	}{
		{core.MetricServed, "jujubeford.served", "Service given, in the service's unit."},
		{core.MetricRetried, "jujubeford.request.retried", "Sends after a request's first."},
		{core.MetricHedged, "jujubeford.request.hedged", "Hedged sends."},
		{core.MetricMoved, "jujubeford.request.moved", "Streams that went on at another upstream."},
	}
	for _, c := range counters {
		instrument, err := meter.Float64Counter(c.name, metric.WithDescription(c.what))
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		m.counters[c.key] = instrument
	}
	var err error
	m.refusals, err = meter.Int64Counter("jujubeford.request.refused", metric.WithDescription("Refusals by reason and outcome."))
	if err != nil {
		return errors.Wrap(err, "refusals")
	}
	return m.peerBytes(meter, r)
}

// peerBytes observes the control traffic between routers.
func (m *metrics) peerBytes(meter metric.Meter, r *Router) error {
	bytes, err := meter.Int64ObservableCounter("jujubeford.peer", metric.WithUnit("By"),
		metric.WithDescription("Bytes between routers on their connections."))
	if err != nil {
		return errors.Wrap(err, "peer bytes")
	}
	kinds, err := meter.Int64ObservableCounter("jujubeford.peer.kind", metric.WithUnit("By"),
		metric.WithDescription("Bytes of messages sent to other routers, by kind."))
	if err != nil {
		return errors.Wrap(err, "peer bytes by kind")
	}
	messages, err := meter.Int64ObservableCounter("jujubeford.peer.messages",
		metric.WithDescription("Messages sent to other routers, by kind."))
	if err != nil {
		return errors.Wrap(err, "peer messages")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		stats := r.peers.Stats()
		o.ObserveInt64(bytes, int64(stats.SentBytes), metric.WithAttributes(attribute.String("direction", "sent")))
		o.ObserveInt64(bytes, int64(stats.ReceivedBytes), metric.WithAttributes(attribute.String("direction", "received")))
		for kind, k := range stats.Kinds {
			o.ObserveInt64(kinds, int64(k.SentBytes), metric.WithAttributes(attribute.String("kind", kind)))
			o.ObserveInt64(messages, int64(k.SentMessages), metric.WithAttributes(attribute.String("kind", kind)))
		}
		return nil
	}, bytes, kinds, messages)
	return errors.Wrap(err, "observe peer bytes")
}

func (m *metrics) observe(e core.Observe) {
	labels := metric.WithAttributes(attribute.String("service", e.Service))
	if h := m.histograms[e.Metric]; h != nil {
		h.Record(context.Background(), e.Value, labels)
	}
	if c := m.counters[e.Metric]; c != nil {
		c.Add(context.Background(), e.Value, labels)
	}
}

func (m *metrics) refused(e core.Refuse) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("reason", string(e.Reason)), attribute.String("outcome", string(e.Outcome)),
	))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
