package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Times of the protocol.
const (
	// Period is the time between two rounds of pings.
	Period = time.Second
	// AckTimeout is how long a pinged router may be silent before it is
	// suspected.
	AckTimeout = time.Second
	// SuspicionTimeout is how long a suspected router counts as alive.
	SuspicionTimeout = 2 * time.Second

	// dialInterval is the time between two looks at what is due.
	dialInterval = Period / 2
	// disconnectDelay is how long a silent connection is kept after its router
	// came under suspicion.
	disconnectDelay = 500 * time.Millisecond
	// directContactTTL is how long a router's own message outweighs what others say.
	directContactTTL = 2 * time.Second
	// tombstoneTTL is how long a dead incarnation is remembered.
	tombstoneTTL = 10 * time.Minute
	// pauseThreshold is the gap between two events after which this router itself
	// was paused, so that its timeouts say nothing about others.
	pauseThreshold = 2 * Period
)

// Sizes of the protocol.
const (
	// MeshLimit is the number of other routers up to which all are neighbours.
	MeshLimit = 32
	// maxMembers bounds the records kept, with the dead ones.
	maxMembers = 2048
	// maxRecordSize bounds the encoded size of a record in bytes.
	maxRecordSize = 512
)

// rngStream is the second word of the generator's seed.
const rngStream = 0x6a756a75

// State is one router's view of the fleet. It is not safe for concurrent use.
type State struct {
	self    *wire.Member
	random  *rand.Rand
	members map[core.RouterID]*record
	// sortedIDs holds the ids of members, sorted.
	sortedIDs []core.RouterID
	// byAddr holds the latest record at each peer address.
	byAddr      map[string]core.RouterID
	dialTargets map[string]*dialTarget
	updates     updateQueue
	// mergingFullView means that a whole view of another router is being taken in.
	mergingFullView bool
	// watched holds the ids with a deadline: probed or suspected.
	watched map[core.RouterID]struct{}

	neighbours []core.RouterID
	// pingRound is what is left of the current round over the neighbours.
	pingRound []core.RouterID
	// rollingIndex is where the round over all records stands.
	rollingIndex int
	lastPingSeq  uint64

	nextDial   time.Time
	nextPeriod time.Time
	lastEvent  time.Time

	// aliveCount is the number of other routers that count as alive.
	aliveCount int
	changes    uint64
	aliveCache []core.Peer
	// aliveStale means that alive must be made anew, moved that the neighbours must.
	aliveStale, neighboursStale bool

	effects []core.Effect
}

// New returns the view of a router that knows nobody yet. The seeds are peer
// addresses to dial until the instance list names others.
func New(self core.Peer, seeds []string, seed uint64) *State {
	s := &State{
		self: &wire.Member{
			Id: string(self.ID), Name: self.Name, Domain: self.Domain,
			PeerAddr: self.PeerAddr, AdminAddr: self.AdminAddr,
			State: self.State, Generation: self.Generation, Version: 1,
		},
		random:      rand.New(rand.NewPCG(seed, rngStream)),
		members:     map[core.RouterID]*record{},
		byAddr:      map[string]core.RouterID{},
		dialTargets: map[string]*dialTarget{},
		watched:     map[core.RouterID]struct{}{},
		aliveStale:  true,
	}
	s.setListed(seeds)
	return s
}

// Step takes an event in and returns what is to be done. Events that do not
// concern membership are ignored, but any message from a router is a sign of
// life.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	s.detectPause(now)
	switch ev := ev.(type) {
	case core.Tick:
		s.tick(now)
	case core.PeerUp:
		s.peerUp(now, ev.Member)
	case core.PeerDown:
		s.peerDown(now, ev.Peer)
	case core.DialFailed:
		s.dialFailed(now, ev.Addr)
	case core.PeerMessage:
		s.handleMessage(now, ev.From, ev.Message)
	case core.Instances:
		s.setListed(ev.Routers)
	}
	return s.takeEffects()
}

// detectPause notes the time of an event. After a pause of this router no deadline
// that passed meanwhile counts against another.
func (s *State) detectPause(now time.Time) {
	paused := !s.lastEvent.IsZero() && now.Sub(s.lastEvent) > pauseThreshold
	s.lastEvent = now
	if !paused {
		return
	}
	for _, id := range s.watchedIDs() {
		r := s.members[id]
		r.ackDeadline, r.disconnectAt = time.Time{}, time.Time{}
		if r.state() == wire.MemberState_MEMBER_SUSPECT {
			r.stateDeadline = now.Add(SuspicionTimeout)
		}
		s.updateWatched(r)
	}
}

