package faults

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	linkDelay  = time.Millisecond
	storeDelay = 3 * time.Millisecond
	dialDelay  = time.Millisecond
	firstDelay = 20 * time.Millisecond
	// tokenTime is the time of one unit of cost.
	tokenTime = 5 * time.Millisecond
	// reportTime is the time between two progress reports.
	reportTime = 100 * time.Millisecond
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
	conf      core.ConfigHead
	// cut holds pairs of node indices that cannot reach each other.
	cut map[[2]int]bool
	// seen is called with each effect before it is carried out.
	seen func(n *node, e core.Effect)
	// duplicate and late act on messages between routers.
	duplicate, late bool
	policy          reducer.Policy
	// served is the service delivered to each organisation.
	served map[string]uint64
	// cutByExit are requests that a router still held when it ended its drain.
	cutByExit []core.RequestID
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
	paused      time.Time
	linked      map[core.RouterID]bool
	wakeAt      time.Time
	sends       map[string]*run
}

// caller is what one caller was told.
type caller struct {
	arrive    core.Arrive
	node      *node
	committed core.Attempt
	tokens    uint64
	finals    []string
	outcome   core.Outcome
	reason    core.Reason
	at        time.Time
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

// newFleet starts routers over two failure domains, with a configuration.
func newFleet(seed uint64, routers int, conf *config.Config, upstreams []core.Upstream) *fleet {
	return newFleetUnder(reducer.PolicyOwner, seed, routers, conf, upstreams)
}

func newFleetUnder(policy reducer.Policy, seed uint64, routers int, conf *config.Config, upstreams []core.Upstream) *fleet {
	f := &fleet{
		policy:    policy,
		served:    make(map[string]uint64),
		now:       time.Unix(1_700_000_000, 0),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		upstreams: make(map[string]*fakeUpstream),
		callers:   make(map[core.RequestID]*caller),
		cut:       make(map[[2]int]bool),
		conf:      core.ConfigHead{Generation: 1, Digest: "one", Config: conf},
	}
	f.store = &fakeStore{fleet: f, entries: make(map[string]fakeEntry)}
	for _, u := range upstreams {
		f.upstreams[u.ID] = &fakeUpstream{Upstream: u, ran: make(map[string]int)}
	}
	for i := range routers {
		n := &node{index: i, name: fmt.Sprintf("r%d", i), domain: string(rune('a' + i%2))}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	f.run(2 * time.Second)
	return f
}

func (f *fleet) start(n *node) {
	n.incarnation++
	n.id = core.RouterID(fmt.Sprintf("%s.%d", n.name, n.incarnation))
	n.up, n.ready = true, false
	n.linked = make(map[core.RouterID]bool)
	n.sends = make(map[string]*run)
	n.wakeAt = time.Time{}
	var seeds []string
	for _, other := range f.nodes {
		if other != n {
			seeds = append(seeds, addrOf(other))
		}
	}
	n.state = reducer.New(reducer.Options{
		Self:  core.Peer{ID: n.id, Name: n.name, Domain: n.domain, PeerAddr: addrOf(n)},
		Seeds: seeds, Seed: f.rng.Uint64(), Policy: f.policy, Routers: len(f.nodes),
	})
	f.deliver(n, core.Tick{})
	f.list(n)
	f.fetch(n)
}

func addrOf(n *node) string { return fmt.Sprintf("127.0.0.1:%d", 8200+n.index) }

// list gives a node the instance list.
func (f *fleet) list(n *node) {
	var ev core.Instances
	for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
		ev.Upstreams = append(ev.Upstreams, f.upstreams[id].Upstream)
	}
	f.deliver(n, ev)
}

func (f *fleet) fetch(n *node) {
	if f.store.down {
		return
	}
	head, inc := f.conf, n.incarnation
	f.after(storeDelay, func() {
		if n.incarnation == inc {
			f.deliver(n, head)
		}
	})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.queue, event{f.now.Add(d), f.serial, do})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
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
	if n.paused.After(f.now) {
		inc := n.incarnation
		f.after(n.paused.Sub(f.now), func() {
			if n.incarnation == inc {
				f.deliver(n, ev)
			}
		})
		return
	}
	for _, e := range n.state.Step(f.now, ev) {
		if f.seen != nil {
			f.seen(n, e)
		}
		if n.up {
			f.carryOut(n, e)
		}
	}
	f.schedule(n)
}

// schedule sets the next tick of a node.
func (f *fleet) schedule(n *node) {
	wake := n.state.Wake()
	if !n.up || wake.IsZero() {
		return
	}
	if wake.Before(f.now.Add(time.Millisecond)) {
		wake = f.now.Add(time.Millisecond)
	}
	if n.wakeAt.After(f.now) && !n.wakeAt.After(wake) {
		return
	}
	n.wakeAt = wake
	inc := n.incarnation
	f.after(wake.Sub(f.now), func() {
		if n.incarnation == inc {
			f.deliver(n, core.Tick{})
		}
	})
}

