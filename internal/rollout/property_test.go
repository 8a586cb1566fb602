package rollout

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// fleetSize is the number of routers in the test's fleet.
	fleetSize = 4
	// generationCount is the number of generations that may be accepted.
	generationCount = 4
)

// defaultSeed seeds the random interleavings, unless -rapid.seed is set.
const defaultSeed = "20260712"

// TestMain sets the default seed and prints the seed in use.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(defaultSeed); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// fleet simulates a few routers, the platform and the events in flight to the
// routers.
type fleet struct {
	t   *rapid.T
	now time.Time
	// heads are the configurations by generation; the first one is empty.
	heads [generationCount + 1]core.ConfigHead
	// accepted is the newest generation that the platform has accepted.
	accepted uint64
	states   [fleetSize]*State
	ids      [fleetSize]core.RouterID
	// restarts counts router starts and gives each incarnation its own id.
	restarts int
	// queue holds the events in flight, oldest first.
	queue []delivery
	// platformReachable reports whether the platform responds, and platformStale
	// whether its responses have the generation before the newest one.
	platformReachable, platformStale bool
}

// delivery is an event in flight to a router.
type delivery struct {
	to    core.RouterID
	event core.Event
}

// newFleet returns a fleet of connected routers without a configuration.
func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: clockStart, platformReachable: true}
	for n := uint64(1); n <= generationCount; n++ {
		f.heads[n] = testGeneration(n)
	}
	for i := range f.states {
		f.restart(i)
	}
	return f
}

// restart replaces a router by a new incarnation that has no state.
func (f *fleet) restart(i int) {
	old := f.ids[i]
	f.restarts++
	f.ids[i] = core.RouterID(fmt.Sprintf("router-%d.%d", i, f.restarts))
	f.states[i] = New(f.ids[i])
	for j := range f.states {
		if j == i || f.states[j] == nil {
			continue
		}
		f.step(j, core.PeerDown{Peer: old})
		f.connect(i, j)
	}
}

// connect connects two routers.
func (f *fleet) connect(i, j int) {
	f.step(j, core.PeerUp{Member: &wire.Member{Id: string(f.ids[i]), Generation: f.states[i].Generation()}})
	f.step(i, core.PeerUp{Member: &wire.Member{Id: string(f.ids[j]), Generation: f.states[j].Generation()}})
}

// step processes one event at a router, and checks that the generations that it
// applies increase and were accepted.
func (f *fleet) step(i int, ev core.Event) {
	before := f.states[i].Generation()
	applied := before
	for _, effect := range f.states[i].Step(f.now, ev) {
		switch e := effect.(type) {
		case core.ApplyConfig:
			if e.Generation <= applied || e.Generation > f.accepted {
				f.t.Fatalf("%s applies generation %d, but has applied %d", f.ids[i], e.Generation, applied)
			}
			applied = e.Generation
		case core.FetchConfig:
			f.answerFromPlatform(i)
		case core.DecodeConfig:
			f.queue = append(f.queue, delivery{f.ids[i], f.heads[e.Parts.GetGeneration()]})
		case core.SendPeer:
			f.queue = append(f.queue, delivery{e.To, core.PeerMessage{From: f.ids[i], Message: e.Message}})
		}
	}
	if f.states[i].Generation() != applied {
		f.t.Fatalf("%s reports generation %d, but has applied %d", f.ids[i], f.states[i].Generation(), applied)
	}
}

// answerFromPlatform queues the platform's response to a poll of a router.
func (f *fleet) answerFromPlatform(i int) {
	n := f.accepted
	if f.platformStale && n > 0 {
		n--
	}
	if f.platformReachable {
		f.queue = append(f.queue, delivery{f.ids[i], f.heads[n]})
	}
}

// deliver removes an event from the queue and processes it, if its router still
// runs.
func (f *fleet) deliver(index int) {
	d := f.queue[index]
	f.queue = append(f.queue[:index:index], f.queue[index+1:]...)
	for i, id := range f.ids {
		if id == d.to {
			f.step(i, d.event)
		}
	}
}

// advance advances the clock in small steps, sends ticks and delivers all events in
// order.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for i := range f.states {
			f.step(i, core.Tick{})
		}
		for len(f.queue) > 0 {
			f.deliver(0)
		}
	}
}

// TestGenerationsGrowUnderFaults runs random interleavings of acceptances, lost
// and reordered messages, restarts, platform outages and stale reads. No router
// may apply a lower generation than before, and in the end all routers must reach
// the newest generation, even without the platform if one router has it already.
func TestGenerationsGrowUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) { f.accepted = min(f.accepted+1, generationCount) },
			"tick": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
				f.step(rapid.IntRange(0, fleetSize-1).Draw(t, "router"), core.Tick{})
			},
			"deliver": func(t *rapid.T) {
				if len(f.queue) > 0 {
					f.deliver(rapid.IntRange(0, len(f.queue)-1).Draw(t, "event"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.queue) > 0 {
					index := rapid.IntRange(0, len(f.queue)-1).Draw(t, "event")
					f.queue = append(f.queue[:index:index], f.queue[index+1:]...)
				}
			},
			"restart":  func(t *rapid.T) { f.restart(rapid.IntRange(0, fleetSize-1).Draw(t, "router")) },
			"platform": func(t *rapid.T) { f.platformReachable = rapid.Bool().Draw(t, "reachable") },
			"stale":    func(t *rapid.T) { f.platformStale = rapid.Bool().Draw(t, "stale") },
		})
		f.checkConvergence()
	})
}

// checkConvergence stops losing and reordering messages and checks that all routers
// reach the newest generation. The platform recovers only if no router has it.
func (f *fleet) checkConvergence() {
	if f.accepted == 0 {
		return
	}
	highest := uint64(0)
	for _, s := range f.states {
		highest = max(highest, s.Generation())
	}
	if highest < f.accepted {
		f.platformReachable, f.platformStale = true, false
	}
	f.advance(2 * peerBackoffMax)
	for i, s := range f.states {
		if s.Generation() != f.accepted {
			f.t.Fatalf("%s stays at generation %d of %d", f.ids[i], s.Generation(), f.accepted)
		}
	}
}
