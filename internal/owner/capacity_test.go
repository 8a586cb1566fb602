package owner

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// benchService is the only service of the benchmark.
	benchService = "model-0"
	// benchUpstreams and benchSlots are the load of one owner at the target
	// size: 600 replicas behind 420 routers, with 35,500 requests in flight.
	benchUpstreams = 2
	benchSlots     = 60
	// benchEntries is the number of routers that report demand for each
	// backlogged organisation.
	benchEntries = 8
	// benchWaiting is the number of requests of each organisation that wait at
	// each entry.
	benchWaiting = 4
	// benchCost is the mean cost of a request, in tokens.
	benchCost = 274
)

// heldGrant is a grant in use.
type heldGrant struct {
	entry core.RouterID
	id    uint64
	org   string
}

// busyOwner is an owner whose slots are all granted while organisations wait.
type busyOwner struct {
	state   *State
	now     time.Time
	granted []heldGrant
	bytes   int
}

func newBusyOwner(b *testing.B, organisations, entries int, waiting uint32) *busyOwner {
	o := &busyOwner{state: New("r000.1", 1), now: time.Unix(1_700_000_000, 0)}
	c := &config.Config{Fleet: "bench", Services: []config.Service{{Name: benchService, Slots: benchSlots}}}
	for i := range organisations {
		c.Organisations = append(c.Organisations, config.Organisation{Name: benchOrg(i), Share: 1 + i%10})
	}
	o.state.Configure(o.now, c)
	var owned []core.Upstream
	for i := range benchUpstreams {
		owned = append(owned, core.Upstream{ID: fmt.Sprintf("e%03d", i), Service: benchService})
	}
	o.state.SetOwned(o.now, owned)
	o.now = o.now.Add(2 * rampUpFor)
	for i := range organisations {
		for entry := range entries {
			o.demand(benchEntry(entry), benchOrg(i), waiting)
		}
	}
	if len(o.granted) != benchUpstreams*benchSlots {
		b.Fatalf("%d slots are granted, want all", len(o.granted))
	}
	return o
}

func benchOrg(i int) string { return fmt.Sprintf("org-%04d", i) }

func benchEntry(i int) core.RouterID { return core.RouterID(fmt.Sprintf("r%03d.%08x", i+1, i+1)) }

// demand reports the given number of waiting requests of an organisation at an
// entry.
func (o *busyOwner) demand(entry core.RouterID, org string, waiting uint32) {
	m := &wire.Demand{Services: []*wire.ServiceDemand{{Service: benchService, Queues: []*wire.Queue{{
		Organisation: org, Class: core.ClassShort, Waiting: waiting, OldestMs: 500, Cost: benchCost,
	}}}}}
	o.bytes += proto.Size(&wire.Envelope{Body: &wire.Envelope_Demand{Demand: m}})
	o.collectGrants(o.state.HandleDemand(o.now, entry, m))
}

// release releases the oldest grant.
func (o *busyOwner) release() heldGrant {
	g := o.granted[0]
	o.granted = o.granted[1:]
	m := &wire.Release{Settled: []*wire.Settled{{Id: g.id, Cost: benchCost}}}
	o.bytes += proto.Size(&wire.Envelope{Body: &wire.Envelope_Release{Release: m}})
	o.collectGrants(o.state.HandleRelease(o.now, g.entry, m))
	return g
}

func (o *busyOwner) collectGrants(effects []core.Effect) {
	for _, e := range effects {
		if s, ok := e.(core.SendPeer); ok {
			g := s.Message.GetGrant()
			o.bytes += proto.Size(s.Message)
			o.granted = append(o.granted, heldGrant{s.To, g.GetId(), g.GetOrganisation()})
		}
	}
}

// BenchmarkRequest measures the owner's work for one request while
// organisations are backlogged: its demand, its grant and its release.
func BenchmarkRequest(b *testing.B) {
	for _, organisations := range []int{16, 50, 340} {
		b.Run(fmt.Sprintf("backlogged=%d", organisations), func(b *testing.B) {
			o := newBusyOwner(b, organisations, benchEntries, benchWaiting)
			o.bytes = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				o.now = o.now.Add(time.Millisecond)
				g := o.release()
				o.demand(g.entry, g.org, benchWaiting)
			}
			b.ReportMetric(float64(o.bytes)/float64(b.N), "control-B/op")
			if len(o.granted) != benchUpstreams*benchSlots {
				b.Fatalf("%d slots are granted, want all", len(o.granted))
			}
		})
	}
}

// BenchmarkProgress measures how an owner processes one entry's list of held
// grants. Every entry sends one each second.
func BenchmarkProgress(b *testing.B) {
	o := newBusyOwner(b, 16, benchEntries, benchWaiting)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		o.now = o.now.Add(10 * time.Millisecond)
		g := o.granted[i%len(o.granted)]
		m := &wire.Progress{}
		for _, other := range o.granted {
			if other.entry == g.entry {
				m.Held = append(m.Held, &wire.Held{Id: other.id, Cost: uint64(i)})
			}
		}
		o.state.HandleProgress(o.now, g.entry, m)
	}
	b.ReportMetric(float64(len(o.granted))/benchEntries, "held/op")
}

// BenchmarkReport measures how many counters an owner reports each second while
// each of its slots is held by a different organisation, none of which is
// backlogged.
func BenchmarkReport(b *testing.B) {
	const organisations = benchUpstreams * benchSlots
	o := newBusyOwner(b, organisations, 1, 1)
	reported := 0
	b.ResetTimer()
	for i := range b.N {
		byEntry := make(map[core.RouterID][]*wire.Held)
		for _, g := range o.granted {
			byEntry[g.entry] = append(byEntry[g.entry], &wire.Held{Id: g.id, Cost: uint64(i) + 1})
		}
		for entry, held := range byEntry {
			o.state.HandleProgress(o.now, entry, &wire.Progress{Held: held})
		}
		reported += len(o.state.Report())
	}
	b.ReportMetric(float64(reported)/float64(b.N), "counters/op")
}