// tick does what is due.
func (s *State) tick(now time.Time) {
	s.expireDeadlines(now)
	if now.Before(s.nextDial) {
		return
	}
	s.nextDial = now.Add(dialInterval)
	s.updateNeighbours()
	s.dialMissing(now)
	if now.Before(s.nextPeriod) {
		return
	}
	s.nextPeriod = now.Add(Period)
	s.removeTombstones(now)
	s.pingNeighbours(now)
}

// Wake says when the next Tick is due.
func (s *State) Wake() time.Time {
	wake := s.nextDial
	for id := range s.watched {
		if deadline := s.members[id].nextDeadline(); !deadline.IsZero() && deadline.Before(wake) {
			wake = deadline
		}
	}
	return wake
}

// Alive returns the routers that count as alive, sorted by id: this one unless
// it is leaving, and those that are neither dead nor leaving. The slice must not
// be changed. Its Heard times are those of the last change; Peer has newer ones.
func (s *State) Alive() []core.Peer {
	if !s.aliveStale {
		return s.aliveCache
	}
	s.aliveStale = false
	s.aliveCache = make([]core.Peer, 0, len(s.sortedIDs)+1)
	if s.self.State != wire.MemberState_MEMBER_LEAVING {
		s.aliveCache = append(s.aliveCache, peerFromMember(s.self))
	}
	for _, id := range s.sortedIDs {
		if r := s.members[id]; r.isAlive() {
			s.aliveCache = append(s.aliveCache, r.toPeer())
		}
	}
	slices.SortFunc(s.aliveCache, func(a, b core.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s.aliveCache
}

// Changes grows whenever a router joins or leaves Alive.
func (s *State) Changes() uint64 { return s.changes }

// Peer returns what is known about a router, dead ones included for a time.
func (s *State) Peer(id core.RouterID) (core.Peer, bool) {
	if id == core.RouterID(s.self.Id) {
		return peerFromMember(s.self), true
	}
	if r, ok := s.members[id]; ok {
		return r.toPeer(), true
	}
	return core.Peer{}, false
}

// ByAddr returns the router at a peer address, unless it is dead.
func (s *State) ByAddr(addr string) (core.Peer, bool) {
	if addr == s.self.PeerAddr {
		return peerFromMember(s.self), true
	}
	r := s.members[s.byAddr[addr]]
	if r == nil || r.state() == wire.MemberState_MEMBER_DEAD {
		return core.Peer{}, false
	}
	return r.toPeer(), true
}

// Connected reports whether a connection to a router stands.
func (s *State) Connected(id core.RouterID) bool {
	r := s.members[id]
	return r != nil && r.connected
}

// Self returns this router's own record.
func (s *State) Self() *wire.Member { return proto.Clone(s.self).(*wire.Member) }

// SetGeneration tells the others, in time, which configuration is in force
// here. In a large fleet the news is left to the round over all records.
func (s *State) SetGeneration(generation uint64) {
	if generation == s.self.Generation {
		return
	}
	s.updateSelf(func(m *wire.Member) { m.Generation = generation })
	s.aliveStale = true
	if s.isFullMesh() {
		s.queueUpdate(core.RouterID(s.self.Id))
	}
}

// Leave announces that this router is leaving; it cannot be taken back.
func (s *State) Leave(now time.Time) []core.Effect {
	if s.self.State == wire.MemberState_MEMBER_LEAVING {
		return nil
	}
	s.updateSelf(func(m *wire.Member) { m.State = wire.MemberState_MEMBER_LEAVING })
	s.markAliveChanged()
	s.queueUpdate(core.RouterID(s.self.Id))
	for _, id := range s.sortedIDs {
		if s.members[id].connected {
			s.send(id, newGossip(false, s.self))
		}
	}
	return s.takeEffects()
}

// updateSelf replaces this router's record by a changed one of a higher
// version; records are never changed in place, since messages share them.
func (s *State) updateSelf(update func(*wire.Member)) {
	s.self = s.Self()
	s.self.Version++
	update(s.self)
}

// markAliveChanged notes that Alive has other members.
func (s *State) markAliveChanged() {
	s.changes++
	s.aliveStale, s.neighboursStale = true, true
}

// isFullMesh reports whether the fleet is small enough for everyone to be neighbours.
func (s *State) isFullMesh() bool { return s.aliveCount <= MeshLimit }

func (s *State) send(to core.RouterID, env *wire.Envelope) {
	s.effects = append(s.effects, core.SendPeer{To: to, Message: env})
}

func (s *State) takeEffects() []core.Effect {
	effects := s.effects
	s.effects = nil
	return effects
}
