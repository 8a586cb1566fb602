package claims

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// simulation runs several routers on a store that loses answers and applies
// writes late, with messages that get lost, duplicated and delayed. It panics if
// an invariant is violated.
type simulation struct {
	// draw makes the random choices: it returns a number from 0 to n-1.
	draw         func(n int) int
	mutations    mutations
	now          time.Time
	nodes        []*node
	store        fakeStore
	calls        []*kvCall
	messages     []peerMessage
	incarnations int
	requests     int
	// executed holds, by key, the answers of the operations that ran.
	executed map[string][]byte
	decided  map[core.RequestID]Decision
	// undecided holds the requests without a decision; granted holds the requests
	// that may be sent or were sent and have not ended.
	undecided map[core.RequestID]*node
	granted   []grantedRequest
	// proceeds and replays count the decisions of these kinds.
	proceeds int
	replays  int
}

// node is one incarnation of a router.
type node struct {
	id    core.RouterID
	state *State
	dead  bool
}

// kvCall is a key-value call in flight.
type kvCall struct {
	from   *node
	effect core.Effect
	// timedOut means that the router has already received KVUnknown for the call;
	// the call may still take effect.
	timedOut bool
}

// peerMessage is a message between routers in flight.
type peerMessage struct {
	from, to core.RouterID
	message  *wire.Envelope
}

// grantedRequest is a request that was granted and has not ended.
type grantedRequest struct {
	node            *node
	request         core.RequestID
	key             string
	sent            bool
	reachedUpstream bool
}

func newSimulation(routers int, m mutations, draw func(n int) int) *simulation {
	sim := &simulation{
		draw: draw, mutations: m, now: time.Unix(1000, 0), store: fakeStore{entries: map[string]entry{}},
		executed: map[string][]byte{}, decided: map[core.RequestID]Decision{}, undecided: map[core.RequestID]*node{},
	}
	for i := range routers {
		sim.nodes = append(sim.nodes, sim.startNode(i))
	}
	return sim
}

// startNode starts a new incarnation of router i, without state.
func (sim *simulation) startNode(i int) *node {
	sim.incarnations++
	id := core.RouterID(fmt.Sprintf("r%d.%d", i, sim.incarnations))
	n := &node{id: id, state: New(id)}
	n.state.mutations = sim.mutations
	return n
}

// operation returns the RequestArrived event of request r for operation number op
// with body number body.
func operation(r core.RequestID, op, body int) core.RequestArrived {
	return core.RequestArrived{
		Request: r, Organisation: "org", Service: "booking", AtMostOnce: true,
		Key: fmt.Sprint("op", op), Fingerprint: sha256.Sum256(fmt.Appendf(nil, "%d/%d", op, body)),
	}
}

// begin starts a new request at a router.
func (sim *simulation) begin(n *node, op, body int) core.RequestID {
	sim.requests++
	r := core.RequestID(fmt.Sprint("q", sim.requests))
	sim.undecided[r] = n
	a := operation(r, op, body)
	sim.process(n)(n.state.Begin(sim.now, a))
	return r
}

// process queues the effects of a router and checks its decisions.
func (sim *simulation) process(n *node) func([]core.Effect, []Decision) {
	return func(effects []core.Effect, decisions []Decision) {
		for _, e := range effects {
			if m, ok := e.(core.SendPeer); ok {
				sim.messages = append(sim.messages, peerMessage{n.id, m.To, m.Message})
				continue
			}
			sim.calls = append(sim.calls, &kvCall{from: n, effect: e})
		}
		for _, d := range decisions {
			sim.checkDecision(n, d)
		}
	}
}

// checkDecision checks that a request is decided only once and that a replayed
// answer was given by an upstream.
func (sim *simulation) checkDecision(n *node, d Decision) {
	if earlier, ok := sim.decided[d.Request]; ok {
		panic(fmt.Sprintf("violated: request %s decided twice: %+v then %+v", d.Request, earlier, d))
	}
	sim.decided[d.Request] = d
	delete(sim.undecided, d.Request)
	switch d.Kind {
	case Proceed:
		sim.proceeds++
		key := n.state.byRequest[d.Request].key
		sim.granted = append(sim.granted, grantedRequest{node: n, request: d.Request, key: key})
	case Replay:
		sim.replays++
		if !slices.ContainsFunc(sim.executedAnswers(), func(a string) bool { return a == string(d.Answer) }) {
			panic("violated: replay of an answer that no upstream gave")
		}
	}
}

