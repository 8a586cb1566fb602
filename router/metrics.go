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

// metrics holds the router's OpenTelemetry instruments.
type metrics struct {
	registry   *prometheus.Registry
	histograms map[core.Metric]metric.Float64Histogram
	counters   map[core.Metric]metric.Float64Counter
	refusals   metric.Float64Counter
	// observables are the instruments read at each scrape, by name.
	observables map[string]metric.Float64Observable
}

// latencyBounds are the histogram bucket bounds of latencies, in seconds.
// 0.042 and 1.6 are the objectives for token gaps and first tokens in examples and in
// internal/loadgen/scenario.
var latencyBounds = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.042, 0.1, 0.25, 0.5, 1, 1.6, 2.5, 5, 10, 30,
}

// newMetrics creates all instruments and registers the callback that reads gauges
// from the router.
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
		registry:    registry,
		histograms:  make(map[core.Metric]metric.Float64Histogram),
		counters:    make(map[core.Metric]metric.Float64Counter),
		observables: make(map[string]metric.Float64Observable),
	}
	for _, i := range instruments {
		if err := m.addInstrument(meter, i); err != nil {
			return nil, errors.Wrap(err, i.name)
		}
	}
	return m, m.registerGauges(meter, r)
}

// addInstrument creates one instrument.
func (m *metrics) addInstrument(meter metric.Meter, i instrument) error {
	unit, description := metric.WithUnit(i.unit), metric.WithDescription(i.description)
	var err error
	switch i.kind {
	case kindHistogram:
		m.histograms[i.metric], err = meter.Float64Histogram(i.name, unit, description,
			metric.WithExplicitBucketBoundaries(latencyBounds...))
	case kindObservableCounter:
		m.observables[i.name], err = meter.Float64ObservableCounter(i.name, unit, description)
	case kindGauge:
		m.observables[i.name], err = meter.Float64ObservableGauge(i.name, unit, description)
	case kindCounter:
		var c metric.Float64Counter
		if c, err = meter.Float64Counter(i.name, unit, description); i.name == nameRefused {
			m.refusals = c
		} else {
			m.counters[i.metric] = c
		}
	}
	return err
}

// observe records a value of the reducer in the metric's histogram or counter.
func (m *metrics) observe(e core.Observe) {
	labels := metric.WithAttributes(attribute.String(labelService, e.Service))
	if h := m.histograms[e.Metric]; h != nil {
		h.Record(context.Background(), e.Value, labels)
	}
	if c := m.counters[e.Metric]; c != nil {
		c.Add(context.Background(), e.Value, labels)
	}
}

// countRefusal counts a refusal by its reason and outcome.
func (m *metrics) countRefusal(e core.Refuse) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(labelReason, string(e.Reason)), attribute.String(labelOutcome, string(e.Outcome)),
	))
}

// handler serves the metrics in the Prometheus format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
