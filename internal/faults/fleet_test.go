package faults

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/store"
)

// routerCount is the number of routers, warmUpTime the time in which they discover
// each other before a test begins.
const (
	routerCount = 4
	warmUpTime  = 2 * time.Second
)

const (
	linkDelay       = time.Millisecond
	storeDelay      = 3 * time.Millisecond
	dialDelay       = time.Millisecond
	firstTokenDelay = 20 * time.Millisecond
	// tokenTime is the service time per unit of cost.
	tokenTime = 5 * time.Millisecond
	// progressInterval is the time between two progress reports.
	progressInterval = 100 * time.Millisecond
	// longCost is the cost of a request that runs much longer than exitGrace.
	longCost = 2000
	// exitGrace is the time that an exiting process has to finish writing answers.
	exitGrace = 2 * time.Second
	// detectTime is the time until a router notices a broken connection.
	detectTime = 200 * time.Millisecond
)

// fleet simulates a few routers, upstreams and a key-value store on one fake clock.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	queue     events
	serial    int
	nodes     []*node
	upstreams map[string]*fakeUpstream
	store     *fakeStore
	callers   map[core.RequestID]*caller
	// acceptedConfigs holds the accepted configurations, oldest first.
	acceptedConfigs []core.ConfigHead
	// cutPairs holds pairs of node indices that cannot reach each other. cutDomain
	// is a failure domain that is partitioned from all others and the platform, or
	// empty.
	cutPairs  map[[2]int]bool
	cutDomain string
	// observer is called with each effect before it is executed, and with the
	// events listChanged and configAccepted.
	observer func(n *node, observed any)
	// duplicate, late and lossy make messages between routers arrive twice, with a
	// random delay and thus reordered, or not at all.
	duplicate, late, lossy bool
	// missedMessages is set once a router may have missed messages for any reason,
	// lostMessages once messages may have been lost in transit.
	missedMessages, lostMessages bool
	// anyKilled is set once a router was killed.
	anyKilled bool
	policy    reducer.Policy
	// lightLoad makes the model requests of the load small and doubles their number.
	lightLoad bool
	// served is the cost served to each organisation.
	served map[string]uint64
	// disable is the set of safeguards that are disabled in the routers.
	disable reducer.Safeguard
	// violations lists the guarantees that were broken.
	violations []string
	// healedAt is the time at which the last fault ends.
	healedAt time.Time
}

// node is one router. A restart gives it a new state and incarnation.
type node struct {
	index       int
	name        string
	domain      string
	incarnation int
	state       *reducer.State
	id          core.RouterID
	up          bool
	ready       bool
	// closing means that the router accepts no new connections.
	closing     bool
	pausedUntil time.Time
	// appliedGeneration is the configuration generation that this incarnation
	// applied last, maxGeneration the highest that any incarnation applied.
	appliedGeneration, maxGeneration uint64
	linked                           map[core.RouterID]bool
	nextTick                         time.Time
	runs                             map[string]*upstreamRun
}

// event is a function to call at a time; events at the same time run in the order
// in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	do     func()
}

// events is a heap of events in the order in which they run.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleetOptions configures a fleet.
type fleetOptions struct {
	seed    uint64
	policy  reducer.Policy
	disable reducer.Safeguard
}

// newFleet starts four routers in two failure domains with an accepted
// configuration and runs them for warmUpTime.
func newFleet(o fleetOptions) *fleet {
	f := &fleet{
		policy:    o.policy,
		disable:   o.disable,
		served:    make(map[string]uint64),
		now:       time.Unix(1_700_000_000, 0),
		rng:       rand.New(rand.NewPCG(o.seed, 1)),
		upstreams: make(map[string]*fakeUpstream),
		callers:   make(map[core.RequestID]*caller),
		cutPairs:  make(map[[2]int]bool),
	}
	f.store = &fakeStore{fleet: f, entries: make(map[string]store.Entry)}
	if err := f.submit(&operator{store: f.store}, testConfig(), 0, "submission-0"); err != nil {
		panic(err)
	}
	for _, u := range testUpstreams() {
		f.upstreams[u.ID] = &fakeUpstream{Upstream: u, runCounts: make(map[string]int)}
	}
	for i := range routerCount {
		n := &node{index: i, name: fmt.Sprintf("r%d", i), domain: string(rune('a' + i%2))}
		f.nodes = append(f.nodes, n)
		f.startNode(n)
	}
	f.runFor(warmUpTime)
	return f
}

