package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// epoch is the start time of the fake clock.
var epoch = time.Unix(1_000_000, 0)

// latency is the delivery time of every event in the fake network.
const latency = time.Millisecond

// delivery is an event in transit to a router.
type delivery struct {
	at time.Time
	to core.RouterID
	ev core.Event
}

// network simulates a fleet of States with a fake clock and fake connections.
type network struct {
	now    time.Time
	random *rand.Rand
	// lossRate is the fraction of messages that are lost.
	lossRate float64
	// partitioned reports whether two routers cannot reach each other.
	partitioned func(a, b core.RouterID) bool
	states      map[core.RouterID]*State
	byAddr      map[string]core.RouterID
	links       map[[2]core.RouterID]bool
	// blackholed contains the connections that drop all messages until they are
	// closed.
	blackholed map[[2]core.RouterID]bool
	queue      []delivery
	// sentBytes is the encoded size of all messages that each router sent.
	sentBytes map[core.RouterID]int
}

func newNetwork(seed uint64) *network {
	return &network{
		now:         epoch,
		random:      rand.New(rand.NewPCG(seed, 1)),
		partitioned: func(a, b core.RouterID) bool { return false },
		states:      map[core.RouterID]*State{},
		byAddr:      map[string]core.RouterID{},
		links:       map[[2]core.RouterID]bool{},
		blackholed:  map[[2]core.RouterID]bool{},
		sentBytes:   map[core.RouterID]int{},
	}
}

func newTestPeer(name string, incarnation int) core.Peer {
	return core.Peer{
		ID: core.RouterID(fmt.Sprintf("%s.%d", name, incarnation)), Name: name, Domain: "ga-east-1",
		PeerAddr: "10.0.0." + name[1:] + ":7000", AdminAddr: "10.0.0." + name[1:] + ":7001",
	}
}

// startRouters adds routers r0 to r(count-1), each with the addresses of all as
// seeds.
func (n *network) startRouters(count int) {
	var addrs []string
	for i := range count {
		addrs = append(addrs, newTestPeer(fmt.Sprint("r", i), 1).PeerAddr)
	}
	for i := range count {
		n.add(newTestPeer(fmt.Sprint("r", i), 1), addrs)
	}
}

func (n *network) add(p core.Peer, seeds []string) *State {
	s := New(p, seeds, n.random.Uint64())
	n.states[p.ID] = s
	n.byAddr[p.PeerAddr] = p.ID
	return s
}

// stop stops a router and closes its connections.
func (n *network) stop(id core.RouterID) {
	delete(n.states, id)
	for _, other := range n.ids() {
		n.disconnect(id, other)
	}
}

func (n *network) ids() []core.RouterID {
	ids := make([]core.RouterID, 0, len(n.states))
	for id := range n.states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func pair(a, b core.RouterID) [2]core.RouterID {
	return [2]core.RouterID{min(a, b), max(a, b)}
}

func (n *network) enqueue(to core.RouterID, ev core.Event) {
	n.queue = append(n.queue, delivery{n.now.Add(latency), to, ev})
}

func (n *network) disconnect(a, b core.RouterID) {
	if !n.links[pair(a, b)] {
		return
	}
	delete(n.links, pair(a, b))
	delete(n.blackholed, pair(a, b))
	n.enqueue(a, core.PeerDown{Peer: b})
	n.enqueue(b, core.PeerDown{Peer: a})
}

// advance runs the simulation for a duration of the fake clock.
func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for n.now.Before(end) {
		if len(n.queue) > 0 {
			n.deliverQueued()
			continue
		}
		next := end
		for _, s := range n.states {
			if wake := s.Wake(); wake.Before(next) {
				next = wake
			}
		}
		if next.After(n.now) {
			n.now = next
		}
		for _, id := range n.ids() {
			if s := n.states[id]; !s.Wake().After(n.now) {
				n.applyEffects(id, s.Step(n.now, core.Tick{}))
			}
		}
	}
}

// deliverQueued advances the clock to the delivery time of the queued events, which
// is the same for all, and delivers them.
func (n *network) deliverQueued() {
	batch := n.queue
	n.queue = nil
	n.now = batch[0].at
	for _, d := range batch {
		if s := n.states[d.to]; s != nil {
			n.applyEffects(d.to, s.Step(n.now, d.ev))
		}
	}
}

func (n *network) applyEffects(from core.RouterID, effects []core.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case core.SendPeer:
			n.send(from, effect)
		case core.Dial:
			n.dial(from, effect.Addr)
		case core.Disconnect:
			n.disconnect(from, effect.Peer)
		}
	}
}

func (n *network) send(from core.RouterID, effect core.SendPeer) {
	n.sentBytes[from] += proto.Size(effect.Message)
	if !n.links[pair(from, effect.To)] || n.partitioned(from, effect.To) || n.blackholed[pair(from, effect.To)] || n.random.Float64() < n.lossRate {
		return
	}
	n.enqueue(effect.To, core.PeerMessage{From: from, Message: proto.Clone(effect.Message).(*wire.Envelope)})
}

func (n *network) dial(from core.RouterID, addr string) {
	to, listening := n.byAddr[addr]
	switch {
	case !listening || n.states[to] == nil || n.partitioned(from, to):
		n.enqueue(from, core.DialFailed{Addr: addr})
	case !n.links[pair(from, to)]:
		n.links[pair(from, to)] = true
		n.enqueue(from, core.PeerUp{Member: n.states[to].Self()})
		n.enqueue(to, core.PeerUp{Member: n.states[from].Self()})
	}
}

// views returns the ids that each router counts as alive.
func (n *network) views() map[core.RouterID][]core.RouterID {
	views := map[core.RouterID][]core.RouterID{}
	for id, s := range n.states {
		views[id] = aliveIDs(s)
	}
	return views
}

func aliveIDs(s *State) []core.RouterID {
	var ids []core.RouterID
	for _, p := range s.Alive() {
		ids = append(ids, p.ID)
	}
	return ids
}