func (f *fleet) carryOut(n *node, e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		f.dial(n, e.Addr)
	case core.SendPeer:
		f.message(n, e)
	case core.Send:
		f.send(n, e)
	case core.Commit:
		f.commit(n, e)
	case core.Cancel:
		f.cancelRun(n, e.Request, e.Attempt)
	case core.Refuse:
		f.final(e.Request, "refused", e.Outcome, e.Reason)
	case core.Replay:
		f.final(e.Request, "replayed", core.Complete, "")
	case core.Abort:
		f.final(e.Request, "aborted", e.Outcome, e.Reason)
	case core.KVGet, core.KVCAS, core.KVDelete:
		f.store.call(n, e)
	case core.FetchConfig:
		f.fetch(n)
	case core.Probe:
		alive := f.upstreams[e.Upstream].alive(f.now)
		f.later(n, dialDelay, core.Probed{Probe: e, Alive: alive})
	case core.Ready:
		n.ready = e.Ready
	case core.Exit:
		f.cutByExit = append(f.cutByExit, f.pending(n)...)
		f.kill(n)
	}
}

// later delivers an event to the same incarnation of a node.
func (f *fleet) later(n *node, d time.Duration, ev core.Event) {
	inc := n.incarnation
	f.after(d, func() {
		if n.incarnation == inc {
			f.deliver(n, ev)
		}
	})
}

func (f *fleet) final(id core.RequestID, kind string, outcome core.Outcome, reason core.Reason) {
	c := f.callers[id]
	c.finals = append(c.finals, kind)
	c.outcome, c.reason, c.at = outcome, reason, f.now
}

// arrive gives a request to a node.
func (f *fleet) arrive(n *node, ev core.Arrive) {
	f.serial++
	ev.Request = core.RequestID(fmt.Sprintf("%s-%d", n.id, f.serial))
	f.callers[ev.Request] = &caller{arrive: ev, node: n}
	switch {
	case !n.up:
		f.callers[ev.Request].finals = []string{"no connection"}
	case !n.ready && n.state.Status().Generation == 0:
		f.final(ev.Request, "refused", core.NotRun, core.ReasonNotReady)
	default:
		f.deliver(n, ev)
	}
}

// pending lists the requests that wait for their end at a node.
func (f *fleet) pending(n *node) []core.RequestID {
	var out []core.RequestID
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		if c := f.callers[id]; c.node == n && len(c.finals) == 0 {
			out = append(out, id)
		}
	}
	return out
}

// kill ends a node at once: its callers lose their connections.
func (f *fleet) kill(n *node) {
	n.up = false
	n.incarnation++
	for _, id := range f.pending(n) {
		f.callers[id].finals = []string{"connection lost"}
	}
	for _, r := range n.sends {
		r.orphan = true
	}
	gone := n.id
	for _, other := range f.nodes {
		if other.up && other.linked[gone] {
			delete(other.linked, gone)
			f.later(other, detectTime, core.PeerDown{Peer: gone})
		}
	}
}

func (f *fleet) restart(n *node) {
	if !n.up {
		f.start(n)
	}
}

func member(n *node) *wire.Member {
	return &wire.Member{Id: string(n.id), Name: n.name, Domain: n.domain, PeerAddr: addrOf(n)}
}

func (f *fleet) dial(n *node, addr string) {
	for _, other := range f.nodes {
		if addrOf(other) != addr {
			continue
		}
		f.after(2*linkDelay, func() {
			if !n.up {
				return
			}
			if !other.up || f.parted(n, other) {
				f.deliver(n, core.DialFailed{Addr: addr})
				return
			}
			f.link(n, other)
		})
	}
}

func (f *fleet) link(a, b *node) {
	if a.linked[b.id] && b.linked[a.id] {
		return
	}
	a.linked[b.id], b.linked[a.id] = true, true
	f.deliver(a, core.PeerUp{Member: member(b)})
	f.deliver(b, core.PeerUp{Member: member(a)})
}

func pair(a, b *node) [2]int { return [2]int{min(a.index, b.index), max(a.index, b.index)} }

func (f *fleet) parted(a, b *node) bool { return f.cut[pair(a, b)] }

// part cuts a node off from all others; rejoin mends it.
func (f *fleet) part(n *node) {
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		f.cut[pair(n, other)] = true
		if n.linked[other.id] {
			delete(n.linked, other.id)
			delete(other.linked, n.id)
			f.later(n, detectTime, core.PeerDown{Peer: other.id})
			f.later(other, detectTime, core.PeerDown{Peer: n.id})
		}
	}
}

func (f *fleet) rejoin(n *node) {
	for _, other := range f.nodes {
		delete(f.cut, pair(n, other))
	}
}

// message carries a message between routers over their connection.
func (f *fleet) message(from *node, e core.SendPeer) {
	for _, to := range f.nodes {
		if to.id != e.To || !from.linked[to.id] {
			continue
		}
		delay, inc := linkDelay, to.incarnation
		if f.late {
			delay += time.Duration(f.rng.IntN(50)) * time.Millisecond
		}
		copies := 1
		if f.duplicate {
			copies = 2
		}
		for range copies {
			f.after(delay, func() {
				if to.incarnation == inc && to.linked[from.id] {
					f.deliver(to, core.PeerMessage{From: from.id, Message: e.Message})
				}
			})
		}
	}
}