// recordViolation records that a guarantee was broken.
func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// faultLasts extends healedAt for a fault that ends after d.
func (f *fleet) faultLasts(d time.Duration) {
	if at := f.now.Add(d); at.After(f.healedAt) {
		f.healedAt = at
	}
}

// endFaultAfter calls end after d to end a fault, and extends healedAt.
func (f *fleet) endFaultAfter(d time.Duration, end func()) {
	f.faultLasts(d)
	f.after(d, end)
}

// observe passes an effect or another event to the observer.
func (f *fleet) observe(n *node, observed any) {
	if f.observer != nil {
		f.observer(n, observed)
	}
}

// startNode starts a node without state under a new incarnation.
func (f *fleet) startNode(n *node) {
	n.incarnation++
	n.id = core.RouterID(fmt.Sprintf("%s.%d", n.name, n.incarnation))
	n.up, n.ready, n.closing, n.appliedGeneration, n.pausedUntil = true, false, false, 0, time.Time{}
	n.linked = make(map[core.RouterID]bool)
	n.runs = make(map[string]*upstreamRun)
	n.nextTick = time.Time{}
	var seeds []string
	for _, other := range f.nodes {
		if other != n {
			seeds = append(seeds, addrOf(other))
		}
	}
	n.state = reducer.New(reducer.Options{
		Self:  core.Peer{ID: n.id, Name: n.name, Domain: n.domain, PeerAddr: addrOf(n)},
		Seeds: seeds, Seed: f.rng.Uint64(), Policy: f.policy, Routers: routerCount, Disable: f.disable,
	})
	f.deliver(n, core.Tick{})
	f.deliverInstances(n)
	f.deliverConfig(n)
}

func addrOf(n *node) string { return fmt.Sprintf("127.0.0.1:%d", 8200+n.index) }

// listChanged is the event that the instance list has changed.
type listChanged struct{}

// deliverInstances delivers the instance list to a node that can reach the
// platform.
func (f *fleet) deliverInstances(n *node) {
	if f.store.down || f.cutFromPlatform(n) {
		return
	}
	var ev core.Instances
	for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
		ev.Upstreams = append(ev.Upstreams, f.upstreams[id].Upstream)
	}
	f.deliver(n, ev)
}

// listReadable reports whether every router can read the instance list. The grace
// time in which a leaving upstream may still get work doesn't start before that.
func (f *fleet) listReadable() bool { return !f.store.down && f.cutDomain == "" }

// publishInstances delivers a changed instance list to all nodes after its lag.
func (f *fleet) publishInstances(lag time.Duration) {
	f.after(lag, func() {
		f.observe(f.nodes[0], listChanged{})
		for _, u := range f.upstreams {
			if u.State == core.UpstreamLeaving && f.listReadable() {
				u.noteLeaving(f.now)
			}
		}
		for _, n := range f.nodes {
			f.deliverInstances(n)
		}
	})
}

// after calls do after d.
func (f *fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.queue, event{f.now.Add(d), f.serial, do})
}

// runFor advances the clock by d and runs all events that are due.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// deliver steps a node with an event and executes the resulting effects. Events
// for a paused node are delivered at the end of its pause.
func (f *fleet) deliver(n *node, ev core.Event) {
	if !n.up {
		return
	}
	if n.pausedUntil.After(f.now) {
		incarnation := n.incarnation
		f.after(n.pausedUntil.Sub(f.now), func() {
			if n.incarnation == incarnation {
				f.deliver(n, ev)
			}
		})
		return
	}
	for _, e := range n.state.Step(f.now, ev) {
		f.observe(n, e)
		if n.up {
			f.execute(n, e)
		}
	}
	f.scheduleTick(n)
}

