package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// limitedID is the upstream of limitFleet that names a limit.
const limitedID = "p00"

// limitFleet is a number of routers before the same upstreams, of which limitedID names a
// limit in each answer.
type limitFleet struct {
	routers []*fixture
	limit   float64
	// sentAt has the times of requests sent to the limited upstream.
	sentAt []time.Time
}

// newLimitFleet returns a fleet whose routers have all been told of the limit.
func newLimitFleet(t *testing.T, routers int, limit float64) *limitFleet {
	fleet := &limitFleet{limit: limit}
	for range routers {
		fleet.routers = append(fleet.routers, newFixture(t, 2))
	}
	for i := range routers {
		fleet.register(i, routers)
		fleet.routers[i].state(limit)
	}
	return fleet
}

// state tells a router what the limited upstream states.
func (f *fixture) state(limit float64) {
	f.step(InstanceReported{Instance: f.upstreams[limitedID].Instance, Limit: limit})
}

// register tells a router that the first n routers are registered.
func (fleet *limitFleet) register(router, n int) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("router", i))
	}
	fleet.routers[router].step(FleetChanged{Routers: n, Self: fmt.Sprint("router", router), Registered: names})
}

// load lets a request arrive at each of the first n routers every step for a time. Requests
// end at once.
func (fleet *limitFleet) load(n int, step, total time.Duration) {
	for passed := time.Duration(0); passed < total; passed += step {
		for _, f := range fleet.routers[:n] {
			f.now = f.now.Add(step)
			id := f.arrive(lookup, plain, 0)
			e, ok := f.last[id].(Send)
			if !ok {
				f.step(CallerLeft{ID: id})
				continue
			}
			if e.Upstream.ID == limitedID {
				fleet.sentAt = append(fleet.sentAt, f.now)
				f.step(InstanceReported{Instance: e.Upstream, Limit: fleet.limit})
			}
			f.step(Done{ID: id, Attempt: e.Attempt})
		}
		for _, f := range fleet.routers[n:] {
			f.now = f.now.Add(step)
		}
	}
}

// mostIn returns the largest number of requests to the limited upstream within four seconds.
func (fleet *limitFleet) mostIn(from time.Time) (most int) {
	for i, begin := range fleet.sentAt {
		if begin.Before(from) {
			continue
		}
		n := 0
		for _, at := range fleet.sentAt[i:] {
			if at.Sub(begin) <= 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// allowed is the users' bound on the requests in four seconds.
func allowed(limit float64) float64 { return 1.5*4*limit + 5 }

// However many routers there are, and also when all have been idle, an upstream gets about
// what it takes.
func TestLimitHoldsForAnyNumberOfRouters(t *testing.T) {
	for _, routers := range []int{1, 6, 60, 300} {
		for _, limit := range []float64{0.2, 1.9, 6.1, 24.5} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, limit), func(t *testing.T) {
				g, fleet := NewWithT(t), newLimitFleet(t, routers, limit)
				fleet.load(0, time.Second, 30*time.Second)
				fleet.load(routers, 50*time.Millisecond, 12*time.Second)
				g.Expect(fleet.mostIn(start)).To(BeNumerically("<=", allowed(limit)))
				// Half of the requests are placed at the other upstream.
				usable := min(limit, float64(routers)*20/2)
				g.Expect(float64(len(fleet.sentAt))).To(BeNumerically(">=", 0.6*12*usable-1))
			})
		}
	}
}

// While routers leave and join one after the other, as in a release, the limit holds.
func TestLimitHoldsWhileRoutersChange(t *testing.T) {
	const routers, limit = 8, 6.0
	g, fleet := NewWithT(t), newLimitFleet(t, routers, limit)
	for n := routers - 1; n >= 4; n-- {
		// The others hear of it up to half a second later.
		fleet.load(n, 50*time.Millisecond, 500*time.Millisecond)
		for i := range n {
			fleet.register(i, n)
		}
		fleet.load(n, 50*time.Millisecond, time.Second)
	}
	for n := 5; n <= routers; n++ {
		fleet.register(n-1, n)
		fleet.load(n, 50*time.Millisecond, 500*time.Millisecond)
		for i := range n {
			fleet.register(i, n)
		}
		fleet.load(n, 50*time.Millisecond, time.Second)
	}
	g.Expect(fleet.mostIn(start)).To(BeNumerically("<=", allowed(limit)))
	g.Expect(len(fleet.sentAt)).To(BeNumerically(">", 0))
}

// A router learns from its peers' reports that a limit is named, and that it has ended, also
// through a sum of several reports.
func TestLimitIsLearntFromPeers(t *testing.T) {
	g, f, peer := NewWithT(t), newFixture(t, 2), newFixture(t, 2)
	tell := func() {
		old := newFixture(t, 2)
		sum := NewReport()
		sum.Add(Report{Limits: map[uint32]Limit{Key(limitedID): {PerSecond: 50, Age: time.Minute}}})
		sum.Add(peer.Report(peer.now))
		sum.Add(old.Report(old.now))
		f.step(PeerReported{Peer: "b", Report: sum})
	}
	for _, x := range []*fixture{f, peer} {
		x.step(FleetChanged{Routers: 2, Self: "a", Registered: []string{"a", "b"}})
	}
	peer.state(6)
	tell()
	g.Expect(f.upstreams[limitedID].limit.perSecond).To(Equal(6.0))
	g.Expect(f.last[""]).To(BeAssignableToTypeOf(LimitChanged{}))
	f.now, peer.now = f.now.Add(time.Second), peer.now.Add(time.Second)
	peer.state(0)
	tell()
	g.Expect(f.upstreams[limitedID].limit.perSecond).To(BeZero())
	// What was stated before the end does not count.
	f.step(PeerReported{Peer: "c", Report: Report{Limits: map[uint32]Limit{Key(limitedID): {PerSecond: 6, Age: 800 * time.Millisecond}}}})
	g.Expect(f.upstreams[limitedID].limit.perSecond).To(BeZero())
}

// A limit outlasts the entry of its upstream, and ends with a restart of the upstream or with
// the first answer that names none.
func TestLimitEndsWithItsStatement(t *testing.T) {
	g, f := NewWithT(t), newFixture(t, 1)
	limit := func() float64 { return f.upstreams[limitedID].limit.perSecond }
	f.state(6)
	f.step(InstancesChanged{})
	f.step(InstancesChanged{Instances: instances(1)})
	g.Expect(limit()).To(Equal(6.0))
	f.now = f.now.Add(time.Millisecond)
	f.step(InstanceReported{Instance: f.upstreams[limitedID].Instance, LimitUnknown: true})
	g.Expect(limit()).To(Equal(6.0))
	restarted := instances(1)
	restarted[1].Started = 7
	f.step(InstancesChanged{Instances: restarted})
	g.Expect(limit()).To(BeZero())
	for _, x := range []struct{ stated, want float64 }{{6, 6}, {1e-9, minLimit}, {0, 0}, {1e300, 0}} {
		f.now = f.now.Add(time.Millisecond)
		f.state(x.stated)
		g.Expect(limit()).To(Equal(x.want))
	}
}