func (sim *simulation) executedAnswers() []string {
	var out []string
	for _, a := range sim.executed {
		out = append(out, string(a))
	}
	return out
}

// sendGranted sends granted request i. The upstream runs the operation if
// executes is true; otherwise the request does not reach it.
func (sim *simulation) sendGranted(i int, executes bool) {
	g := &sim.granted[i]
	g.node.state.MarkSent(sim.now, g.request)
	g.sent, g.reachedUpstream = true, executes
	if !executes {
		return
	}
	if _, ran := sim.executed[g.key]; ran {
		panic("violated: operation ran twice")
	}
	sim.executed[g.key] = []byte("answer of " + string(g.request))
}

// endGranted reports the end of granted request i to its router. If known is
// false, the router is not told whether the operation ran.
func (sim *simulation) endGranted(i int, known bool) {
	g := sim.granted[i]
	sim.granted = slices.Delete(sim.granted, i, i+1)
	var effects []core.Effect
	switch {
	case g.reachedUpstream && known:
		effects = g.node.state.Finish(sim.now, g.request, 200, sim.executed[g.key])
	case g.reachedUpstream:
		effects = g.node.state.RecordFailure(sim.now, g.request, true)
	default:
		effects = g.node.state.RecordFailure(sim.now, g.request, !known)
	}
	sim.process(g.node)(effects, nil)
}

// step does one random action.
func (sim *simulation) step() {
	switch sim.draw(12) {
	case 0, 1:
		sim.begin(sim.nodes[sim.draw(len(sim.nodes))], sim.draw(2), sim.draw(6)/5)
	case 2, 3, 4:
		sim.stepCall()
	case 5, 6:
		sim.stepMessage()
	case 7, 8:
		sim.stepGranted()
	case 9:
		sim.now = sim.now.Add(time.Duration(sim.draw(1500)) * time.Millisecond)
	case 10:
		sim.wake(sim.nodes[sim.draw(len(sim.nodes))])
	case 11:
		sim.stepFault()
	}
}

// stepCall ends one key-value call in flight: it is executed and answered, only
// executed, or only answered. A call that timed out is executed late.
func (sim *simulation) stepCall() {
	if len(sim.calls) == 0 {
		return
	}
	i := sim.draw(len(sim.calls))
	c := sim.calls[i]
	switch choice := sim.draw(8); {
	case c.timedOut:
		// The call takes effect after the router was told KVUnknown.
		sim.calls = slices.Delete(sim.calls, i, i+1)
		sim.store.execute(c.effect)
	case choice == 0:
		c.timedOut = true
		sim.deliverResult(c, core.KVResult{Status: core.KVUnknown})
	case choice == 1:
		sim.calls = slices.Delete(sim.calls, i, i+1)
		sim.deliverResult(c, core.KVResult{Status: core.KVUnavailable})
	case choice == 2:
		sim.calls = slices.Delete(sim.calls, i, i+1)
		sim.store.execute(c.effect)
		sim.deliverResult(c, core.KVResult{Status: core.KVUnknown})
	default:
		sim.calls = slices.Delete(sim.calls, i, i+1)
		sim.deliverResult(c, sim.store.execute(c.effect))
	}
}

// deliverResult delivers the result of a call, unless the incarnation that made
// it has ended.
func (sim *simulation) deliverResult(c *kvCall, r core.KVResult) {
	if c.from.dead {
		return
	}
	r.Op = opOf(c.effect)
	sim.process(c.from)(c.from.state.Step(sim.now, r))
}

