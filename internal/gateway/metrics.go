package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/holding"
)

// MetricsPath is the path at which the metrics are served.
const MetricsPath = "/metrics"

// metricPrefix is the prefix of the names of the gateway's instruments.
const metricPrefix = "jujubeford.gateway."

// latencyBounds are the bucket bounds of latency histograms, in seconds. They contain
// the latency targets of the users' requests.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 3, 5, 10, 15}

// The values of the label "call" for calls on the store.
const (
	callList    = "list"
	callWatch   = "watch"
	callRenew   = "renew"
	callGrant   = "grant"
	callAcquire = "acquire"
	callRevoke  = "revoke"
)

// metrics holds the gateway's OpenTelemetry instruments. docs/METRICS.md lists them.
type metrics struct {
	registry *prometheus.Registry

	requests, placements, storeCalls, offloads            metric.Int64Counter
	evacuations, unknownRegions, unreadable, gaveWay      metric.Int64Counter
	waitTime, firstByteTime, maxGap, duration, retryAfter metric.Float64Histogram

	// storeAnsweredAt is when the store last answered, in Unix nanoseconds; 0 if never.
	storeAnsweredAt atomic.Int64
}

func newMetrics(g *Gateway) (*metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "open metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("jujubeford")
	m := &metrics{registry: registry}
	if err := m.createInstruments(meter); err != nil {
		return nil, err
	}
	if err := registerEvacuationGauge(meter, g); err != nil {
		return nil, err
	}
	return m, m.registerGauges(meter, g)
}

// createInstruments creates the counters and histograms.
func (m *metrics) createInstruments(meter metric.Meter) (err error) {
	for _, c := range []struct {
		target            *metric.Int64Counter
		name, description string
	}{
		{&m.requests, "requests", "Ended requests by kind, outcome and reason."},
		{&m.placements, "placements", "Attempts by kind and by what decided where they went."},
		{&m.storeCalls, "store", "Calls on the store by call and result."},
		{&m.gaveWay, "gaveway", "Requests and connections ended for the memory that they held, by kind and reason."},
		{&m.unreadable, "unreadable", "Values of entries, answers and the configuration that could not be read, by where."},
		{&m.offloads, "offloads", "Connections offloaded to other routers, by outcome."},
		{&m.evacuations, "evacuations", "Evacuations of failure domains, by what became of them."},
		{&m.unknownRegions, "regions.unknown", "Regions that configurations allow and no failure domain has."},
	} {
		if *c.target, err = meter.Int64Counter(metricPrefix+c.name, metric.WithDescription(c.description)); err != nil {
			return errors.Wrap(err, c.name)
		}
	}
	bounds := metric.WithExplicitBucketBoundaries(latencyBounds...)
	for _, h := range []struct {
		target            *metric.Float64Histogram
		name, description string
	}{
		{&m.waitTime, "waited", "Time from the arrival of a request to its first send."},
		{&m.firstByteTime, "first", "Time from a send to the first byte of the answer."},
		{&m.maxGap, "gap", "Longest pause between two parts of an answer."},
		{&m.duration, "took", "Time to the end of a request."},
		{&m.retryAfter, "comeback", "Retry-After of refusals."},
	} {
		if *h.target, err = meter.Float64Histogram(metricPrefix+h.name, metric.WithUnit("s"), bounds, metric.WithDescription(h.description)); err != nil {
			return errors.Wrap(err, h.name)
		}
	}
	return nil
}

