package orders

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// step is a point between the request of the lease and the answer to an order at
// which a fault is injected: when a router makes a call or sends an order, or when an
// engine has received an order and its answer is still to be sent.
type step string

const (
	stepGrant        step = "lease asked"
	stepAcquire      step = "lease acquired"
	stepReadCounter  step = "number read"
	stepWriteCounter step = "number taken"
	stepConfirm      step = "lease confirmed"
	stepRenew        step = "lease renewed"
	stepOrder        step = "order sent"
	stepOrderResult  step = "order answered"
)

var steps = []step{
	stepGrant, stepAcquire, stepReadCounter, stepWriteCounter, stepConfirm, stepRenew, stepOrder, stepOrderResult,
}

// stepOf returns the step that an effect of a router belongs to, "" if none.
func stepOf(n *node, e core.Effect) step {
	switch e.(type) {
	case core.LeaseGrant:
		return stepGrant
	case core.LeaseAcquire:
		return stepAcquire
	case core.KVGet:
		return stepReadCounter
	case core.KVCAS:
		return stepWriteCounter
	case core.LeaseRenew:
		if n.state.lease.nextCall == callConfirm {
			return stepConfirm
		}
		return stepRenew
	case core.Order:
		return stepOrder
	}
	return ""
}

// fault is a kind of fault that the matrix injects at each step.
type fault struct {
	name string
	// inject brings the fault about at a router and returns how the effect of the
	// current step is disturbed.
	inject func(*simulation, *node) effectFault
	// onlyAt lists the steps at which the fault makes sense; all if it is empty.
	onlyAt []step
	// allowsLateOrder means that an engine that ignores fencing tokens may apply an
	// order of an earlier holder after one of a later holder. The engine's state
	// must still converge.
	allowsLateOrder bool
}

const (
	// outageTime is longer than any lease and TakeoverDelay together.
	outageTime = 2 * time.Minute
	// detectionTime is how long the fleet takes to detect that a router is down or
	// up again.
	detectionTime = 3 * time.Second
	// configDelay is how long after a fault a new desired state is configured.
	configDelay = 2 * time.Second
)

var allFaults = []fault{
	{name: "holder paused past its lease", inject: pauseHolder},
	{name: "holder paused after its last look at the clock", onlyAt: []step{stepOrder}, allowsLateOrder: true,
		inject: func(sim *simulation, n *node) effectFault {
			pauseHolder(sim, n)
			return effectFault{ignoreSendBefore: true}
		}},
	{name: "holder killed and restarted without memory", inject: func(sim *simulation, n *node) effectFault {
		n.dead = true
		sim.runAfter(detectionTime, func() {
			restarted := sim.addNode("r0.2")
			restarted.configure("A")
			restarted.setCandidate(true)
		})
		sim.runAfter(2*detectionTime, func() { sim.configureAll("B") })
		return effectFault{}
	}},
	{name: "holder cut off from the key-value service", inject: func(sim *simulation, n *node) effectFault {
		n.partitionedUntil = sim.now.Add(outageTime)
		sim.switchCandidate(n, detectionTime, outageTime)
		return effectFault{}
	}},
	{name: "key-value service down", inject: func(sim *simulation, _ *node) effectFault {
		sim.store.downUntil = sim.now.Add(outageTime)
		sim.runAfter(configDelay, func() { sim.configureAll("B") })
		return effectFault{}
	}},
	{name: "answer lost", inject: func(sim *simulation, _ *node) effectFault {
		sim.runAfter(configDelay, func() { sim.configureAll("B") })
		return effectFault{loseAnswer: true}
	}},
	{name: "message late", inject: func(sim *simulation, _ *node) effectFault {
		sim.runAfter(configDelay, func() { sim.configureAll("B") })
		return effectFault{delay: TakeoverDelay / 2}
	}},
	{name: "engines restart empty", inject: func(sim *simulation, _ *node) effectFault {
		sim.restartEngines()
		sim.runAfter(configDelay, func() { sim.configureAll("B") })
		return effectFault{}
	}},
	{name: "engines restart empty later, without a change", inject: func(sim *simulation, _ *node) effectFault {
		sim.runAfter(configDelay, func() { sim.configureAll("B") })
		sim.runAfter(outageTime, sim.restartEngines)
		return effectFault{}
	}},
	{name: "two holders for a time", inject: func(sim *simulation, n *node) effectFault {
		sim.store.endAllLeases()
		sim.switchCandidate(n, 0, outageTime)
		return effectFault{}
	}},
	{name: "two holders for a time, message late", inject: func(sim *simulation, n *node) effectFault {
		sim.store.endAllLeases()
		sim.switchCandidate(n, 0, outageTime)
		return effectFault{delay: TakeoverDelay / 2}
	}},
	{name: "two holders for a time, order later than the wait", onlyAt: []step{stepOrder}, allowsLateOrder: true,
		inject: func(sim *simulation, n *node) effectFault {
			sim.store.endAllLeases()
			sim.switchCandidate(n, 0, outageTime)
			return effectFault{delay: outageTime}
		}},
	{name: "counter restored from an old copy", inject: func(sim *simulation, n *node) effectFault {
		delete(sim.store.values, FencingCounterKey(testDomain))
		sim.store.endAllLeases()
		sim.switchCandidate(n, 0, outageTime)
		return effectFault{}
	}},
}

func (sim *simulation) restartEngines() {
	for _, e := range sim.engines {
		e.restart()
	}
}

func pauseHolder(sim *simulation, n *node) effectFault {
	n.pausedUntil = sim.now.Add(outageTime)
	sim.switchCandidate(n, detectionTime, outageTime)
	return effectFault{}
}

// switchCandidate makes another router the candidate after delay and configures
// the new desired state there. Router n learns of both only detectionTime after
// the fault has ended.
func (sim *simulation) switchCandidate(n *node, delay, faultTime time.Duration) {
	other := sim.standby(n)
	sim.runAfter(delay, func() { other.setCandidate(true) })
	sim.runAfter(delay+configDelay, func() { other.configure("B") })
	sim.runAfter(faultTime+detectionTime, func() {
		n.setCandidate(false)
		n.configure("B")
	})
}

// standby returns the newest running router other than n, or n if there is none.
func (sim *simulation) standby(n *node) *node {
	for _, o := range slices.Backward(sim.nodes) {
		if o != n && !o.dead {
			return o
		}
	}
	return n
}

// configureAll configures a desired state at every router.
func (sim *simulation) configureAll(desired string) {
	for _, n := range sim.nodes {
		n.configure(desired)
	}
}
