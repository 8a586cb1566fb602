package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/coldstart"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// coldService is a model service whose upstreams are cold after their start, with the
// operators' bounds.
var coldService = routing.Service{
	Name: model, Engine: &routing.Engine{Slots: 24, CacheTokens: 495_701, EventTokens: 8, Moves: true},
	Cold: &routing.ColdStart{Duration: 3 * time.Second, PerSecond: 9.8},
}

// mostCold is the operators' bound on the requests to a cold upstream in any second, and
// leastCold two thirds of what it tolerates in the two seconds after it has been noticed.
const (
	mostCold  = 19.7
	leastCold = 13
)

// coldFleet is a number of routers before the same upstreams, of which the first may be cold.
type coldFleet struct {
	g       Gomega
	now     time.Time
	routers []*State
	list    []Instance
	created int
	// arrivals has the times of requests to the first upstream, and moves the moves to it.
	arrivals []time.Time
	moves    int
	refused  map[Reason]int
	// running are the attempts, which end at the same upstream after answerTime.
	running []coldRun
}

type coldRun struct {
	router  int
	send    Send
	firstAt time.Time
	begun   bool
}

const (
	coldFirstByte = 60 * time.Millisecond
	coldAnswer    = 400 * time.Millisecond
)

// newColdFleet returns routers in two failure domains that know the upstreams for long.
func newColdFleet(t *testing.T, routers, upstreams int) *coldFleet {
	f := &coldFleet{g: NewWithT(t), now: start, refused: make(map[Reason]int)}
	domains := make(map[string]string)
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprint("router", i))
		domains[names[i]] = fmt.Sprint("d", i%2)
	}
	for i := range upstreams {
		f.list = append(f.list, Instance{ID: fmt.Sprintf("m%02d", i), Service: model, Addr: fmt.Sprintf("10.0.0.%d:1", i), Slots: 24, Domain: fmt.Sprint("d", i%2), Started: 1, ColdStated: true})
	}
	for i := range routers {
		o := DefaultOptions()
		o.Domain, o.ColdOverage, o.ColdSlack = domains[names[i]], 1.5, 5
		s := New(o)
		s.Step(f.now, TableChanged{Table: routing.NewTable(1, routing.Limits{}, nil, []routing.Service{coldService}, nil)})
		s.Step(f.now, InstancesChanged{Instances: f.list})
		s.Step(f.now, FleetChanged{Routers: routers, Self: names[i], Registered: names, Domains: domains, AggregatedByDomain: routers > 16})
		f.routers = append(f.routers, s)
	}
	return f
}

// change changes the entry of the first upstream, which each router reads after a delay.
func (f *coldFleet) change(router int, change func(in *Instance)) {
	list := append([]Instance(nil), f.list...)
	change(&list[0])
	f.step(router, InstancesChanged{Instances: list})
}

func (f *coldFleet) step(router int, e Event) {
	for _, effect := range append([]Effect(nil), f.routers[router].Step(f.now, e)...) {
		switch effect := effect.(type) {
		case Send:
			f.running = append(f.running, coldRun{router: router, send: effect, firstAt: f.now.Add(coldFirstByte)})
			if effect.Upstream.ID == f.list[0].ID {
				f.arrivals = append(f.arrivals, f.now)
			}
		case Move:
			if effect.To.ID == f.list[0].ID {
				f.moves++
			}
			f.step(router, MoveFailed{ID: effect.ID, Attempt: effect.Attempt})
		case Refuse:
			f.refused[effect.Reason]++
		}
	}
}

// play lets requests arrive in turn at the given routers for a time.
func (f *coldFleet) play(lasts time.Duration, perSecond float64, reports bool, routers ...int) {
	const step = 10 * time.Millisecond
	owed := 0.0
	for passed := time.Duration(0); passed < lasts; passed += step {
		f.now = f.now.Add(step)
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			f.created++
			f.step(routers[f.created%len(routers)], Arrive{&Request{
				ID: fmt.Sprint("r", f.created), Organisation: "org", Route: chat, Service: model,
				Deadline: f.now.Add(12 * time.Second), Prompt: Prompt{Tokens: 2000, MaxOutput: 200},
			}})
		}
		running := f.running
		f.running = nil
		for _, run := range running {
			switch {
			case !run.begun && !f.now.Before(run.firstAt):
				run.begun = true
				f.step(run.router, FirstByteReceived{ID: run.send.ID, Attempt: run.send.Attempt})
			case !f.now.Before(run.firstAt.Add(coldAnswer)):
				f.step(run.router, Done{ID: run.send.ID, Attempt: run.send.Attempt})
				continue
			}
			f.running = append(f.running, run)
		}
		for i, s := range f.routers {
			f.step(i, Tick{})
			if reports && int(passed/step+time.Duration(i))%5 == 0 {
				report := s.Report(f.now)
				for j := range f.routers {
					if j != i {
						f.step(j, PeerReported{Peer: fmt.Sprint(i), Report: report})
					}
				}
			}
		}
	}
}

