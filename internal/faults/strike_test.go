package faults

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// faultTime is how long a fault lasts.
	faultTime = 3 * time.Second
	// listLag is how late the instance list shows a change.
	listLag = time.Second
	// resendEvery is how soon a caller of a poison request sends it again.
	resendEvery = 500 * time.Millisecond
	resends     = 8
	// bootTime is how long a router may take to be ready that restarts while the
	// platform is down.
	bootTime = 3 * time.Second
)

// fault strikes the router at which the step was seen.
type fault struct {
	name   string
	strike func(f *fleet, n *node)
	// long lets the load go on for so long after the fault that a leaving
	// upstream would still be offered work.
	long bool
}

var faults = []fault{
	{name: "its router is killed and restarts without memory", strike: func(f *fleet, n *node) {
		f.kill(n)
		f.mend(faultTime, func() { f.restart(n) })
	}},
	{name: "another router is killed and restarts without memory", strike: func(f *fleet, n *node) {
		other := f.after1(n)
		f.kill(other)
		f.mend(faultTime, func() { f.restart(other) })
	}},
	{name: "its router restarts without memory while the platform is down", strike: restartInOutage},
	{name: "its router is paused past every lease", strike: func(f *fleet, n *node) {
		n.paused, f.divided = f.now.Add(2*faultTime), true
		f.heals(2 * faultTime)
	}},
	{name: "its router is cut off and rejoins with a stale view", strike: func(f *fleet, n *node) {
		f.part(n)
		f.mend(2*faultTime, func() { f.rejoin(n) })
	}},
	{name: "its failure domain is cut off from the others and the platform", strike: func(f *fleet, n *node) {
		f.partDomain(n.domain)
		f.mend(2*faultTime, func() { f.partDomain(""); f.platformBack() })
	}},
	{name: "messages are doubled", strike: func(f *fleet, _ *node) {
		f.duplicate = true
		f.mend(faultTime, func() { f.duplicate = false })
	}},
	{name: "messages come late and crossed", strike: func(f *fleet, _ *node) {
		f.late = true
		f.mend(faultTime, func() { f.late = false })
	}},
	{name: "messages get lost", strike: func(f *fleet, _ *node) {
		f.lossy, f.lost, f.divided = true, true, true
		f.mend(faultTime, func() { f.lossy = false })
	}},
	{name: "the key-value service is down", strike: func(f *fleet, _ *node) { f.outage(faultTime) }},
	{name: "the key-value service loses answers", strike: func(f *fleet, _ *node) {
		f.store.loseAnswers = true
		f.mend(faultTime, func() { f.store.loseAnswers = false })
	}},
	{name: "writes take effect late", strike: func(f *fleet, _ *node) {
		f.store.lateBy = faultTime
		f.mend(faultTime, func() { f.store.lateBy = 0 })
	}},
	{name: "an upstream crashes", strike: func(f *fleet, _ *node) { f.crash(f.upstreams["m0"], faultTime) }},
	{name: "every plain upstream crashes", strike: func(f *fleet, _ *node) {
		f.crash(f.upstreams["p0"], faultTime)
		f.crash(f.upstreams["p1"], faultTime)
	}},
	{name: "an upstream's connections go silent", strike: func(f *fleet, _ *node) {
		u := f.upstreams["m1"]
		u.silent = true
		f.mend(faultTime, func() { u.silent = false })
	}},
	{name: "an upstream leaves by the lagging list", long: true, strike: func(f *fleet, _ *node) {
		f.upstreams["m0"].State = core.UpstreamLeaving
		f.listAll(listLag)
		f.returns("m0")
	}},
	{name: "an upstream leaves by its own word", long: true, strike: func(f *fleet, _ *node) {
		f.upstreams["m0"].leaving = true
		f.returns("m0")
	}},
	{name: "its router drains", strike: func(f *fleet, n *node) {
		f.arrive(n, request(f, 0, longCost))
		f.deliver(n, core.Drain{})
	}},
	{name: "its router drains while the platform is down", strike: func(f *fleet, n *node) {
		f.outage(4 * faultTime)
		f.deliver(n, core.Drain{})
	}},
	{name: "two operators race", strike: func(f *fleet, _ *node) { f.race() }},
	{name: "the platform fails right after a configuration is accepted", strike: func(f *fleet, n *node) {
		f.accept()
		f.after(storeDelay, func() { f.outage(4 * faultTime) })
	}},
	{name: "the platform serves a stale configuration to a restarted router", strike: func(f *fleet, n *node) {
		f.accept()
		f.store.stale = true
		f.after(faultTime, func() { f.kill(n); f.after(time.Second, func() { f.restart(n) }) })
		f.mend(4*faultTime, func() { f.store.stale = false })
	}},
	{name: "a request crashes each upstream and its caller sends it again", strike: poison},
	{name: "callers go away", strike: func(f *fleet, n *node) {
		for _, id := range f.pending(n) {
			f.leave(id)
		}
	}},
	{name: "callers send their operations again through another router", strike: resend},
	{name: "callers send their keys again with another body", strike: func(f *fleet, n *node) {
		for _, id := range f.pending(n) {
			if a := f.callers[id].arrive; a.Once {
				a.Body = f.body()
				f.arrive(f.after1(n), a)
			}
		}
	}},
}

// after1 is the next router.
func (f *fleet) after1(n *node) *node { return f.nodes[(n.index+1)%len(f.nodes)] }

// outage takes the platform down for a while.
func (f *fleet) outage(d time.Duration) {
	f.store.down = true
	f.mend(d, func() {
		f.store.down = false
		f.platformBack()
	})
}

// platformBack lets the routers' watches of the platform work again.
func (f *fleet) platformBack() {
	f.fetchAll()
	f.listAll(0)
}

func restartInOutage(f *fleet, n *node) {
	f.outage(3 * faultTime)
	f.kill(n)
	f.after(time.Second, func() { f.restart(n) })
	inc := n.incarnation + 1
	f.after(time.Second+bootTime, func() {
		if s := n.state.Status(); n.up && n.incarnation == inc && !s.Draining && !n.ready && len(n.linked) > 0 && !f.lost {
			f.breaks("%s is not ready %s after its restart", n.name, bootTime)
		}
	})
}

// returns lets a leaving upstream take work again after a while.
func (f *fleet) returns(upstream string) {
	f.mend(4*faultTime, func() {
		f.upstreams[upstream].stay()
		f.listAll(0)
	})
}

// poison has the same request sent again and again, each time through another
// router, once the one before has ended.
func poison(f *fleet, n *node) {
	a := f.modelRequest(0)
	for _, u := range f.upstreams {
		if u.poison == nil {
			u.poison = make(map[[32]byte]int)
		}
		u.poison[a.Body] = 0
	}
	for i := range resends {
		f.mend(time.Duration(i)*resendEvery, func() { f.arrive(f.nodes[(n.index+i)%len(f.nodes)], a) })
	}
}

// resend sends what is under way at a router again, at once and a little later.
func resend(f *fleet, n *node) {
	for _, id := range f.pending(n) {
		a := f.callers[id].arrive
		if !a.Once {
			continue
		}
		f.arrive(f.after1(n), a)
		f.after(soon, func() { f.arrive(f.after1(f.after1(n)), a) })
	}
}
