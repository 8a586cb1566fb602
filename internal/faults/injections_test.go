package faults

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// faultTime is the duration of most faults.
	faultTime = 3 * time.Second
	// listLag is the delay after which the instance list shows a change.
	listLag = time.Second
	// resendInterval is the time between two sends of a poison request, resendCount
	// the number of sends.
	resendInterval = 500 * time.Millisecond
	resendCount    = 8
	// maxRestartTime is the time within which a router that restarts while the
	// platform is down must be ready.
	maxRestartTime = 3 * time.Second
)

// fault is a fault that can be injected into a fleet.
type fault struct {
	name string
	// inject injects the fault; n is the router at which the step occurred.
	inject func(f *fleet, n *node)
	// longLoad extends the load beyond leaveGrace, so that a router that ignores
	// the leaving of an upstream still offers work to it.
	longLoad bool
}

var faults = []fault{
	{name: "its router is killed and restarts without memory", inject: func(f *fleet, n *node) {
		f.killNode(n)
		f.endFaultAfter(faultTime, func() { f.restartNode(n) })
	}},
	{name: "another router is killed and restarts without memory", inject: func(f *fleet, n *node) {
		other := f.nextNode(n)
		f.killNode(other)
		f.endFaultAfter(faultTime, func() { f.restartNode(other) })
	}},
	{name: "its router restarts without memory while the platform is down", inject: restartInOutage},
	{name: "its router is paused past every lease", inject: func(f *fleet, n *node) {
		n.pausedUntil, f.missedMessages = f.now.Add(2*faultTime), true
		f.faultLasts(2 * faultTime)
	}},
	{name: "its router is cut off and rejoins with a stale view", inject: func(f *fleet, n *node) {
		f.cutOff(n)
		f.endFaultAfter(2*faultTime, func() { f.rejoin(n) })
	}},
	{name: "its failure domain is cut off from the others and the platform", inject: func(f *fleet, n *node) {
		f.cutOffDomain(n.domain)
		f.endFaultAfter(2*faultTime, func() { f.cutOffDomain(""); f.deliverPlatformState() })
	}},
	{name: "messages are doubled", inject: func(f *fleet, _ *node) {
		f.duplicate = true
		f.endFaultAfter(faultTime, func() { f.duplicate = false })
	}},
	{name: "messages come late and crossed", inject: func(f *fleet, _ *node) {
		f.late = true
		f.endFaultAfter(faultTime, func() { f.late = false })
	}},
	{name: "messages get lost", inject: func(f *fleet, _ *node) {
		f.lossy, f.lostMessages, f.missedMessages = true, true, true
		f.endFaultAfter(faultTime, func() { f.lossy = false })
	}},
	{name: "the key-value service is down", inject: func(f *fleet, _ *node) { f.startOutage(faultTime) }},
	{name: "the key-value service loses answers", inject: func(f *fleet, _ *node) {
		f.store.loseAnswers = true
		f.endFaultAfter(faultTime, func() { f.store.loseAnswers = false })
	}},
	{name: "writes take effect late", inject: func(f *fleet, _ *node) {
		f.store.lateBy = faultTime
		f.endFaultAfter(faultTime, func() { f.store.lateBy = 0 })
	}},
	{name: "an upstream crashes", inject: func(f *fleet, _ *node) { f.crashUpstream(f.upstreams["m0"], faultTime) }},
	{name: "every plain upstream crashes", inject: func(f *fleet, _ *node) {
		f.crashUpstream(f.upstreams["p0"], faultTime)
		f.crashUpstream(f.upstreams["p1"], faultTime)
	}},
	{name: "an upstream's connections go silent", inject: func(f *fleet, _ *node) {
		u := f.upstreams["m1"]
		u.silent = true
		f.endFaultAfter(faultTime, func() { u.silent = false })
	}},
	{name: "an upstream leaves by the lagging list", longLoad: true, inject: func(f *fleet, _ *node) {
		f.upstreams["m0"].State = core.UpstreamLeaving
		f.publishInstances(listLag)
		f.endLeaving("m0")
	}},
	{name: "an upstream leaves by its own word", longLoad: true, inject: func(f *fleet, _ *node) {
		f.upstreams["m0"].leaving = true
		f.endLeaving("m0")
	}},
	{name: "its router drains", inject: func(f *fleet, n *node) {
		f.callRouter(n, newRequest(f, 0, longCost))
		f.deliver(n, core.Drain{})
	}},
	{name: "its router drains while the platform is down", inject: func(f *fleet, n *node) {
		f.startOutage(4 * faultTime)
		f.deliver(n, core.Drain{})
	}},
	{name: "two operators race", inject: func(f *fleet, _ *node) { f.raceSubmissions() }},
	{name: "the platform fails right after a configuration is accepted", inject: func(f *fleet, n *node) {
		f.submitNext()
		f.after(storeDelay, func() { f.startOutage(4 * faultTime) })
	}},
	{name: "the platform serves a stale configuration to a restarted router", inject: func(f *fleet, n *node) {
		f.submitNext()
		f.store.stale = true
		f.after(faultTime, func() { f.killNode(n); f.after(time.Second, func() { f.restartNode(n) }) })
		f.endFaultAfter(4*faultTime, func() { f.store.stale = false })
	}},
	{name: "a request crashes each upstream and its caller sends it again", inject: resendPoison},
	{name: "callers go away", inject: func(f *fleet, n *node) {
		for _, id := range f.pending(n) {
			f.disconnect(id)
		}
	}},
	{name: "callers send their operations again through another router", inject: resendOperations},
	{name: "callers send their keys again with another body", inject: func(f *fleet, n *node) {
		for _, id := range f.pending(n) {
			if a := f.callers[id].request; a.AtMostOnce {
				a.Fingerprint = f.uniqueBody()
				f.callRouter(f.nextNode(n), a)
			}
		}
	}},
}

