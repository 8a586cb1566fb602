package orders

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

const (
	testDomain = "ga-east-a"
	// latency is how long a message takes. storeTimeout is how long a key-value
	// call waits for its answer.
	latency      = 5 * time.Millisecond
	storeTimeout = 2 * time.Second
)

// simulation runs the routers of a failure domain, the key-value service and the
// engines on a fake clock.
type simulation struct {
	now           time.Time
	queue         timers.Queue[func()]
	store         *fakeStore
	engines       map[string]*fakeEngine
	nodes         []*node
	checksFencing bool
	mutations     mutations
	// row is the fault to inject and the step at which to inject it.
	row      row
	injected bool
	// storeCalls counts the key-value calls of all routers.
	storeCalls int
}

// node is one incarnation of a router with its runtime.
type node struct {
	sim              *simulation
	state            *State
	desired          string
	candidate        bool
	pausedUntil      time.Time
	partitionedUntil time.Time
	dead             bool
	tickAt           time.Time
	// nextFault is applied to the next effect.
	nextFault effectFault
}

// effectFault says how one effect is disturbed.
type effectFault struct {
	// loseAnswer drops the answer, delay holds up the message.
	loseAnswer bool
	delay      time.Duration
	// ignoreSendBefore sends an order even if its SendBefore has passed, as when the
	// router is paused between the check of the clock and the write.
	ignoreSendBefore bool
}

func newSimulation(r row, checksFencing bool, leaseDuration time.Duration, m mutations) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}, checksFencing: checksFencing, mutations: m, row: r}
	sim.store = newFakeStore(sim, leaseDuration)
	for _, id := range []string{"e0", "e1"} {
		sim.engines[id] = &fakeEngine{sim: sim, checksFencing: checksFencing}
	}
	sim.addNode("r0.1").configure("A")
	sim.addNode("r1.1").configure("A")
	sim.nodes[0].setCandidate(true)
	return sim
}

// runAt and runAfter schedule f on the simulated clock.
func (sim *simulation) runAt(t time.Time, f func())        { sim.queue.Add(t, f) }
func (sim *simulation) runAfter(d time.Duration, f func()) { sim.runAt(sim.now.Add(d), f) }

// advance moves the clock forward and runs what is scheduled until then.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		next := sim.queue.NextDue()
		if next.IsZero() || next.After(end) {
			sim.now = end
			return
		}
		if next.After(sim.now) {
			sim.now = next
		}
		if f, ok := sim.queue.PopDue(sim.now); ok {
			f()
		}
	}
}

func (sim *simulation) addNode(id core.RouterID) *node {
	n := &node{sim: sim, state: New(id, testDomain)}
	n.state.mutations = sim.mutations
	sim.nodes = append(sim.nodes, n)
	return n
}

// configure applies a configuration to a router in which desired is the model to
// load.
func (n *node) configure(desired string) {
	sv := config.ModelService("assistant", "m").Loading(desired)
	sv.ChecksFencing = n.sim.checksFencing
	n.desired = desired
	n.runReducer(func(now time.Time) []core.Effect {
		return n.state.Configure(now, &config.Config{Services: []config.Service{sv}})
	})
}

func (n *node) setCandidate(candidate bool) {
	n.candidate = candidate
	upstreams := []core.Upstream{
		{ID: "e0", Service: "assistant", Addr: "e0", Domain: testDomain},
		{ID: "e1", Service: "assistant", Addr: "e1", Domain: testDomain},
		{ID: "far", Service: "assistant", Addr: "far", Domain: "ga-east-b"},
	}
	n.runReducer(func(now time.Time) []core.Effect { return n.state.SetView(now, candidate, upstreams) })
}

// deliver delivers an event to the reducer.
func (n *node) deliver(ev core.Event) {
	n.runReducer(func(now time.Time) []core.Effect { return n.state.Step(now, ev) })
}

// whenAwake runs f now, or at the end of a pause, or never if the router is dead.
func (n *node) whenAwake(f func()) {
	switch {
	case n.dead:
	case n.sim.now.Before(n.pausedUntil):
		n.sim.runAt(n.pausedUntil, func() { n.whenAwake(f) })
	default:
		f()
	}
}

func (n *node) runReducer(f func(time.Time) []core.Effect) {
	n.whenAwake(func() {
		for _, e := range f(n.sim.now) {
			n.execute(e)
		}
		n.scheduleTick()
	})
}

// scheduleTick schedules the Tick that the reducer asks for next.
func (n *node) scheduleTick() {
	wake := n.state.Wake()
	if wake.IsZero() || !n.tickAt.IsZero() && !n.tickAt.After(wake) {
		return
	}
	n.tickAt = wake
	n.sim.runAt(wake, func() {
		n.tickAt = time.Time{}
		n.deliver(core.Tick{})
	})
}

