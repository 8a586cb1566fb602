package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujubeford/jujubeford/internal/reducer"
)

// scrapeTimeout bounds the time that a scrape waits for the reducer's state.
const scrapeTimeout = time.Second

// gaugeObserver records the values of one scrape in observable instruments.
type gaugeObserver struct {
	metrics  *metrics
	observer metric.Observer
}

// observe records a value for the instrument with a name.
func (g gaugeObserver) observe(name string, value float64, labels ...attribute.KeyValue) {
	g.observer.ObserveFloat64(g.metrics.observables[name], value, metric.WithAttributes(labels...))
}

// registerGauges registers the callback that reads the observable instruments from the
// router at each scrape.
func (m *metrics) registerGauges(meter metric.Meter, r *Router) error {
	observables := make([]metric.Observable, 0, len(m.observables))
	for _, name := range slices.Sorted(maps.Keys(m.observables)) {
		observables = append(observables, m.observables[name])
	}
	_, err := meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		gauges := gaugeObserver{m, o}
		r.observePeerTraffic(gauges)
		r.ledger.mu.Lock()
		gauges.observe(nameDropped, float64(r.ledger.DroppedAccounts()))
		r.ledger.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
		defer cancel()
		var status reducer.Status
		if r.withState(ctx, func(s *reducer.State) { status = s.Status() }) {
			observeStatus(gauges, &status)
		}
		return nil
	}, observables...)
	return errors.Wrap(err, "register the callback for observable metrics")
}

// observePeerTraffic records the control traffic between routers.
func (r *Router) observePeerTraffic(gauges gaugeObserver) {
	stats := r.peers.Stats()
	gauges.observe(namePeerBytes, float64(stats.SentBytes), attribute.String(labelDirection, "sent"))
	gauges.observe(namePeerBytes, float64(stats.ReceivedBytes), attribute.String(labelDirection, "received"))
	for kind, k := range stats.Kinds {
		gauges.observe(nameKindBytes, float64(k.SentBytes), attribute.String(labelKind, kind))
		gauges.observe(nameKindMessages, float64(k.SentMessages), attribute.String(labelKind, kind))
	}
}

// observeStatus records the gauges that come from the reducer's status.
func observeStatus(gauges gaugeObserver, s *reducer.Status) {
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	gauges.observe(nameReady, ready)
	gauges.observe(nameRequests, float64(s.Requests))
	gauges.observe(nameGeneration, float64(s.Generation))
	states := map[reducer.RouterState]int{
		reducer.RouterAlive: 0, reducer.RouterSuspect: 0, reducer.RouterLeaving: 0, reducer.RouterDead: 0,
	}
	for _, peer := range s.Routers {
		states[peer.State]++
	}
	for state, n := range states {
		gauges.observe(nameRouters, float64(n), attribute.String(labelState, string(state)))
	}
	observeOwnedUpstreams(gauges, s)
	observeBacklog(gauges, s)
}

// serviceState holds the label values of the gauges of upstreams and slots.
type serviceState struct{ service, state string }

func (k serviceState) labels() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String(labelService, k.service), attribute.String(labelState, k.state)}
}

// observeOwnedUpstreams records the upstreams that this router owns, by state, and
// their slots. States without an upstream are recorded as 0.
func observeOwnedUpstreams(gauges gaugeObserver, s *reducer.Status) {
	upstreams, slots := make(map[serviceState]int), make(map[serviceState]int)
	for _, u := range s.Upstreams {
		if u.Owned == nil {
			continue
		}
		for _, state := range []string{"up", "slow", "paused", "leaving"} {
			upstreams[serviceState{u.Service, state}] += 0
		}
		upstreams[serviceState{u.Service, upstreamState(u)}]++
		slots[serviceState{u.Service, "granted"}] += u.Owned.Granted
		slots[serviceState{u.Service, "free"}] += u.Owned.Free
	}
	for k, n := range upstreams {
		gauges.observe(nameUpstreams, float64(n), k.labels()...)
	}
	for k, n := range slots {
		gauges.observe(nameSlots, float64(n), k.labels()...)
	}
}

// upstreamState returns the state label of an owned upstream.
func upstreamState(u reducer.UpstreamStatus) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Owned.Paused:
		return "paused"
	case u.Owned.Slow:
		return "slow"
	default:
		return "up"
	}
}

// observeBacklog records, for each service, the requests and organisations that wait at
// this owner and the largest VirtualTimeGap of these organisations. It records 0 for
// owned services without a backlog.
func observeBacklog(gauges gaugeObserver, s *reducer.Status) {
	type totals struct {
		waiting, organisations int
		maxGap                 float64
	}
	byService := make(map[string]*totals)
	for _, u := range s.Upstreams {
		if u.Owned != nil {
			byService[u.Service] = &totals{}
		}
	}
	for _, b := range s.Backlog {
		if byService[b.Service] == nil {
			byService[b.Service] = &totals{}
		}
		total := byService[b.Service]
		total.waiting += int(b.Waiting)
		total.organisations++
		total.maxGap = max(total.maxGap, b.VirtualTimeGap)
	}
	for service, total := range byService {
		label := attribute.String(labelService, service)
		gauges.observe(nameWaiting, float64(total.waiting), label)
		gauges.observe(nameOrganisations, float64(total.organisations), label)
		gauges.observe(nameGap, total.maxGap, label)
	}
}
