package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// loaded returns a settled fleet in which every router has one attempt in flight.
func loaded(n, domains int) *fleet {
	f := newFleet(n, domains)
	for i, addr := range f.order {
		f.routers[addr].setLoad(i+1, 1)
	}
	f.run(3 * time.Second)
	return f
}

// wrongViews counts the running routers that know of another number of attempts.
func (f *fleet) wrongViews(want int) (n int) {
	for _, r := range f.routers {
		if !r.down && r.sees() != want {
			n++
		}
	}
	return n
}

// TestEveryRouterSeesTheWholeLoad: each attempt counts once at each router.
func TestEveryRouterSeesTheWholeLoad(t *testing.T) {
	for _, x := range []struct{ routers, domains int }{{17, 3}, {20, 20}, {80, 3}, {110, 3}, {295, 6}} {
		t.Run(fmt.Sprint(x.routers), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := loaded(x.routers, x.domains)
			g.Expect(f.wrongViews(x.routers)).To(BeZero())
			for i, addr := range f.order {
				f.routers[addr].setLoad(i+1, 3)
			}
			f.run(500 * time.Millisecond)
			g.Expect(f.wrongViews(3 * x.routers)).To(BeZero())
		})
	}
}

// TestChangesAreSeenSoon: the other routers of a failure domain see a change within the
// time in which an engine reads a long prompt, and all routers within a third of a second.
func TestChangesAreSeenSoon(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := loaded(295, 6)
	for try := range 20 {
		addr := f.order[(try*37)%len(f.order)]
		r := f.routers[addr]
		r.setLoad(1, 2+try)
		want, began := 294+2+try, f.now
		seenInDomain := func() bool {
			for _, other := range f.routers {
				if other.router.Domain == r.router.Domain && other.sees() != want {
					return false
				}
			}
			return true
		}
		for !seenInDomain() && f.now.Sub(began) < time.Second {
			f.run(5 * time.Millisecond)
		}
		g.Expect(f.now.Sub(began)).To(BeNumerically("<=", 120*time.Millisecond))
		f.run(350*time.Millisecond - f.now.Sub(began))
		g.Expect(f.wrongViews(want)).To(BeZero())
		r.setLoad(1, 1)
		f.run(time.Second)
	}
}

// TestDatagramsHardlyGrowWithTheFleet counts what a router sends and receives a second
// while its load changes all the time.
func TestDatagramsHardlyGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, x := range []struct{ routers, domains int }{{105, 3}, {295, 6}, {420, 7}} {
		f := loaded(x.routers, x.domains)
		for _, r := range f.routers {
			r.sent, r.received, r.sentAcross = 0, 0, 0
		}
		for i := range 20 {
			for j, addr := range f.order {
				f.routers[addr].setLoad(j+1, 1+i%2)
			}
			f.run(50 * time.Millisecond)
		}
		var most, sum, across int
		for _, r := range f.routers {
			if !r.state.isRelay {
				most = max(most, r.sent+r.received)
			}
			sum += r.sent
			across += r.sentAcross
		}
		t.Logf("%d routers: most of a router that is no relay %d a second, mean sent %d, between domains %d a second and domain",
			x.routers, most, sum/x.routers, across/x.domains)
		g.Expect(most).To(BeNumerically("<=", 100))
		g.Expect(across / x.domains).To(BeNumerically("<=", 20*(x.domains-1)))
	}
}

// forBothSizes runs a test with a fleet in which the routers of a failure domain report to
// each other, and with one in which they report to relays.
func forBothSizes(t *testing.T, name string, test func(t *testing.T, n int)) {
	for _, n := range []int{120, 160} {
		t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
			t.Parallel()
			test(t, n)
		})
	}
}

// TestRelaysAreReplaced strikes relays in different ways; the routers of the failure
// domain must see the load of all others again soon, and again when the relays are back.
func TestRelaysAreReplaced(t *testing.T) {
	for _, x := range []struct {
		name string
		// count is the number of relays struck, in order of rank.
		count int
		// within is the time after which the views must be right again.
		within time.Duration
	}{
		{"first relay", 1, 2200 * time.Millisecond},
		{"both relays", 2, 3 * time.Second},
		{"four routers of the highest rank", 4, 4 * time.Second},
	} {
		forBothSizes(t, x.name, func(t *testing.T, n int) {
			g := NewWithT(t)
			f := loaded(n, 4)
			struck := f.routers[f.order[0]].state.ranked["d0"][:x.count]
			for _, addr := range struck {
				f.routers[addr].down = true
			}
			f.run(x.within)
			g.Expect(f.wrongViews(n-x.count)).To(BeZero(), "while they are silent")
			for _, addr := range struck {
				f.routers[addr].down = false
			}
			f.run(3 * time.Second)
			g.Expect(f.wrongViews(n)).To(BeZero(), "once they are back")
		})
	}
}