// mostInSecond returns the largest number of requests to the first upstream in any second.
func (f *coldFleet) mostInSecond() (most int) {
	for i, begin := range f.arrivals {
		n := 0
		for _, at := range f.arrivals[i:] {
			if at.Sub(begin) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (f *coldFleet) all() (list []int) {
	for i := range f.routers {
		list = append(list, i)
	}
	return list
}

// An upstream that starts cold under a load that the others hardly bear gets what it
// tolerates, at routers in touch and cut off from each other.
func TestColdUpstreamIsNeitherFloodedNorIdle(t *testing.T) {
	for _, routers := range []int{1, 6, 40} {
		for _, reports := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d routers, reports %v", routers, reports), func(t *testing.T) {
				f := newColdFleet(t, routers, 4)
				f.play(time.Second, 160, reports, f.all()...)
				f.arrivals, f.moves = nil, 0
				for i := range routers {
					f.change(i, func(in *Instance) { in.Started, in.Cold, in.ColdUntil = 2, 3*time.Second, f.now.Add(3*time.Second) })
				}
				f.play(2900*time.Millisecond, 160, reports, f.all()...)
				f.g.Expect(float64(f.mostInSecond())).To(BeNumerically("<=", mostCold))
				f.g.Expect(len(f.arrivals)).To(BeNumerically(">=", leastCold))
				f.g.Expect(f.moves).To(BeZero())
			})
		}
	}
}

// Half of the routers read a copy of the entry that is behind, and some start anew while the
// upstream is cold: the bound holds under the usual load.
func TestBoundHoldsWithLateAndRestartedRouters(t *testing.T) {
	const late, usualLoad = 300 * time.Millisecond, 4 * 15
	for _, reports := range []bool{true, false} {
		t.Run(fmt.Sprint("reports ", reports), func(t *testing.T) {
			f := newColdFleet(t, 40, 4)
			f.play(time.Second, usualLoad, reports, f.all()...)
			f.arrivals = nil
			cold := func(in *Instance) { in.Started, in.ColdUntil = 2, f.now.Add(3*time.Second) }
			for i := range 20 {
				f.change(i, cold)
			}
			f.play(late, usualLoad, reports, f.all()...)
			for i := range 20 {
				f.change(20+i, cold)
			}
			f.play(500*time.Millisecond, usualLoad, reports, f.all()...)
			for i := range 4 {
				fresh := newColdFleet(t, 40, 4)
				f.routers[i] = fresh.routers[i]
				f.change(i, cold)
			}
			f.play(2*time.Second, usualLoad, reports, f.all()...)
			f.g.Expect(float64(f.mostInSecond())).To(BeNumerically("<=", mostCold))
		})
	}
}

// A whole failure domain that comes back cold keeps within its bounds, and requests that no
// upstream can take in time are refused.
func TestColdDomainKeepsWithinItsBounds(t *testing.T) {
	f := newColdFleet(t, 20, 2)
	f.play(time.Second, 40, true, f.all()...)
	f.arrivals = nil
	for i := range f.routers {
		list := append([]Instance(nil), f.list...)
		for j := range list {
			list[j].Started, list[j].ColdUntil = 2, f.now.Add(3*time.Second)
		}
		f.step(i, InstancesChanged{Instances: list})
	}
	f.play(2900*time.Millisecond, 100, true, f.all()...)
	f.g.Expect(float64(f.mostInSecond())).To(BeNumerically("<=", mostCold))
	f.g.Expect(len(f.arrivals)).To(BeNumerically(">=", leastCold))
	f.g.Expect(f.refused[ReasonNoUpstream] + f.refused[ReasonWaited]).To(BeNumerically(">", 0))
}