// scheduleTick schedules the tick that a node's reducer asked for, at least a
// millisecond ahead and unless an earlier one is pending.
func (f *fleet) scheduleTick(n *node) {
	wake := n.state.Wake()
	if !n.up || wake.IsZero() {
		return
	}
	if wake.Before(f.now.Add(time.Millisecond)) {
		wake = f.now.Add(time.Millisecond)
	}
	if n.nextTick.After(f.now) && !n.nextTick.After(wake) {
		return
	}
	n.nextTick = wake
	incarnation := n.incarnation
	f.after(wake.Sub(f.now), func() {
		if n.incarnation == incarnation {
			f.deliver(n, core.Tick{})
		}
	})
}

// execute executes an effect of a node's reducer.
func (f *fleet) execute(n *node, e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		f.dial(n, e.Addr)
	case core.SendPeer:
		f.sendMessage(n, e)
	case core.Send:
		f.sendRequest(n, e)
	case core.Commit:
		f.startAnswer(n, e)
	case core.Cancel:
		f.cancelRun(n, e.Request, e.Attempt)
	case core.Refuse:
		f.recordFinal(e.Request, "refused", e.Outcome, e.Reason)
	case core.Replay:
		f.recordFinal(e.Request, "replayed", core.Complete, "")
	case core.Abort:
		f.recordFinal(e.Request, "aborted", e.Outcome, e.Reason)
	case core.KVGet, core.KVCAS, core.KVDelete:
		f.store.call(n, e)
	case core.FetchConfig:
		f.deliverConfig(n)
	case core.DecodeConfig:
		f.decodeConfig(n, e)
	case core.ApplyConfig:
		f.checkApplied(n, e.Generation)
	case core.Probe:
		u := f.upstreams[e.Upstream]
		f.deliverLater(n, dialDelay, core.Probed{Probe: e, Alive: u.alive(f.now) && f.reaches(n, u)})
	case core.Ready:
		n.ready = e.Ready
	case core.Exit:
		f.exitNode(n)
		f.endFaultAfter(faultTime, func() { f.restartNode(n) })
	}
}

// deliverLater delivers an event after d unless the node has restarted by then.
func (f *fleet) deliverLater(n *node, d time.Duration, ev core.Event) {
	incarnation := n.incarnation
	f.after(d, func() {
		if n.incarnation == incarnation {
			f.deliver(n, ev)
		}
	})
}

// killNode stops a node without a drain; its callers lose their connections.
func (f *fleet) killNode(n *node) {
	f.anyKilled = true
	f.stopNode(n)
}

// stopNode stops a node. Its pending requests end with a lost connection, and its
// peers notice after detectTime.
func (f *fleet) stopNode(n *node) {
	f.missedMessages = true
	n.up = false
	n.incarnation++
	for _, id := range f.pending(n) {
		f.callers[id].finals = []string{"connection lost"}
	}
	for _, r := range n.runs {
		r.orphaned = true
	}
	gone := n.id
	for _, other := range f.nodes {
		if other.up && other.linked[gone] {
			delete(other.linked, gone)
			f.deliverLater(other, detectTime, core.PeerDown{Peer: gone})
		}
	}
}

// exitNode ends a process as the router's Run does: it accepts no new connections,
// leaves pending requests exitGrace to finish, and stops. Requests that are still
// pending then violate the guarantee of a drain.
func (f *fleet) exitNode(n *node) {
	n.closing = true
	incarnation := n.incarnation
	f.after(exitGrace, func() {
		if n.incarnation != incarnation {
			return
		}
		for _, id := range f.pending(n) {
			f.recordViolation("%s was cut by the end of a drain", id)
		}
		f.stopNode(n)
	})
}

func (f *fleet) restartNode(n *node) {
	if !n.up {
		f.startNode(n)
	}
}