// stepMessage delivers, duplicates or loses one message.
func (sim *simulation) stepMessage() {
	if len(sim.messages) == 0 {
		return
	}
	i := sim.draw(len(sim.messages))
	m := sim.messages[i]
	choice := sim.draw(6)
	if choice != 0 {
		sim.messages = slices.Delete(sim.messages, i, i+1)
	}
	if choice != 1 {
		sim.deliverMessage(m)
	}
}

// deliverMessage delivers a message to the incarnation that it is addressed to,
// if that is running.
func (sim *simulation) deliverMessage(m peerMessage) {
	for _, n := range sim.nodes {
		if n.id == m.to {
			sim.process(n)(n.state.Step(sim.now, core.PeerMessage{From: m.from, Message: m.message}))
		}
	}
}

// stepGranted sends or ends one granted request.
func (sim *simulation) stepGranted() {
	if len(sim.granted) == 0 {
		return
	}
	i := sim.draw(len(sim.granted))
	if !sim.granted[i].sent && sim.draw(4) != 0 {
		sim.sendGranted(i, sim.draw(3) != 0)
		return
	}
	sim.endGranted(i, sim.draw(3) != 0)
}

// wake sends a Tick to a router if one is due. A router that is not woken behaves
// as if it were paused.
func (sim *simulation) wake(n *node) {
	if at := n.state.Wake(); !at.IsZero() && !at.After(sim.now) {
		sim.process(n)(n.state.Step(sim.now, core.Tick{}))
	}
}

// stepFault restarts a router without state, reports a peer of it as down, or
// cancels a request.
func (sim *simulation) stepFault() {
	i := sim.draw(len(sim.nodes))
	switch sim.draw(3) {
	case 0:
		sim.restart(i)
	case 1:
		n := sim.nodes[i]
		sim.process(n)(n.state.Step(sim.now, core.PeerDown{Peer: sim.nodes[sim.draw(len(sim.nodes))].id}))
	case 2:
		sim.cancelRequest(sim.nodes[i])
	}
}

// restart replaces a router by a new incarnation. Operations that ran stay
// executed, and calls and messages in flight stay in flight.
func (sim *simulation) restart(i int) {
	old := sim.nodes[i]
	old.dead = true
	sim.nodes[i] = sim.startNode(i)
	sim.granted = slices.DeleteFunc(sim.granted, func(g grantedRequest) bool { return g.node == old })
	for r, n := range sim.undecided {
		if n == old {
			delete(sim.undecided, r)
		}
	}
}

// cancelRequest gives up the oldest undecided request of a router, as if its
// caller had disconnected.
func (sim *simulation) cancelRequest(n *node) {
	var oldest *claim
	for r, at := range sim.undecided {
		if c := at.state.byRequest[r]; at == n && c != nil && (oldest == nil || c.serial < oldest.serial) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	delete(sim.undecided, oldest.request)
	sim.decided[oldest.request] = Decision{Kind: Refuse}
	sim.process(n)(n.state.GiveUp(sim.now, oldest.request), nil)
}

// runToCompletion runs without further faults until all timeouts have passed,
// and checks that every request was decided and every outcome recorded.
func (sim *simulation) runToCompletion() {
	for range 400 {
		sim.drain()
		sim.advance(100 * time.Millisecond)
	}
	if len(sim.undecided) > 0 {
		panic(fmt.Sprintf("violated: %d requests never decided", len(sim.undecided)))
	}
	for _, n := range sim.nodes {
		if n.state.PendingOutcomes() > 0 {
			panic("violated: an outcome was never recorded")
		}
	}
}

// drain executes all calls in flight and delivers all messages.
func (sim *simulation) drain() {
	for len(sim.calls)+len(sim.messages) > 0 {
		if len(sim.calls) > 0 {
			c := sim.calls[0]
			sim.calls = sim.calls[1:]
			r := sim.store.execute(c.effect)
			if !c.timedOut {
				sim.deliverResult(c, r)
			}
			continue
		}
		m := sim.messages[0]
		sim.messages = sim.messages[1:]
		sim.deliverMessage(m)
	}
}

// advance moves the clock forward and wakes the routers whose Tick is due.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, n := range sim.nodes {
		sim.wake(n)
	}
}