// nextNode returns the router after n, cyclically.
func (f *fleet) nextNode(n *node) *node { return f.nodes[(n.index+1)%len(f.nodes)] }

// startOutage takes the platform down for a while.
func (f *fleet) startOutage(d time.Duration) {
	f.store.down = true
	f.endFaultAfter(d, func() {
		f.store.down = false
		f.deliverPlatformState()
	})
}

// deliverPlatformState delivers configuration and instance list to all routers, as
// their watches do when the platform is reachable again.
func (f *fleet) deliverPlatformState() {
	f.deliverConfigToAll()
	f.publishInstances(0)
}

// restartInOutage restarts a router during an outage of the platform. The router
// must become ready with what it learns from its peers, unless messages were lost.
func restartInOutage(f *fleet, n *node) {
	f.startOutage(3 * faultTime)
	f.killNode(n)
	f.after(time.Second, func() { f.restartNode(n) })
	incarnation := n.incarnation + 1
	f.after(time.Second+maxRestartTime, func() {
		if s := n.state.Status(); n.up && n.incarnation == incarnation &&
			!s.Draining && !n.ready && len(n.linked) > 0 && !f.lostMessages {
			f.recordViolation("%s is not ready %s after its restart", n.name, maxRestartTime)
		}
	})
}

// endLeaving makes a leaving upstream available again after 4*faultTime.
func (f *fleet) endLeaving(upstream string) {
	f.endFaultAfter(4*faultTime, func() {
		f.upstreams[upstream].clearLeaving()
		f.publishInstances(0)
	})
}

// resendPoison sends the same poison request resendCount times, each time through
// another router. resendInterval leaves each one time to end before the next.
func resendPoison(f *fleet, n *node) {
	a := f.modelRequest(0)
	for _, u := range f.upstreams {
		if u.poisonCrashes == nil {
			u.poisonCrashes = make(map[[32]byte]int)
		}
		u.poisonCrashes[a.Fingerprint] = 0
	}
	for i := range resendCount {
		f.endFaultAfter(time.Duration(i)*resendInterval, func() { f.callRouter(f.nodes[(n.index+i)%len(f.nodes)], a) })
	}
}

// resendOperations resends the pending at-most-once operations of a router through
// two other routers, at once and after resendSoon.
func resendOperations(f *fleet, n *node) {
	for _, id := range f.pending(n) {
		a := f.callers[id].request
		if !a.AtMostOnce {
			continue
		}
		f.callRouter(f.nextNode(n), a)
		f.after(resendSoon, func() { f.callRouter(f.nextNode(f.nextNode(n)), a) })
	}
}