func (n *node) execute(e core.Effect) {
	f := n.sim.injectFault(n, stepOf(n, e))
	if n.nextFault != (effectFault{}) {
		f, n.nextFault = n.nextFault, effectFault{}
	}
	switch e := e.(type) {
	case core.Order:
		term := n.sim.store.terms[n.state.lease.id]
		n.sim.runAfter(latency, func() { n.whenAwake(func() { n.sendOrder(e, term, f) }) })
	case core.OrderQuery:
		n.sim.runAfter(latency, func() { n.whenAwake(func() { n.readEngine(e) }) })
	default:
		n.sim.storeCalls++
		n.sim.runAfter(latency, func() { n.whenAwake(func() { n.executeCall(e, f) }) })
	}
}

// executeCall carries out a key-value call as far as the fault lets it.
func (n *node) executeCall(e core.Effect, f effectFault) {
	if n.sim.now.Before(n.partitionedUntil) || n.sim.now.Before(n.sim.store.downUntil) {
		n.sim.runAfter(latency, func() { n.deliver(failedResult(e, core.KVUnavailable)) })
		return
	}
	if f.delay == 0 {
		result := n.sim.store.execute(e)
		if !f.loseAnswer {
			n.sim.runAfter(latency, func() { n.deliver(result) })
			return
		}
	} else {
		n.sim.runAfter(f.delay, func() { n.sim.store.execute(e) })
	}
	n.sim.runAfter(storeTimeout, func() { n.deliver(failedResult(e, core.KVUnknown)) })
}

// sendOrder sends an order to its engine, as the order client does.
func (n *node) sendOrder(o core.Order, term int, f effectFault) {
	if !f.ignoreSendBefore && !n.sim.now.Before(o.SendBefore) {
		n.deliver(core.OrderResult{Op: o.Op, Status: core.OrderNotSent})
		return
	}
	n.sim.runAfter(latency+f.delay, func() {
		status := n.sim.engines[o.Upstream].apply(o, term)
		answerFault := n.sim.injectFault(n, stepOrderResult)
		if f.loseAnswer || f.delay > 0 || answerFault.loseAnswer || answerFault.delay > 0 {
			return
		}
		n.deliver(core.OrderResult{Op: o.Op, Status: status})
	})
	if f.loseAnswer || f.delay > 0 || n.sim.row.step == stepOrderResult {
		// The reducer ignores this result if the answer came before it.
		n.sim.runAt(o.Deadline, func() { n.deliver(core.OrderResult{Op: o.Op, Status: core.OrderUnknown}) })
	}
}

func (n *node) readEngine(r core.OrderQuery) {
	result := n.sim.engines[r.Upstream].readResult()
	result.Op = r.Op
	n.sim.runAfter(latency, func() { n.deliver(result) })
}

// failedResult returns the result of a key-value call that got no answer.
func failedResult(e core.Effect, status core.KVStatus) core.Event {
	switch e := e.(type) {
	case core.KVGet:
		return core.KVResult{Op: e.Op, Status: status}
	case core.KVCAS:
		return core.KVResult{Op: e.Op, Status: status}
	case core.LeaseGrant:
		return core.LeaseResult{Op: e.Op, Status: status}
	case core.LeaseAcquire:
		return core.LeaseResult{Op: e.Op, Status: status}
	case core.LeaseRenew:
		return core.LeaseResult{Op: e.Op, Status: status}
	case core.LeaseRevoke:
		return core.LeaseResult{Op: e.Op, Status: status}
	}
	panic(fmt.Sprintf("not a key-value call: %T", e))
}

// appliedOrder is an order that an engine applied; term is the holder's, as
// numbered by fakeStore.terms.
type appliedOrder struct {
	term  int
	token uint64
	body  string
}

// fakeEngine applies orders. An engine that ignores fencing tokens does not report
// them either.
type fakeEngine struct {
	sim           *simulation
	checksFencing bool
	highest       uint64
	current       appliedOrder
	// applied holds the orders that each incarnation of the engine applied.
	applied [][]appliedOrder
}

func (e *fakeEngine) apply(o core.Order, term int) core.OrderStatus {
	if e.checksFencing && o.FencingToken < e.highest {
		return core.OrderFenced
	}
	e.highest = max(e.highest, o.FencingToken)
	e.current = appliedOrder{term, o.FencingToken, o.Body}
	if len(e.applied) == 0 {
		e.applied = append(e.applied, nil)
	}
	last := len(e.applied) - 1
	e.applied[last] = append(e.applied[last], e.current)
	return core.OrderApplied
}

func (e *fakeEngine) readResult() core.OrderQueryResult {
	result := core.OrderQueryResult{Known: true, Body: e.current.body}
	if e.checksFencing {
		result.FencingToken, result.HighestToken = e.current.token, e.highest
	}
	return result
}

// restart starts a new incarnation of the engine, without state.
func (e *fakeEngine) restart() {
	e.highest, e.current = 0, appliedOrder{}
	e.applied = append(e.applied, nil)
}
