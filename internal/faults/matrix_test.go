package faults

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// matrixSeed drives every row; a failing row prints it.
const matrixSeed = 20261204

const (
	modelService = "assistant"
	plainService = "booking"
	// settleTime is how long a row runs on after its load, until all is mended
	// and every request has ended.
	settleTime = 40 * time.Second
	// faultTime is how long a fault lasts.
	faultTime = 3 * time.Second
)

// step is a place in the life of a request at which a fault strikes.
type step struct {
	name string
	at   func(e core.Effect) bool
}

var steps = []step{
	{"demand is told", isMessage[*wire.Envelope_Demand]},
	{"a slot is granted", isMessage[*wire.Envelope_Grant]},
	{"a claim is written", is[core.KVCAS]},
	{"a request is sent", is[core.Send]},
	{"an answer begins", is[core.Commit]},
	{"progress is told", isMessage[*wire.Envelope_Progress]},
	{"a slot is given back", isMessage[*wire.Envelope_Release]},
	{"counters are told", isMessage[*wire.Envelope_CounterReport]},
	{"a router is pinged", isMessage[*wire.Envelope_Ping]},
}

func is[E core.Effect](e core.Effect) bool { _, ok := e.(E); return ok }

func isMessage[M any](e core.Effect) bool {
	m, ok := e.(core.SendPeer)
	if !ok {
		return false
	}
	_, ok = any(m.Message.Body).(M)
	return ok
}

// fault strikes the router at which the step was seen.
type fault struct {
	name   string
	strike func(f *fleet, n *node)
}

var faults = []fault{
	{"its router is killed and restarts without memory", func(f *fleet, n *node) {
		f.kill(n)
		f.after(faultTime, func() { f.restart(n) })
	}},
	{"another router is killed and restarts without memory", func(f *fleet, n *node) {
		other := f.nodes[(n.index+1)%len(f.nodes)]
		f.kill(other)
		f.after(faultTime, func() { f.restart(other) })
	}},
	{"its router is paused past every lease", func(f *fleet, n *node) { n.paused = f.now.Add(2 * faultTime) }},
	{"its router is cut off and rejoins with a stale view", func(f *fleet, n *node) {
		f.part(n)
		f.after(2*faultTime, func() { f.rejoin(n) })
	}},
	{"messages are doubled", func(f *fleet, _ *node) {
		f.duplicate = true
		f.after(faultTime, func() { f.duplicate = false })
	}},
	{"messages come late and crossed", func(f *fleet, _ *node) {
		f.late = true
		f.after(faultTime, func() { f.late = false })
	}},
	{"the key-value service is down", func(f *fleet, _ *node) {
		f.store.down = true
		f.after(faultTime, func() { f.store.down = false })
	}},
	{"the key-value service loses answers", func(f *fleet, _ *node) {
		f.store.loseAnswers = true
		f.after(faultTime, func() { f.store.loseAnswers = false })
	}},
	{"writes take effect late", func(f *fleet, _ *node) {
		f.store.lateBy = faultTime
		f.after(faultTime, func() { f.store.lateBy = 0 })
	}},
	{"an upstream crashes", func(f *fleet, _ *node) { f.crash(f.upstreams["m0"], faultTime) }},
	{"every plain upstream crashes", func(f *fleet, _ *node) {
		f.crash(f.upstreams["p0"], faultTime)
		f.crash(f.upstreams["p1"], faultTime)
	}},
	{"an upstream's connections go silent", func(f *fleet, _ *node) {
		u := f.upstreams["m1"]
		u.silent = true
		f.after(faultTime, func() { u.silent = false })
	}},
	{"its router drains", func(f *fleet, n *node) {
		f.deliver(n, core.Drain{})
		f.after(2*faultTime, func() { f.restart(n) })
	}},
}

// TestMatrix runs every fault at every step and checks every promise.
func TestMatrix(t *testing.T) {
	passed := 0
	for _, s := range steps {
		for _, ft := range faults {
			name := fmt.Sprintf("when %s, %s", s.name, ft.name)
			ok := t.Run(name, func(t *testing.T) {
				broken, struck := runRow(matrixSeed, s, ft)
				if !struck {
					t.Errorf("seed %d: the step was never seen", matrixSeed)
				}
				for _, b := range broken {
					t.Errorf("seed %d: %s", matrixSeed, b)
				}
			})
			if ok {
				passed++
			}
		}
	}
	total := len(steps) * len(faults)
	t.Logf("%d steps x %d faults: %d passed, %d failed", len(steps), len(faults), passed, total-passed)
}

