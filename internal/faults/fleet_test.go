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

// routers is the size of the fleet, warmUp the time in which they find each
// other.
const (
	routerCount = 4
	warmUpTime  = 2 * time.Second
)

const (
	linkDelay       = time.Millisecond
	storeDelay      = 3 * time.Millisecond
	dialDelay       = time.Millisecond
	firstTokenDelay = 20 * time.Millisecond
	// tokenTime is the time of one unit of cost.
	tokenTime = 5 * time.Millisecond
	// progressInterval is the time between two progress reports.
	progressInterval = 100 * time.Millisecond
	// longCost is that of a request which outlasts exitGrace by far.
	longCost = 2000
	// exitGrace is how long a process that ends lets answers be written.
	exitGrace = 2 * time.Second
	// detectTime is how long a cut connection takes to be noticed.
	detectTime = 200 * time.Millisecond
)

// fleet is a few routers, upstreams and a key-value store on one fake clock.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	queue     events
	serial    int
	nodes     []*node
	upstreams map[string]*fakeUpstream
	store     *fakeStore
	callers   map[core.RequestID]*caller
	// acceptedConfigs are the accepted configurations, in order.
	acceptedConfigs []core.ConfigHead
	// cutPairs holds pairs of node indices that cannot reach each other; domain is a
	// failure domain that reaches nothing outside itself, not the platform either.
	cutPairs  map[[2]int]bool
	cutDomain string
	// observer is told of each effect before it is carried out, and of other steps.
	observer func(n *node, observed any)
	// duplicate, late and lossy act on messages between routers.
	duplicate, late, lossy bool
	// missedMessages means that a router missed messages at some time, lost that some
	// got lost on the way.
	missedMessages, lostMessages bool
	// anyKilled means that a router ended without a drain.
	anyKilled bool
	policy    reducer.Policy
	// lightLoad makes the load's model requests small.
	lightLoad bool
	// served is the service delivered to each organisation.
	served map[string]uint64
	// disable are mechanisms of the routers that are switched off.
	disable reducer.Mechanism
	// violations are the promises that were broken on the way.
	violations []string
	// healedAt is when the last fault is over.
	healedAt time.Time
}

// node is one router; a restart gives it a new state and incarnation.
type node struct {
	index       int
	name        string
	domain      string
	incarnation int
	state       *reducer.State
	id          core.RouterID
	up          bool
	ready       bool
	// closing means that it takes no new connections.
	closing     bool
	pausedUntil time.Time
	// appliedGeneration is the generation in force in this incarnation, highest in any.
	appliedGeneration, maxGeneration uint64
	linked                           map[core.RouterID]bool
	nextTick                         time.Time
	runs                             map[string]*upstreamRun
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

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

// fleetOptions is what a fleet is made of.
type fleetOptions struct {
	seed    uint64
	policy  reducer.Policy
	disable reducer.Mechanism
}

// newFleet starts four routers over two failure domains, with a configuration.
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

// recordViolation notes a broken promise.
func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// faultLasts notes that a fault is over after d.
func (f *fleet) faultLasts(d time.Duration) {
	if at := f.now.Add(d); at.After(f.healedAt) {
		f.healedAt = at
	}
}

// endFaultAfter ends a fault after d.
func (f *fleet) endFaultAfter(d time.Duration, end func()) {
	f.faultLasts(d)
	f.after(d, end)
}

// observe tells of a step that is no effect.
func (f *fleet) observe(n *node, observed any) {
	if f.observer != nil {
		f.observer(n, observed)
	}
}

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

// listChanged marks, for the steps, that the instance list changed.
type listChanged struct{}

// deliverInstances gives a node the instance list, if the platform answers.
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

// listReadable reports whether every router can read the instance list. The time that a
// leaving upstream may still get work runs from then, not from a list that the
// platform keeps to itself.
func (f *fleet) listReadable() bool { return !f.store.down && f.cutDomain == "" }

// publishInstances tells all nodes of a change of the instance list, after its lag.
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

func (f *fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.queue, event{f.now.Add(d), f.serial, do})
}

// runFor lets time pass.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// deliver steps a node with an event and carries out the effects. A paused node
// gets its events when it wakes.
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

// scheduleTick sets the next tick of a node.
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
	case core.Apply:
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

// deliverLater delivers an event to the same incarnation of a node.
func (f *fleet) deliverLater(n *node, d time.Duration, ev core.Event) {
	incarnation := n.incarnation
	f.after(d, func() {
		if n.incarnation == incarnation {
			f.deliver(n, ev)
		}
	})
}

// killNode ends a node at once: its callers lose their connections.
func (f *fleet) killNode(n *node) {
	f.anyKilled = true
	f.stopNode(n)
}

// stopNode ends a node.
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

// exitNode ends a process as the router's Run does: it takes no new connections, lets
// the requests that came before get their answers, and is gone after that.
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
