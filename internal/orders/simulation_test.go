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
	// latency is how long a message takes, storeLimit how long a call waits for its
	// answer.
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
	row           row
	injected      bool
	// storeCalls counts key-value calls.
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
	// nextFault is what becomes of the next effect.
	nextFault effectFault
}

// effectFault is what a fault does to one effect.
type effectFault struct {
	// loseAnswer loses the answer, late delays the message.
	loseAnswer bool
	delay      time.Duration
	// ignoreLatest lets a pause fall between the last look at the clock and the write.
	ignoreLatest bool
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

func (sim *simulation) runAt(t time.Time, f func())        { sim.queue.Add(t, f) }
func (sim *simulation) runAfter(d time.Duration, f func()) { sim.runAt(sim.now.Add(d), f) }

// advance lets time pass.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		next := sim.queue.Next()
		if next.IsZero() || next.After(end) {
			sim.now = end
			return
		}
		if next.After(sim.now) {
			sim.now = next
		}
		if f, ok := sim.queue.Due(sim.now); ok {
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

// configure puts a wanted state in force at a router.
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

// scheduleTick sends the next Tick when the reducer asks for it.
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
	case core.OrdersRead:
		n.sim.runAfter(latency, func() { n.whenAwake(func() { n.readEngine(e) }) })
	default:
		n.sim.storeCalls++
		n.sim.runAfter(latency, func() { n.whenAwake(func() { n.executeCall(e, f) }) })
	}
}

// executeCall carries a key-value call out.
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

// sendOrder puts an order on the wire, as the order client does.
func (n *node) sendOrder(o core.Order, term int, f effectFault) {
	if !f.ignoreLatest && !n.sim.now.Before(o.Latest) {
		n.deliver(core.OrderResult{Op: o.Op, Status: core.OrderNotSent})
		return
	}
	n.sim.runAfter(latency+f.delay, func() {
		status := n.sim.engines[o.Upstream].obey(o, term)
		answerFault := n.sim.injectFault(n, stepAnswered)
		if f.loseAnswer || f.delay > 0 || answerFault.loseAnswer || answerFault.delay > 0 {
			return
		}
		n.deliver(core.OrderResult{Op: o.Op, Status: status})
	})
	if f.loseAnswer || f.delay > 0 || n.sim.row.step == stepAnswered {
		// The reducer ignores it if the answer came before.
		n.sim.runAt(o.Deadline, func() { n.deliver(core.OrderResult{Op: o.Op, Status: core.OrderUnknown}) })
	}
}

func (n *node) readEngine(r core.OrdersRead) {
	result := n.sim.engines[r.Upstream].readResult()
	result.Op = r.Op
	n.sim.runAfter(latency, func() { n.deliver(result) })
}

// failedResult is the result of a call without an answer.
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
	panic(fmt.Sprintf("no key-value call: %T", e))
}

// obeyedOrder is an order that an engine obeyed.
type obeyedOrder struct {
	term   int
	number uint64
	body   string
}

// fakeEngine obeys orders. One that ignores the number does not report it.
type fakeEngine struct {
	sim           *simulation
	checksFencing bool
	highest       uint64
	current       obeyedOrder
	// obeyed holds what each incarnation obeyed.
	obeyed [][]obeyedOrder
}

func (e *fakeEngine) obey(o core.Order, term int) core.OrderStatus {
	if e.checksFencing && o.Number < e.highest {
		return core.OrderFenced
	}
	e.highest = max(e.highest, o.Number)
	e.current = obeyedOrder{term, o.Number, o.Body}
	if len(e.obeyed) == 0 {
		e.obeyed = append(e.obeyed, nil)
	}
	last := len(e.obeyed) - 1
	e.obeyed[last] = append(e.obeyed[last], e.current)
	return core.OrderObeyed
}

func (e *fakeEngine) readResult() core.OrdersSeen {
	result := core.OrdersSeen{Known: true, Body: e.current.body}
	if e.checksFencing {
		result.Number, result.Highest = e.current.number, e.highest
	}
	return result
}

// restart forgets everything.
func (e *fakeEngine) restart() {
	e.highest, e.current = 0, obeyedOrder{}
	e.obeyed = append(e.obeyed, nil)
}
