package reducer

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// sizes are the fleet sizes for which the benchmarks measure how costs grow with
// the fleet. The last one is the target size that users asked for.
var sizes = []size{
	{routers: 8, upstreams: 16, organisations: 16},
	{routers: 64, upstreams: 96, organisations: 500},
	{routers: 420, upstreams: 600, organisations: 3400},
}

// models is the number of services, domains the number of failure domains.
const (
	models  = 6
	domains = 7
	// configSettleTime is the time until a first configuration is in force.
	configSettleTime = 2 * time.Second
)

type size struct{ routers, upstreams, organisations int }

func (s size) String() string {
	return fmt.Sprintf("routers=%d/upstreams=%d/organisations=%d", s.routers, s.upstreams, s.organisations)
}

// benchRouter is one router whose peers are simulated by their messages.
type benchRouter struct {
	state    *State
	now      time.Time
	size     size
	requests int
	bytes    int
	sends    []core.Send
	refused  int
	// watch is called for each message that is sent, if set.
	watch func(*wire.Envelope)
}

func newBench(s size) *benchRouter {
	b := &benchRouter{now: time.Unix(1_700_000_000, 0), size: s}
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
	b.advance(configSettleTime)
	return b
}

// advance moves the time forward, with the ticks that the reducer asks for.
func (b *benchRouter) advance(d time.Duration) {
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
			Name: name, Kind: config.Model, Model: name, Slots: 64, MaxWait: time.Minute,
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

func (b *benchRouter) step(ev core.Event) {
	var answers []core.PeerMessage
	for _, e := range b.state.Step(b.now, ev) {
		switch e := e.(type) {
		case core.SendPeer:
			b.bytes += proto.Size(e.Message)
			if b.watch != nil {
				b.watch(e.Message)
			}
			answers = append(answers, pingAnswers(e)...)
		case core.Send:
			b.sends = append(b.sends, e)
		case core.Refuse:
			b.refused++
		}
	}
	for _, answer := range answers {
		b.step(answer)
	}
}

// pingAnswers returns the answer of a pinged router and, as all routers ping in
// the same way, a ping of its own.
func pingAnswers(e core.SendPeer) []core.PeerMessage {
	ping := e.Message.GetPing()
	if ping == nil {
		return nil
	}
	return []core.PeerMessage{
		{From: e.To, Message: &wire.Envelope{Body: &wire.Envelope_Ack{Ack: &wire.Ack{Seq: ping.Seq}}}},
		{From: e.To, Message: &wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{Seq: ping.Seq}}}},
	}
}

// request runs one request to its end: a slot is granted locally or by the
// owner of a peer's upstream, and the request streams 270 tokens.
func (b *benchRouter) request() {
	b.requests++
	id := core.RequestID(fmt.Sprintf("r000.0-%d", b.requests))
	org := fmt.Sprintf("org-%04d", b.requests%b.size.organisations)
	service := fmt.Sprintf("model-%d", b.requests%models)
	b.sends = b.sends[:0]
	b.step(core.RequestArrived{Request: id, Organisation: org, Service: service, Idempotent: true, CostHint: 300})
	if len(b.sends) == 0 {
		b.grant(service, org)
	}
	for _, s := range b.sends {
		b.step(core.AttemptFirstByte{Request: s.Request, Attempt: s.Attempt, Status: 200})
		for tokens := uint64(64); tokens < 270; tokens += 64 {
			b.step(core.AttemptProgress{Request: s.Request, Attempt: s.Attempt, Tokens: tokens, Gap: 40 * time.Millisecond})
		}
		b.step(core.AttemptDone{Request: s.Request, Attempt: s.Attempt, Status: 200, Cost: 270})
	}
}

// grant grants a slot of an upstream that a peer owns.
func (b *benchRouter) grant(service, org string) {
	for _, u := range b.state.view.Upstreams(service) {
		owner := b.state.view.Owner(u.ID)
		if owner == b.state.options.Self.ID {
			continue
		}
		b.step(core.PeerMessage{From: owner, Message: &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
			Id: uint64(b.requests), Upstream: u.ID, Organisation: org, Class: core.ClassShort,
		}}}})
		return
	}
}

// BenchmarkRequest measures the processor time, memory and control bytes of a
// request at its entry, at several fleet sizes.
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
			if fleet.refused > 0 {
				b.Fatalf("%d requests were refused", fleet.refused)
			}
		})
	}
}

// gossipSettleTime is the time until the gossip of a whole fleet that started
// at once has settled.
const gossipSettleTime = 5 * time.Minute

// BenchmarkIdleSecond measures the cost of a second without requests:
// membership, counters and timers.
func BenchmarkIdleSecond(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			fleet := newBench(s)
			fleet.advance(gossipSettleTime)
			fleet.bytes = 0
			b.ResetTimer()
			for range b.N {
				fleet.advance(time.Second)
			}
			b.ReportMetric(float64(fleet.bytes)/float64(b.N), "control-B/op")
		})
	}
}

// BenchmarkState measures the memory of a router that knows the whole fleet.
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

// entryRate, slotHoldTime and progressEvery are the load of one entry at the
// target size: requests per second, how long a request holds its slot, and the
// interval at which its progress is reported to the reducer.
const (
	entryRate     = 2700.0 / 420
	slotHoldTime  = 13 * time.Second
	progressEvery = 168 * time.Millisecond
	// warmUpSeconds is the number of seconds after which as many requests end
	// as arrive.
	warmUpSeconds = 15
)

