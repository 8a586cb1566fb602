package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/pace"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// A paceSim simulates routers that report to each other, and plain upstreams that work off
// their requests in order, a few at a time.
type paceSim struct {
	now     time.Time
	routers []*State
	list    []Instance
	servers map[string]*simServer
	events  simEvents
	created int
	open    map[string]*simCall
	// inTime, late, failed and refused count the callers' requests, and most is the largest
	// number of requests at the first upstream.
	inTime, late, failed, refused, most int
	// loseEach means that of so many answers one is lost, 0 for none. ended counts them.
	loseEach, ended int
}

// simServer is an upstream: it runs slots requests at a time, each for simWork times slower.
type simServer struct {
	slower  float64
	dark    bool
	running int
	queue   []*simCall
	atWork  map[*simCall]bool
}

// simCall is a caller's request, with its attempt.
type simCall struct {
	id        string
	router    int
	send      Send
	arrivedAt time.Time
}

const (
	simWork    = 30 * time.Millisecond
	simSlots   = 6
	simQueue   = 24
	simReports = 25 * time.Millisecond
)

// newPaceSim returns eight routers before four upstreams that have been up for long.
func newPaceSim(withPace bool) *paceSim {
	sim := &paceSim{now: start, servers: make(map[string]*simServer), open: make(map[string]*simCall)}
	var names []string
	domains := make(map[string]string)
	for i := range 8 {
		names = append(names, fmt.Sprint("router", i))
		domains[names[i]] = fmt.Sprint("d", i%4)
	}
	for i := range 4 {
		sim.addServer(i, 1)
	}
	for i := range names {
		o := DefaultOptions()
		o.Domain, o.Pace = domains[names[i]], withPace
		s := New(o)
		s.Step(sim.now, TableChanged{Table: routing.NewTable(1, routing.Limits{}, nil, []routing.Service{{Name: plain}}, nil)})
		s.Step(sim.now, InstancesChanged{Instances: sim.list})
		s.Step(sim.now, FleetChanged{Routers: len(names), Self: names[i], Registered: names, Domains: domains})
		sim.routers = append(sim.routers, s)
	}
	return sim
}

func (sim *paceSim) addServer(i int, started int64) {
	id := fmt.Sprintf("p%02d", i)
	sim.servers[id] = &simServer{slower: 1, atWork: make(map[*simCall]bool)}
	in := Instance{ID: id, Service: plain, Addr: fmt.Sprintf("10.0.1.%d:1", i), Slots: simSlots, Domain: fmt.Sprint("d", i%4), Started: started}
	if i < len(sim.list) {
		sim.list[i] = in
		return
	}
	sim.list = append(sim.list, in)
}

// restart starts an upstream anew, slower for a time, and tells the routers.
func (sim *paceSim) restart(i int, slower float64, lasts time.Duration) {
	sim.addServer(i, sim.now.UnixMilli())
	server := sim.servers[sim.list[i].ID]
	server.slower = slower
	sim.after(lasts, func() { server.slower = 1 })
	for r := range sim.routers {
		sim.after(time.Duration(r)*20*time.Millisecond, func() { sim.step(r, InstancesChanged{Instances: slices.Clone(sim.list)}) })
	}
}

func (sim *paceSim) after(d time.Duration, run func()) {
	sim.created++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(d), order: sim.created, run: run})
}

func (sim *paceSim) step(router int, e Event) {
	for _, effect := range slices.Clone(sim.routers[router].Step(sim.now, e)) {
		call := sim.open[effect.RequestID()]
		switch effect := effect.(type) {
		case Send:
			call.send = effect
			run := *call
			sim.after(simNetwork, func() { sim.reach(&run) })
		case Abort:
			send := call.send
			sim.step(router, Failed{ID: send.ID, Attempt: send.Attempt, Kind: core.FailCancelled, MayHaveRun: true})
		case Refuse:
			sim.refused++
			delete(sim.open, effect.ID)
		case Fail:
			sim.failed++
			delete(sim.open, effect.ID)
		}
	}
}

// reach lets an attempt reach its upstream.
func (sim *paceSim) reach(call *simCall) {
	server := sim.servers[call.send.Upstream.ID]
	switch {
	case server.dark:
	case len(server.queue) >= simQueue:
		sim.end(call, Failed{ID: call.id, Attempt: call.send.Attempt, Kind: core.FailRefused})
	default:
		server.queue = append(server.queue, call)
		sim.work(server)
	}
	if call.send.Upstream.ID == sim.list[0].ID {
		sim.most = max(sim.most, server.running+len(server.queue))
	}
}