// TestNewRelayIsNotBelievedTooSoon: a relay that has just come back knows the loads of a
// few routers only; the others' loads must not vanish from the views meanwhile.
func TestNewRelayIsNotBelievedTooSoon(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := loaded(160, 4)
	first := f.routers[f.order[0]].state.ranked["d0"][0]
	f.routers[first].down = true
	f.run(3 * time.Second)
	f.routers[first].down = false
	f.routers[first].state = New(f.routers[first].router)
	f.routers[first].state.SetRouters(routersOf(f))
	f.routers[first].views = map[string]dispatch.Report{}
	for range 60 {
		f.run(50 * time.Millisecond)
		for _, addr := range f.order {
			if addr != first {
				g.Expect(f.routers[addr].sees()).To(BeNumerically(">=", 148))
			}
		}
	}
}

func routersOf(f *fleet) (list []Router) {
	for _, addr := range f.order {
		list = append(list, f.routers[addr].router)
	}
	return list
}

// TestLossDoesNoLastingHarm: with a tenth of the datagrams lost, views stay nearly right.
func TestLossDoesNoLastingHarm(t *testing.T) {
	forBothSizes(t, "", func(t *testing.T, n int) {
		g := NewWithT(t)
		f := loaded(n, 4)
		f.loss = 0.1
		for range 40 {
			f.run(100 * time.Millisecond)
			for _, r := range f.routers {
				g.Expect(r.sees()).To(And(BeNumerically(">=", 7*n/10), BeNumerically("<=", n)))
			}
		}
		f.loss = 0
		f.run(2 * time.Second)
		g.Expect(f.wrongViews(n)).To(BeZero())
	})
}

// TestCutOffDomain: both sides of a cut see their own load, and all of it once it ends.
func TestCutOffDomain(t *testing.T) {
	forBothSizes(t, "", func(t *testing.T, n int) {
		g := NewWithT(t)
		f := loaded(n, 4)
		f.cut = func(from, to string) bool {
			return (f.routers[from].router.Domain == "d0") != (f.routers[to].router.Domain == "d0")
		}
		f.run(3 * time.Second)
		for _, r := range f.routers {
			want := 3 * n / 4
			if r.router.Domain == "d0" {
				want = n / 4
			}
			g.Expect(r.sees()).To(Equal(want))
		}
		f.cut = func(string, string) bool { return false }
		f.run(4 * time.Second)
		g.Expect(f.wrongViews(n)).To(BeZero())
	})
}

// TestWatchersOfTheStore: two routers of each failure domain watch the store, also while
// it turns some away, and a router that no relay reaches watches it itself.
func TestWatchersOfTheStore(t *testing.T) {
	forBothSizes(t, "", func(t *testing.T, n int) {
		g := NewWithT(t)
		f := loaded(n, 4)
		watching := func() (n int) {
			for _, r := range f.routers {
				if !r.down && r.state.Watches(f.now) {
					n++
				}
			}
			return n
		}
		g.Expect(watching()).To(Equal(4 * WatchersPerDomain))
		for _, addr := range f.routers[f.order[0]].state.ranked["d0"][:3] {
			f.routers[addr].state.SetStatus(Status{StoreLost: true})
		}
		for range 20 {
			f.run(50 * time.Millisecond)
			g.Expect(watching()).To(BeNumerically("<=", 4*WatchersPerDomain+3))
		}
		g.Expect(watching()).To(Equal(4 * WatchersPerDomain))
		alone := f.order[4]
		f.cut = func(from, to string) bool { return from == alone || to == alone }
		f.run(2 * time.Second)
		g.Expect(f.routers[alone].state.Watches(f.now)).To(BeTrue())
	})
}

// TestStoreIsWatchedWhileNobodyReachesIt: once no router of a failure domain reaches the
// store, some of them go on trying. Otherwise none would notice that it is back.
func TestStoreIsWatchedWhileNobodyReachesIt(t *testing.T) {
	forBothSizes(t, "", func(t *testing.T, n int) {
		g := NewWithT(t)
		f := loaded(n, 4)
		for _, r := range f.routers {
			r.state.SetStatus(Status{StoreLost: true})
		}
		f.run(2 * time.Second)
		watching := map[string]int{}
		for _, r := range f.routers {
			if r.state.Watches(f.now) {
				watching[r.router.Domain]++
			}
		}
		for _, domain := range []string{"d0", "d1", "d2", "d3"} {
			g.Expect(watching[domain]).To(Equal(WatchersPerDomain), domain)
		}
	})
}