// entryLoad is an entry under the load of the target size.
type entryLoad struct {
	*benchRouter
	// backlog is the number of requests that wait at all times.
	backlog  int
	waiting  []waitingRequest
	inFlight []inFlightRequest
	// dueArrivals is the number of requests that are due to arrive, with a
	// fraction carried over.
	dueArrivals float64
	// byKind holds the bytes and messages sent and received, by kind.
	byKind map[string]volume
}

type waitingRequest struct {
	id           core.RequestID
	service, org string
}

type inFlightRequest struct {
	core.Send
	ends time.Time
	cost uint64
}

type volume struct{ bytes, messages int }

// runSecond simulates a second: requests arrive, wait, are granted by other
// routers, stream and end.
func (t *entryLoad) runSecond() {
	end := t.now.Add(time.Second)
	for t.now.Before(end) {
		t.advance(progressEvery)
		t.advanceStreams()
		for t.dueArrivals += entryRate * progressEvery.Seconds(); t.dueArrivals >= 1; t.dueArrivals-- {
			t.arrive()
		}
	}
}

func (t *entryLoad) arrive() {
	t.requests++
	// The waiting requests belong to a few organisations, each with one model.
	org := t.requests % max(t.backlog, models)
	r := waitingRequest{
		id:      core.RequestID(fmt.Sprintf("r000.0-%d", t.requests)),
		service: fmt.Sprintf("model-%d", org%models), org: fmt.Sprintf("org-%04d", org),
	}
	t.waiting = append(t.waiting, r)
	t.step(core.RequestArrived{Request: r.id, Organisation: r.org, Service: r.service, Idempotent: true, CostHint: 300})
	t.collectSends()
	for len(t.waiting) > t.backlog {
		before := len(t.waiting)
		t.grant(t.waiting[0])
		t.collectSends()
		if len(t.waiting) == before {
			return
		}
	}
}

// grant grants a slot of the next upstream that another router owns.
func (t *entryLoad) grant(r waitingRequest) {
	ups := t.state.view.Upstreams(r.service)
	for i := range ups {
		u := ups[(t.requests+i)%len(ups)]
		owner := t.state.view.Owner(u.ID)
		if owner == t.state.options.Self.ID {
			continue
		}
		t.requests++
		m := &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
			Id: uint64(t.requests) | 1<<40, Upstream: u.ID, Organisation: r.org, Class: core.ClassShort,
		}}}
		t.count(m)
		t.step(core.PeerMessage{From: owner, Message: m})
		return
	}
}

// collectSends moves the requests that were sent from the queue to those in
// flight.
func (t *entryLoad) collectSends() {
	for _, s := range t.sends {
		t.waiting = slices.DeleteFunc(t.waiting, func(r waitingRequest) bool { return r.id == s.Request })
		t.inFlight = append(t.inFlight, inFlightRequest{Send: s, ends: t.now.Add(slotHoldTime)})
	}
	sends := t.sends
	t.sends = t.sends[:0]
	for _, s := range sends {
		t.step(core.AttemptFirstByte{Request: s.Request, Attempt: s.Attempt, Status: 200})
	}
}

// advanceStreams reports the progress of the requests in flight and ends those
// that are due.
func (t *entryLoad) advanceStreams() {
	flights := t.inFlight
	t.inFlight = nil
	for _, f := range flights {
		if !t.now.Before(f.ends) {
			t.step(core.AttemptDone{Request: f.Request, Attempt: f.Attempt, Status: 200, Cost: f.cost})
			continue
		}
		f.cost += 4
		t.step(core.AttemptProgress{Request: f.Request, Attempt: f.Attempt, Tokens: f.cost, Gap: 42 * time.Millisecond})
		t.inFlight = append(t.inFlight, f)
	}
	t.collectSends()
}

// count counts a message by its kind.
func (t *entryLoad) count(m *wire.Envelope) {
	kind := fmt.Sprintf("%T", m.Body)
	kind = strings.ToLower(strings.TrimPrefix(kind, "*wire.Envelope_"))
	v := t.byKind[kind]
	t.byKind[kind] = volume{v.bytes + proto.Size(m), v.messages + 1}
}

// BenchmarkEntrySecond measures a second of an entry under the load of the
// target size, with the given number of requests waiting at all times. Grants
// are bytes received, all other kinds bytes sent.
func BenchmarkEntrySecond(b *testing.B) {
	for _, s := range sizes {
		for _, backlog := range []int{0, 8, 34} {
			b.Run(fmt.Sprintf("routers=%d/backlog=%d", s.routers, backlog), func(b *testing.B) {
				t := &entryLoad{benchRouter: newBench(s), backlog: backlog, byKind: make(map[string]volume)}
				t.advance(gossipSettleTime)
				t.watch = t.count
				for range warmUpSeconds {
					t.runSecond()
				}
				clear(t.byKind)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					t.runSecond()
				}
				for _, kind := range slices.Sorted(maps.Keys(t.byKind)) {
					v := t.byKind[kind]
					b.ReportMetric(float64(v.bytes)/float64(b.N), kind+"-B/op")
					b.ReportMetric(float64(v.messages)/float64(b.N), kind+"-msgs/op")
				}
				b.ReportMetric(float64(len(t.inFlight)), "held")
				if t.refused > 0 {
					b.Fatalf("%d requests were refused", t.refused)
				}
			})
		}
	}
}