// work begins the requests that an upstream has slots for.
func (sim *paceSim) work(server *simServer) {
	for server.running < simSlots && len(server.queue) > 0 {
		call := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		server.atWork[call] = true
		sim.after(time.Duration(server.slower*float64(simWork)), func() {
			if !server.atWork[call] {
				return
			}
			delete(server.atWork, call)
			server.running--
			sim.work(server)
			if sim.ended++; sim.loseEach > 0 && sim.ended%sim.loseEach == 0 {
				sim.end(call, Failed{ID: call.id, Attempt: call.send.Attempt, Kind: core.FailReset, MayHaveRun: true})
				return
			}
			sim.end(call, Done{ID: call.id, Attempt: call.send.Attempt})
		})
	}
}

// end ends an attempt, if it is still the current one of its request.
func (sim *paceSim) end(run *simCall, e Event) {
	call := sim.open[run.id]
	if call == nil || call.send.Attempt != run.send.Attempt {
		return
	}
	if _, ok := e.(Done); ok {
		sim.step(call.router, FirstByteReceived{ID: call.id, Attempt: run.send.Attempt})
		delete(sim.open, call.id)
		if sim.now.Sub(call.arrivedAt) <= lookup.LatencyTarget {
			sim.inTime++
		} else {
			sim.late++
		}
	}
	sim.step(call.router, e)
}

// crash ends what runs at an upstream. A dark one says nothing, also to what follows.
func (sim *paceSim) crash(i int) {
	server := sim.servers[sim.list[i].ID]
	server.dark, server.queue, server.running = true, nil, 0
	clear(server.atWork)
}

// play lets requests arrive in turn at the routers for a time.
func (sim *paceSim) play(lasts time.Duration, perSecond float64) {
	const step = 5 * time.Millisecond
	owed := 0.0
	for passed := time.Duration(0); passed < lasts; passed += step {
		end := sim.now.Add(step)
		for len(sim.events) > 0 && !sim.events[0].at.After(end) {
			e := heap.Pop(&sim.events).(simEvent)
			sim.now = e.at
			e.run()
		}
		sim.now = end
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			sim.created++
			call := &simCall{id: fmt.Sprint("r", sim.created), router: sim.created % len(sim.routers), arrivedAt: sim.now}
			sim.open[call.id] = call
			sim.step(call.router, Arrive{&Request{ID: call.id, Organisation: "org", Route: lookup, Service: plain, Deadline: sim.now.Add(time.Second)}})
		}
		for i, s := range sim.routers {
			if passed%(2*step) == 0 {
				sim.step(i, Tick{})
			}
			if (passed+time.Duration(i)*step)%simReports == 0 {
				report := s.Report(sim.now)
				for j := range sim.routers {
					if j != i {
						sim.after(simNetwork, func() { sim.step(j, PeerReported{Peer: fmt.Sprint(i), Report: report}) })
					}
				}
			}
		}
	}
}

// goodput returns the requests that were answered in time, as a fraction.
func (sim *paceSim) goodput() float64 {
	return float64(sim.inTime) / float64(sim.inTime+sim.late+sim.failed+sim.refused)
}

// paceDays are what may befall an upstream under a load that the others bear alone.
var paceDays = map[string]func(sim *paceSim, perSecond float64){
	"start": func(sim *paceSim, perSecond float64) {
		sim.restart(0, 10, 2*time.Second)
		sim.play(4*time.Second, perSecond)
	},
	"crash with return": func(sim *paceSim, perSecond float64) {
		sim.crash(0)
		sim.play(3*time.Second, perSecond)
		sim.restart(0, 10, 2*time.Second)
		sim.play(4*time.Second, perSecond)
	},
	"dark without a new start": func(sim *paceSim, perSecond float64) {
		sim.crash(0)
		sim.play(4*time.Second, perSecond)
		sim.servers[sim.list[0].ID].dark = false
		sim.play(3*time.Second, perSecond)
	},
	"flapping": func(sim *paceSim, perSecond float64) {
		for range 3 {
			sim.crash(0)
			sim.play(1400*time.Millisecond, perSecond)
			sim.servers[sim.list[0].ID].dark = false
			sim.play(1400*time.Millisecond, perSecond)
		}
	},
}