// TestLeavingRelayIsLeftAtOnce: a relay that stops says so, and another one is used
// without waiting for its silence.
func TestLeavingRelayIsLeftAtOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := loaded(160, 4)
	first := f.routers[f.order[0]].state.ranked["d0"][0]
	f.routers[first].state.SetStatus(Status{Leaving: true})
	f.run(time.Second)
	for _, r := range f.routers {
		if r.router.Domain == "d0" && r.router.Addr != first {
			g.Expect(r.state.ownView.addr).NotTo(Equal(first))
		}
	}
	g.Expect(f.wrongViews(160)).To(BeZero())
}

// TestPlacementsReachEveryRouter: each placement is passed on, and not endlessly.
func TestPlacementsReachEveryRouter(t *testing.T) {
	g := NewWithT(t)
	var q queue[dispatch.Placement]
	p := dispatch.Placement{Upstream: 1, Part: dispatch.Part{ID: 2, Tokens: 3}}
	q.add([]dispatch.Placement{p, p})
	g.Expect(q.take()).To(HaveLen(1))
	q.add([]dispatch.Placement{p})
	g.Expect(q.take()).To(HaveLen(1))
	g.Expect(q.take()).To(BeEmpty())
	q.add([]dispatch.Placement{p})
	g.Expect(q.take()).To(HaveLen(1))
	for i := range 2 * maxQueued {
		q.add([]dispatch.Placement{{Upstream: uint32(i)}})
	}
	g.Expect(len(q.take())).To(BeNumerically("<=", maxQueued+1))
}

// TestCrashesReachEveryRouter: what one router tells of a crash is heard by all others
// within a second, and is not passed on endlessly.
func TestCrashesReachEveryRouter(t *testing.T) {
	forBothSizes(t, "", func(t *testing.T, n int) {
		g := NewWithT(t)
		f := loaded(n, 4)
		for i := range 10 {
			fact := poison.Fact{Kind: poison.FactSuspect, Trait: poison.Trait{Kind: poison.KindRequest, ID: uint64(i)}, Run: 1}
			teller := f.routers[f.order[(i*13)%n]]
			// A router tells each fact in two reports.
			for range 2 {
				teller.load.Crashes = []poison.Fact{fact}
				teller.unreported = reportThreshold
				f.run(2 * reportInterval)
				teller.load.Crashes = nil
			}
			f.run(time.Second - 4*reportInterval)
			for _, r := range f.routers {
				if r != teller {
					g.Expect(r.crashes[fact]).To(BeNumerically(">", 0))
				}
			}
			f.run(time.Second)
			for _, r := range f.routers {
				g.Expect(r.crashes[fact]).To(BeNumerically("<=", 16))
				g.Expect(r.views[DomainView].Crashes).NotTo(ContainElement(fact))
			}
		}
	})
}

// TestLimitsReachEveryRouter: a limit of an upstream that one router has been told, and its
// end that another one has, are heard by all others within a second; the later statement is
// the younger one everywhere.
func TestLimitsReachEveryRouter(t *testing.T) {
	const upstream = 7
	youngest := func(r *simRouter) (limit dispatch.Limit, ok bool) {
		for _, v := range r.views {
			if l, known := v.Limits[upstream]; known && (!ok || l.Age < limit.Age) {
				limit, ok = l, true
			}
		}
		return limit, ok
	}
	forBothSizes(t, "", func(t *testing.T, n int) {
		g, f := NewWithT(t), loaded(n, 4)
		state := func(r *simRouter, l dispatch.Limit) {
			r.load.Limits = map[uint32]dispatch.Limit{upstream: l}
			r.unreported = reportThreshold
		}
		first, second := f.routers[f.order[3]], f.routers[f.order[n-2]]
		state(first, dispatch.Limit{PerSecond: 6})
		f.run(time.Second)
		for _, r := range f.routers {
			if r != first {
				limit, ok := youngest(r)
				g.Expect(ok).To(BeTrue())
				g.Expect(limit.PerSecond).To(Equal(6.0))
			}
		}
		state(first, dispatch.Limit{PerSecond: 6, Age: 2 * time.Second})
		state(second, dispatch.Limit{Age: 50 * time.Millisecond})
		f.run(time.Second)
		for _, r := range f.routers {
			if r != second {
				limit, ok := youngest(r)
				g.Expect(ok).To(BeTrue())
				g.Expect(limit.PerSecond).To(BeZero())
			}
		}
	})
}
