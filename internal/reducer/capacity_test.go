package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// The sizes at which slopes are taken; the last is the target of the users'
// first letter.
var sizes = []size{
	{routers: 8, upstreams: 16, organisations: 16},
	{routers: 64, upstreams: 96, organisations: 500},
	{routers: 420, upstreams: 600, organisations: 3400},
}

// models is the number of services, domains the number of failure domains.
const (
	models  = 6
	domains = 7
	// settle is the time until a first configuration is in force.
	settle = 2 * time.Second
)

type size struct{ routers, upstreams, organisations int }

func (s size) String() string {
	return fmt.Sprintf("routers=%d/upstreams=%d/organisations=%d", s.routers, s.upstreams, s.organisations)
}

// bench is one router among peers that exist only as messages.
type bench struct {
	state  *State
	now    time.Time
	size   size
	serial int
	bytes  int
	sends  []core.Send
	refuse int
}

func newBench(s size) *bench {
	b := &bench{now: time.Unix(1_700_000_000, 0), size: s}
	b.state = New(Options{Self: benchPeer(0), Seed: 1})
	b.step(core.Tick{})
	var ev core.Instances
	for i := range s.upstreams {
		ev.Upstreams = append(ev.Upstreams, core.Upstream{
			ID: fmt.Sprintf("e%03d", i), Service: fmt.Sprintf("model-%d", i%models),
			Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Domain: fmt.Sprintf("d%d", i/models%domains),
		})
	}
	b.step(ev)
	for i := 1; i < s.routers; i++ {
		p := benchPeer(i)
		b.step(core.PeerUp{Member: &wire.Member{
			Id: string(p.ID), Name: p.Name, Domain: p.Domain, PeerAddr: p.PeerAddr, Generation: 1,
		}})
	}
	b.step(core.ConfigHead{Generation: 1, Digest: "one", Config: benchConfig(s.organisations)})
	b.pass(settle)
	return b
}

// pass lets time pass with the ticks that the reducer asks for.
func (b *bench) pass(d time.Duration) {
	end := b.now.Add(d)
	for b.now.Before(end) {
		wake := b.state.Wake()
		if wake.IsZero() || wake.After(end) {
			wake = end
		}
		if !wake.After(b.now) {
			wake = b.now.Add(time.Millisecond)
		}
		b.now = wake
		b.step(core.Tick{})
	}
}

func benchPeer(i int) core.Peer {
	return core.Peer{
		ID: core.RouterID(fmt.Sprintf("r%03d.%08x", i, i)), Name: fmt.Sprintf("r%03d", i),
		Domain: fmt.Sprintf("d%d", i%domains), PeerAddr: fmt.Sprintf("10.1.%d.%d:82", i/250, i%250),
	}
}

func benchConfig(organisations int) *config.Config {
	c := &config.Config{Fleet: "bench"}
	var names []string
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		names = append(names, name)
		c.Services = append(c.Services, config.Service{
			Name: name, Kind: config.Model, Model: name, Slots: 64, MaxWait: 10 * time.Second,
			SilentAfter: 5 * time.Second, Idempotent: true,
		})
	}
	for i := range organisations {
		c.Organisations = append(c.Organisations, config.Organisation{
			Name: fmt.Sprintf("org-%04d", i), Share: 1 + i%10, Services: names, MaxQueued: 1000,
		})
	}
	return c
}

func (b *bench) step(ev core.Event) {
	for _, e := range b.state.Step(b.now, ev) {
		switch e := e.(type) {
		case core.SendPeer:
			b.bytes += proto.Size(e.Message)
		case core.Send:
			b.sends = append(b.sends, e)
		case core.Refuse:
			b.refuse++
		}
	}
}

// request takes one request through its life: it is granted here or by the
// first owner asked, streams 270 tokens and ends.
func (b *bench) request() {
	b.serial++
	id := core.RequestID(fmt.Sprintf("r000.0-%d", b.serial))
	org := fmt.Sprintf("org-%04d", b.serial%b.size.organisations)
	service := fmt.Sprintf("model-%d", b.serial%models)
	b.sends = b.sends[:0]
	b.step(core.Arrive{Request: id, Organisation: org, Service: service, Idempotent: true, Hint: 300})
	if len(b.sends) == 0 {
		b.grant(service, org)
	}
	for _, s := range b.sends {
		b.step(core.AttemptFirst{Request: s.Request, Attempt: s.Attempt, Status: 200})
		for tokens := uint64(64); tokens < 270; tokens += 64 {
			b.step(core.AttemptProgress{Request: s.Request, Attempt: s.Attempt, Tokens: tokens, Gap: 40 * time.Millisecond})
		}
		b.step(core.AttemptDone{Request: s.Request, Attempt: s.Attempt, Status: 200, Cost: 270})
	}
}

// grant lends a slot of a peer's upstream.
func (b *bench) grant(service, org string) {
	for _, u := range b.state.view.Upstreams(service) {
		owner := b.state.view.Owner(u.ID)
		if owner == b.state.options.Self.ID {
			continue
		}
		b.step(core.PeerMessage{From: owner, Message: &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
			Id: uint64(b.serial), Upstream: u.ID, Organisation: org, Class: core.ClassShort,
		}}}})
		return
	}
}

// BenchmarkRequest is the processor time, memory and control bytes of a
// request's life at its entry, at several sizes of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			fleet := newBench(s)
			fleet.bytes = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				fleet.now = fleet.now.Add(150 * time.Millisecond)
				fleet.request()
			}
			b.ReportMetric(float64(fleet.bytes)/float64(b.N), "control-B/op")
			if fleet.refuse > 0 {
				b.Fatalf("%d requests were refused", fleet.refuse)
			}
		})
	}
}

// BenchmarkIdleSecond is what a second without requests costs: membership,
// counters and timers.
func BenchmarkIdleSecond(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			fleet := newBench(s)
			fleet.bytes = 0
			b.ResetTimer()
			for range b.N {
				fleet.pass(time.Second)
			}
			b.ReportMetric(float64(fleet.bytes)/float64(b.N), "control-B/op")
		})
	}
}

// BenchmarkState is the memory of a router that knows the whole fleet.
func BenchmarkState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			fleet := newBench(s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
			runtime.KeepAlive(fleet)
			for range b.N {
				_ = fleet.state.Wake()
			}
		})
	}
}