// runRow runs one load with one fault and lists the promises broken.
func runRow(seed uint64, s step, ft fault) (broken []string, struck bool) {
	f := newFleet(seed, 4, testConfig(), testUpstreams())
	f.seen = func(n *node, e core.Effect) {
		if !struck && f.now.After(start.Add(time.Second)) && s.at(e) {
			struck = true
			ft.strike(f, n)
		}
	}
	f.load(4 * time.Second)
	f.run(settleTime)
	return f.check(), struck
}

// start is when the load begins, after the routers have found each other.
var start = time.Unix(1_700_000_000, 0).Add(2 * time.Second)

// load sends model and plain requests of all organisations through all routers,
// and non-idempotent work twice, through different routers.
func (f *fleet) load(d time.Duration) {
	for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
		k := int(at / (50 * time.Millisecond))
		org := fmt.Sprintf("org%d", k%3)
		n, again := f.nodes[k%len(f.nodes)], f.nodes[(k+1)%len(f.nodes)]
		f.after(at, func() {
			f.arrive(n, core.Arrive{
				Organisation: org, Service: modelService, Idempotent: true, Hint: 60 + uint64(k%5)*60,
				Body: [32]byte{1, byte(k)},
			})
		})
		once := core.Arrive{
			Organisation: org, Service: plainService, Once: true, Key: fmt.Sprintf("op%d", k), Hint: 20,
			Body: [32]byte{2, byte(k)},
		}
		f.after(at, func() { f.arrive(n, once) })
		f.after(at+700*time.Millisecond, func() { f.arrive(again, once) })
	}
}

// check lists every promise that the run broke.
func (f *fleet) check() []string {
	var broken []string
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		c := f.callers[id]
		ran := 0
		for _, u := range f.upstreams {
			ran += u.ran[string(id)]
		}
		switch {
		case len(c.finals) != 1:
			report("%s got %d final answers: %s", id, len(c.finals), strings.Join(c.finals, ", "))
		case c.outcome == core.NotRun && ran > 0:
			report("%s was told not-run (%s) but ran %d times", id, c.reason, ran)
		case c.finals[0] == "answered" && c.tokens != work(c.arrive):
			report("%s got %d of %d tokens as a whole answer", id, c.tokens, work(c.arrive))
		}
	}
	doubled := make(map[string]int)
	for _, u := range f.upstreams {
		for key, n := range u.ran {
			if strings.HasPrefix(key, "key/") {
				doubled[key] += n
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(doubled)) {
		if doubled[key] > 1 {
			report("%s ran %d times", key, doubled[key])
		}
	}
	for _, id := range f.cutByExit {
		report("%s was cut by the end of a drain", id)
	}
	for _, n := range f.nodes {
		if left := n.state.Status().Requests; n.up && left > 0 {
			report("%s still holds %d requests", n.name, left)
		}
	}
	return broken
}

func testConfig() *config.Config {
	c := &config.Config{
		Fleet: "test",
		Services: []config.Service{
			{
				Name: modelService, Kind: config.Model, Model: "m", Slots: 4, MaxWait: 10 * time.Second,
				SilentAfter: time.Second, Idempotent: true,
			},
			{
				Name: plainService, Kind: config.Plain, Prefix: "/booking/", Slots: 4, MaxWait: 10 * time.Second,
				SilentAfter: time.Second, Once: []config.Once{{Method: "POST", Path: "/booking/"}},
			},
		},
	}
	for i := range 3 {
		c.Organisations = append(c.Organisations, config.Organisation{
			Name: fmt.Sprintf("org%d", i), Share: i + 1, Services: []string{modelService, plainService}, MaxQueued: 1000,
		})
	}
	return c
}

func testUpstreams() []core.Upstream {
	var out []core.Upstream
	for i := range 4 {
		out = append(out, core.Upstream{
			ID: fmt.Sprintf("m%d", i), Service: modelService, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Domain: string(rune('a' + i%2)),
		})
	}
	for i := range 2 {
		out = append(out, core.Upstream{
			ID: fmt.Sprintf("p%d", i), Service: plainService, Addr: fmt.Sprintf("127.0.0.1:%d", 9100+i),
			Domain: string(rune('a' + i%2)),
		})
	}
	return out
}