// An upstream that refuses connections has ended, and is cold once it is back; peers hear
// of it.
func TestUpstreamThatRefusedConnectionsIsColdAfterwards(t *testing.T) {
	f := newColdFleet(t, 2, 3)
	u := f.routers[0].upstreams["m00"]
	f.routers[0].Step(f.now, Arrive{&Request{ID: "a", Route: chat, Service: model, Deadline: f.now.Add(time.Second), Prompt: Prompt{Tokens: 100, MaxOutput: 10}}})
	r := f.routers[0].requests["a"]
	r.upstream.local.sub(r.load)
	r.upstream = u
	u.local.add(r.load)
	f.step(0, Failed{ID: "a", Attempt: r.attempt, Kind: core.FailDial, Unreachable: true})
	f.g.Expect(f.routers[0].ColdUpstreams(f.now.Add(unreachableHold + 2900*time.Millisecond))).To(Equal(1))
	f.g.Expect(f.routers[1].ColdUpstreams(f.now)).To(BeZero())
	f.step(1, PeerReported{Peer: "0", Report: f.routers[0].Report(f.now)})
	f.g.Expect(f.routers[1].ColdUpstreams(f.now)).To(Equal(1))
	// What was told is not passed on.
	f.g.Expect(f.routers[1].Report(f.now).Cold).To(BeEmpty())
}

// A new upstream whose entry says nothing of its temperature is taken for cold, those of the
// first list and of services without a bound are not.
func TestNewUpstreamIsColdUnlessItsEntrySaysOtherwise(t *testing.T) {
	f := newColdFleet(t, 1, 2)
	s := f.routers[0]
	f.g.Expect(s.ColdUpstreams(f.now)).To(BeZero())
	f.change(0, func(in *Instance) { in.Started, in.ColdStated = 2, false })
	f.g.Expect(s.ColdUpstreams(f.now.Add(2 * time.Second))).To(Equal(1))
	f.g.Expect(s.ColdUpstreams(f.now.Add(4 * time.Second))).To(BeZero())
	s.Step(f.now, TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{{Name: model, Engine: coldService.Engine}}, nil)})
	f.g.Expect(s.ColdUpstreams(f.now)).To(BeZero())
}

// While the streams need few engines, none of these is cold: what a cold one takes is bounded
// in requests. The mean backlog counts it as the part that it can be busy.
func TestColdUpstreamCountsAsWhatItTakes(t *testing.T) {
	f := newColdFleet(t, 1, 4)
	s := f.routers[0]
	s.meanPrompt = 2500
	u := s.upstreams["m00"]
	f.g.Expect(u.class).To(Equal(classDecode))
	f.g.Expect(s.countUsable(f.now, s.services[model])).To(Equal(4))
	f.change(0, func(in *Instance) { in.ColdUntil = f.now.Add(3 * time.Second) })
	s.partitionUpstreams(f.now)
	f.g.Expect(u.class).To(Equal(classPrefill))
	f.g.Expect(s.countUsable(f.now, s.services[model])).To(Equal(3))
	f.g.Expect(s.warmth(f.now, u)).To(BeNumerically("~", 9.8/20, 0.01))
}

// A request that was placed before its upstream became cold, or whose connection took too
// long, is sent only if it is due.
func TestBoundRequestsWaitForTheirTurn(t *testing.T) {
	f := newColdFleet(t, 1, 1)
	s := f.routers[0]
	send := func(id string) bool {
		f.step(0, Arrive{&Request{ID: id, Organisation: "org", Route: chat, Service: model, Deadline: f.now.Add(12 * time.Second), Prompt: Prompt{Tokens: 200, MaxOutput: 200}}})
		r := s.requests[id]
		return r != nil && r.upstream != nil
	}
	f.g.Expect(send("a")).To(BeTrue())
	f.change(0, func(in *Instance) { in.ColdUntil = f.now.Add(3 * time.Second) })
	f.g.Expect(s.MayReach(f.now, "a", 1)).To(BeFalse())
	f.step(0, Failed{ID: "a", Attempt: 1, Kind: core.FailDial, Withheld: true})
	f.g.Expect(s.requests["a"].waiting).To(BeTrue())
	f.now = f.now.Add(110 * time.Millisecond)
	f.step(0, Tick{})
	f.g.Expect(s.requests["a"].attempt).To(Equal(2), "it has become due")
	f.g.Expect(s.MayReach(f.now, "a", 2)).To(BeTrue())
	f.now = f.now.Add(50 * time.Millisecond)
	f.g.Expect(s.MayReach(f.now, "a", 2)).To(BeTrue())
	f.g.Expect(s.MayReach(f.now.Add(coldstart.MaxDelay), "a", 2)).To(BeTrue(), "another is due by then")
	f.g.Expect(s.MayReach(f.now.Add(coldstart.MaxDelay), "a", 2)).To(BeFalse())
}