// registerGauges registers the gauges, whose values are read when metrics are
// collected.
func (m *metrics) registerGauges(meter metric.Meter, g *Gateway) error {
	locked := func(read func() int) func() float64 {
		return func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(read())
		}
	}
	held := func(k holding.Kind) func() float64 {
		return func() float64 { return float64(g.room.held(k)) }
	}
	for _, gauge := range []struct {
		name, unit, description string
		read                    func() float64
	}{
		{"waiting", "", "Requests that wait for an upstream.", locked(g.dispatcher.Waiting)},
		{"running", "", "Requests that are at upstreams.", locked(g.dispatcher.Running)},
		{"upstreams", "", "Known upstreams.", locked(g.dispatcher.Upstreams)},
		{"peers", "", "Other routers whose reports are used.", locked(g.dispatcher.Peers)},
		{"retries", "", "Repeats that are left of the budget, of the service with the fewest.", locked(g.dispatcher.RetriesLeft)},
		{"config", "", "Version of the configuration in force.", func() float64 { return float64(g.configVersion()) }},
		{"revision", "", "Revision of the last change of the store that is known.", func() float64 { return float64(g.lastChange().Revision) }},
		{"slow", "", "Upstreams that are slower by nature than the mean of their service.", locked(g.dispatcher.SlowUpstreams)},
		{"fast", "", "Upstreams that are faster by nature than the mean of their service.", locked(g.dispatcher.FastUpstreams)},
		{"limited", "", "Upstreams that get no more requests than the limit that they name.", locked(g.dispatcher.LimitedUpstreams)},
		{"cold", "", "Upstreams that are cold, so that they get no more requests than they tolerate.", locked(func() int { return g.dispatcher.ColdUpstreams(time.Now()) })},
		{"paced", "", "Upstreams that get less than they could because they have just started, recovered or failed.", locked(g.dispatcher.PacedUpstreams)},
		{"held", "", "Times that an upstream was passed over for a request since it was cold or had a pace.", locked(g.dispatcher.Held)},
		{"blocked", "", "Traits of requests that are refused because such requests crash upstreams.", locked(func() int { return g.dispatcher.BlockedTraits(time.Now()) })},
		{"connections", "", "Open connections of callers.", func() float64 { return float64(g.conns.count()) }},
		{"spare", "", "Processor time that this router can spend on connections of others, in cores.", g.spareCores},
		{"bodies", "By", "Size of the bodies of all requests under way.", func() float64 { return float64(g.bodies.Load()) }},
		{"held.heads", "By", "Memory of long heads that are being read.", held(holding.Heads)},
		{"held.small", "By", "Memory of bodies of more than 4 KiB and at most 64 KiB.", held(holding.SmallBodies)},
		{"held.large", "By", "Memory of larger bodies.", held(holding.LargeBodies)},
		{"held.unread", "By", "Memory of bodies that wait for room, as far as the kernel receives them.", held(holding.Unread)},
		{"held.ahead", "By", "Memory of parts of streams that their callers have not read.", held(holding.Ahead)},
		{"held.answers", "By", "Memory of answers that are read whole.", held(holding.Answers)},
		{"bodies.waiting", "", "Bodies that wait for room.", func() float64 { return float64(g.room.waiting()) }},
		{"store.age", "s", "Time since the store last answered this router.", m.storeAge},
		{"store.staleness", "s", "Time since which the copy of the store's keys is not known to be current.", func() float64 { return g.staleness(time.Now()).Seconds() }},
		{"peers.age", "s", "Time since the last report of the live router that was heard longest ago.", func() float64 { return g.peers.oldestReportAge(time.Now()).Seconds() }},
	} {
		_, err := meter.Float64ObservableGauge(metricPrefix+gauge.name, metric.WithUnit(gauge.unit), metric.WithDescription(gauge.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(gauge.read())
				return nil
			}))
		if err != nil {
			return errors.Wrap(err, gauge.name)
		}
	}
	return nil
}

func (m *metrics) recordRequest(kind, outcome, reason string, took time.Duration) {
	labels := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.requests.Add(context.Background(), 1, labels, metric.WithAttributes(attribute.String("reason", reason)))
	m.duration.Record(context.Background(), took.Seconds(), labels)
}

// recordShed counts a request that was refused for lack of processor time before the
// server read it, or whose caller disconnected before it got the answer.
func (m *metrics) recordShed(outcome string) {
	labels := shedLabels[outcome]
	m.requests.Add(context.Background(), 1, labels)
}

// recordOffload counts an offloaded connection by its outcome.
func (m *metrics) recordOffload(outcome string) {
	m.offloads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// recordGaveWay counts what was ended for the memory that it held.
func (m *metrics) recordGaveWay(kind, reason string) {
	m.gaveWay.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("reason", reason)))
}

// shedLabels are built once: building a label set takes as long as the refusal itself.
var shedLabels = map[string]metric.MeasurementOption{
	"refused": metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", ""), attribute.String("outcome", "refused"), attribute.String("reason", reasonOverloaded))),
	"left":    metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", ""), attribute.String("outcome", "left"), attribute.String("reason", ""))),
}

func (m *metrics) recordFirstByte(kind string, took time.Duration) {
	m.firstByteTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// recordMaxGap records the longest pause within an answer.
func (m *metrics) recordMaxGap(kind string, gap time.Duration) {
	m.maxGap.Record(context.Background(), gap.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// recordAttempt counts an attempt and, for the first one of a request, records its
// wait.
func (m *metrics) recordAttempt(kind string, e dispatch.Send) {
	label := metric.WithAttributes(attribute.String("kind", kind))
	m.placements.Add(context.Background(), 1, label, metric.WithAttributes(attribute.String("why", placementReason(e))))
	if e.Attempt == 1 {
		m.waitTime.Record(context.Background(), e.Waited.Seconds(), label)
	}
}

// placementReason names what decided where an attempt was placed.
func placementReason(e dispatch.Send) string {
	switch {
	case e.ContinueFrom != "":
		return "continue"
	case e.Attempt > 1:
		return "repeat"
	case e.FetchFrom != "":
		return "fetch"
	case e.Cached > 0:
		return "cache"
	}
	return "load"
}

// recordRetryAfter records the Retry-After time of a refusal.
func (m *metrics) recordRetryAfter(reason string, after time.Duration) {
	m.retryAfter.Record(context.Background(), after.Seconds(), metric.WithAttributes(attribute.String("reason", reason)))
}

// recordStoreCall counts a call on the store; a nil err means that the store answered.
func (m *metrics) recordStoreCall(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	} else {
		m.storeAnsweredAt.Store(time.Now().UnixNano())
	}
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

// storeAge is the time since the store last answered, in seconds; 0 if it never has.
func (m *metrics) storeAge() float64 {
	at := m.storeAnsweredAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

func (m *metrics) mux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// The values of the label "where" for values that could not be read.
const (
	unreadableEntry  = "entry"
	unreadableAnswer = "answer"
	unreadableConfig = "config"
)

// recordUnreadable counts a value that could not be read.
func (m *metrics) recordUnreadable(where string) {
	m.unreadable.Add(context.Background(), 1, metric.WithAttributes(attribute.String("where", where)))
}