// Callers get more answers in time with the pace than without it while an upstream starts,
// comes back or flaps.
func TestPaceServesCallersBetter(t *testing.T) {
	const perSecond = 450
	for name, day := range paceDays {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var goodput [2]float64
			for i, withPace := range []bool{false, true} {
				sim := newPaceSim(withPace)
				sim.play(time.Second, perSecond)
				day(sim, perSecond)
				goodput[i] = sim.goodput()
				t.Logf("pace %v: %.4f in time (%d in time, %d late, %d failed, %d refused), at most %d at the upstream",
					withPace, goodput[i], sim.inTime, sim.late, sim.failed, sim.refused, sim.most)
			}
			g.Expect(goodput[1]).To(BeNumerically(">=", goodput[0]))
		})
	}
}

// Where upstreams have been up for long, nothing is other than without the pace.
func TestPaceChangesNothingWhereUpstreamsAreUp(t *testing.T) {
	g := NewWithT(t)
	var results [2][4]int
	for i, withPace := range []bool{false, true} {
		sim := newPaceSim(withPace)
		sim.play(3*time.Second, 700)
		results[i] = [4]int{sim.inTime, sim.late, sim.failed, sim.refused}
		for _, s := range sim.routers {
			g.Expect(s.PacedUpstreams()).To(BeZero())
			g.Expect(s.Held()).To(BeZero())
			g.Expect(s.Report(sim.now).Pace).To(BeEmpty())
		}
	}
	g.Expect(results[1]).To(Equal(results[0]))
}

// Where all upstreams lose some of their answers, none is taken for one that does not answer.
func TestPaceChangesNothingWhereAllLoseAnswers(t *testing.T) {
	g := NewWithT(t)
	for _, loseEach := range []int{40, 16, 5} {
		sim := newPaceSim(true)
		sim.loseEach = loseEach
		sim.play(5*time.Second, 600)
		for _, s := range sim.routers {
			g.Expect(s.Held()).To(BeZero(), "one of %d", loseEach)
		}
	}
}

// An upstream is neither left idle after it has come back, nor does it get more at once than
// its window.
func TestPacedUpstreamIsNeitherFloodedNorIdle(t *testing.T) {
	g := NewWithT(t)
	sim := newPaceSim(true)
	sim.play(time.Second, 450)
	sim.restart(0, 1, 0)
	// By then all routers have heard of it, and what they sent before has ended.
	sim.play(250*time.Millisecond, 450)
	sim.most = 0
	sim.play(200*time.Millisecond, 450)
	g.Expect(sim.most).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
	sim.play(3*time.Second, 450)
	for _, s := range sim.routers {
		g.Expect(s.PacedUpstreams()).To(BeZero())
	}
	g.Expect(sim.failed + sim.refused).To(BeZero())
}

// Engines that are slow because too much is asked of all of them are not taken for engines that
// do not answer.
func TestPaceChangesNothingUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var results [2][3]int
			for i, withPace := range []bool{false, true} {
				sim := newFleetSim(seed, 12, 0)
				sim.disturbed = true
				for _, s := range sim.routers {
					s.options.Pace = withPace
				}
				playSteady(sim, 1.2*simReadRate*12, 10)
				results[i] = [3]int{sim.inTime, sim.late, sim.refused}
			}
			NewWithT(t).Expect(results[1]).To(Equal(results[0]))
		})
	}
}

// A router's own failures that come back in a sum do not count twice.
func TestOwnFailuresInASumCountOnce(t *testing.T) {
	g, key := NewWithT(t), Key("p00")
	own := Report{Pace: map[uint32]pace.Report{key: {Failures: 2, BadAge: 0, GoodAge: pace.Never}}}
	sum := NewReport()
	sum.Add(own)
	sum.Add(Report{Pace: map[uint32]pace.Report{key: {Failures: 1, BadAge: 0, GoodAge: pace.Never}}})
	g.Expect(sum.Pace[key].Failures).To(Equal(3))
	sum.Sub(own)
	g.Expect(sum.Pace[key].Failures).To(Equal(1))
	g.Expect(own.Pace[key].Failures).To(Equal(2))
}
