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
	// delay is how long a message takes, storeLimit how long a call waits for its
	// answer.
	delay      = 5 * time.Millisecond
	storeLimit = 2 * time.Second
)

// world runs the routers of a failure domain, the key-value service and the
// engines on a fake clock.
type world struct {
	now     time.Time
	queue   timers.Queue[func()]
	store   *fakeStore
	engines map[string]*fakeEngine
	nodes   []*node
	checks  bool
	faults  faults
	row     row
	fired   bool
	// calls counts key-value calls.
	calls int
}

// node is one incarnation of a router with its runtime.
type node struct {
	w           *world
	state       *State
	wanted      string
	candidate   bool
	pausedUntil time.Time
	cutUntil    time.Time
	dead        bool
	tickAt      time.Time
	// pending is what becomes of the next effect.
	pending treatment
}

// treatment is what a fault does to one effect.
type treatment struct {
	// lose loses the answer, late delays the message.
	lose bool
	late time.Duration
	// checked lets a pause fall between the last look at the clock and the write.
	checked bool
}

func newWorld(r row, checks bool, stretch time.Duration, f faults) *world {
	w := &world{now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}, checks: checks, faults: f, row: r}
	w.store = newFakeStore(w, stretch)
	for _, id := range []string{"e0", "e1"} {
		w.engines[id] = &fakeEngine{w: w, checks: checks}
	}
	w.addNode("r0.1").configure("A")
	w.addNode("r1.1").configure("A")
	w.nodes[0].setCandidate(true)
	return w
}

func (w *world) at(t time.Time, f func())        { w.queue.Add(t, f) }
func (w *world) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := w.queue.Next()
		if next.IsZero() || next.After(end) {
			w.now = end
			return
		}
		if next.After(w.now) {
			w.now = next
		}
		if f, ok := w.queue.Due(w.now); ok {
			f()
		}
	}
}

func (w *world) addNode(id core.RouterID) *node {
	n := &node{w: w, state: New(id, testDomain)}
	n.state.faults = w.faults
	w.nodes = append(w.nodes, n)
	return n
}

// configure puts a wanted state in force at a router.
func (n *node) configure(wanted string) {
	sv := config.ModelService("assistant", "m").Loading(wanted)
	sv.ChecksFencing = n.w.checks
	n.wanted = wanted
	n.step(func(now time.Time) []core.Effect {
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
	n.step(func(now time.Time) []core.Effect { return n.state.SetView(now, candidate, upstreams) })
}

// post delivers an event to the reducer.
func (n *node) post(ev core.Event) {
	n.step(func(now time.Time) []core.Effect { return n.state.Step(now, ev) })
}

// awake runs f now, or at the end of a pause, or never if the router is dead.
func (n *node) awake(f func()) {
	switch {
	case n.dead:
	case n.w.now.Before(n.pausedUntil):
		n.w.at(n.pausedUntil, func() { n.awake(f) })
	default:
		f()
	}
}

func (n *node) step(f func(time.Time) []core.Effect) {
	n.awake(func() {
		for _, e := range f(n.w.now) {
			n.carryOut(e)
		}
		n.schedule()
	})
}

// schedule sends the next Tick when the reducer asks for it.
func (n *node) schedule() {
	wake := n.state.Wake()
	if wake.IsZero() || !n.tickAt.IsZero() && !n.tickAt.After(wake) {
		return
	}
	n.tickAt = wake
	n.w.at(wake, func() {
		n.tickAt = time.Time{}
		n.post(core.Tick{})
	})
}

func (n *node) carryOut(e core.Effect) {
	treat := n.w.strike(n, stepOf(n, e))
	if n.pending != (treatment{}) {
		treat, n.pending = n.pending, treatment{}
	}
	switch e := e.(type) {
	case core.Order:
		term := n.w.store.terms[n.state.lease.id]
		n.w.after(delay, func() { n.awake(func() { n.write(e, term, treat) }) })
	case core.OrdersRead:
		n.w.after(delay, func() { n.awake(func() { n.read(e) }) })
	default:
		n.w.calls++
		n.w.after(delay, func() { n.awake(func() { n.call(e, treat) }) })
	}
}

// call carries a key-value call out.
func (n *node) call(e core.Effect, t treatment) {
	if n.w.now.Before(n.cutUntil) || n.w.now.Before(n.w.store.downUntil) {
		n.w.after(delay, func() { n.post(failed(e, core.KVUnavailable)) })
		return
	}
	if t.late == 0 {
		result := n.w.store.apply(e)
		if !t.lose {
			n.w.after(delay, func() { n.post(result) })
			return
		}
	} else {
		n.w.after(t.late, func() { n.w.store.apply(e) })
	}
	n.w.after(storeLimit, func() { n.post(failed(e, core.KVUnknown)) })
}

// write puts an order on the wire, as the order client does.
func (n *node) write(o core.Order, term int, t treatment) {
	if !t.checked && !n.w.now.Before(o.Latest) {
		n.post(core.OrderResult{Op: o.Op, Status: core.OrderNotSent})
		return
	}
	n.w.after(delay+t.late, func() {
		status := n.w.engines[o.Upstream].obey(o, term)
		treat := n.w.strike(n, stepAnswered)
		if t.lose || t.late > 0 || treat.lose || treat.late > 0 {
			return
		}
		n.post(core.OrderResult{Op: o.Op, Status: status})
	})
	if t.lose || t.late > 0 || n.w.row.step == stepAnswered {
		// The reducer ignores it if the answer came before.
		n.w.at(o.Deadline, func() { n.post(core.OrderResult{Op: o.Op, Status: core.OrderUnknown}) })
	}
}

func (n *node) read(r core.OrdersRead) {
	seen := n.w.engines[r.Upstream].seen()
	seen.Op = r.Op
	n.w.after(delay, func() { n.post(seen) })
}

// failed is the result of a call without an answer.
func failed(e core.Effect, status core.KVStatus) core.Event {
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

// given is an order that an engine obeyed.
type given struct {
	term   int
	number uint64
	body   string
}

// fakeEngine obeys orders. One that ignores the number does not report it.
type fakeEngine struct {
	w       *world
	checks  bool
	highest uint64
	have    given
	// logs holds what each incarnation obeyed.
	logs [][]given
}

func (e *fakeEngine) obey(o core.Order, term int) core.OrderStatus {
	if e.checks && o.Number < e.highest {
		return core.OrderFenced
	}
	e.highest = max(e.highest, o.Number)
	e.have = given{term, o.Number, o.Body}
	if len(e.logs) == 0 {
		e.logs = append(e.logs, nil)
	}
	last := len(e.logs) - 1
	e.logs[last] = append(e.logs[last], e.have)
	return core.OrderObeyed
}

func (e *fakeEngine) seen() core.OrdersSeen {
	seen := core.OrdersSeen{Known: true, Body: e.have.body}
	if e.checks {
		seen.Number, seen.Highest = e.have.number, e.highest
	}
	return seen
}

// restart forgets everything.
func (e *fakeEngine) restart() {
	e.highest, e.have = 0, given{}
	e.logs = append(e.logs, nil)
}
