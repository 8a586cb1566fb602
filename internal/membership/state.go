package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Intervals and timeouts of the protocol.
const (
	// Period is the time between two rounds of pings.
	Period = time.Second
	// AckTimeout is how long a pinged router may send nothing before it becomes
	// suspect.
	AckTimeout = time.Second
	// SuspicionTimeout is how long a suspect router counts as alive.
	SuspicionTimeout = 2 * time.Second

	// dialInterval is the time between two rounds of dials.
	dialInterval = Period / 2
	// disconnectDelay is how long a connection is kept after a ping on it timed
	// out.
	disconnectDelay = 500 * time.Millisecond
	// directContactTTL is how long a message from a router itself takes precedence
	// over gossip that it is down.
	directContactTTL = 2 * time.Second
	// tombstoneTTL is how long the record of a dead incarnation is kept.
	tombstoneTTL = 10 * time.Minute
	// pauseThreshold is the gap between two events above which this router assumes
	// that it was paused itself. Deadlines that expired meanwhile are then no
	// evidence that other routers have failed.
	pauseThreshold = 2 * Period
)

// Limits of the protocol.
const (
	// MeshLimit is the number of other routers up to which all are neighbours.
	MeshLimit = 32
	// maxMembers bounds the number of records, including those of dead routers.
	maxMembers = 2048
	// maxRecordSize bounds the encoded size of a record in bytes.
	maxRecordSize = 512
)

// rngStream is the second word of the random generator's seed.
const rngStream = 0x6a756a75

// State is one router's view of the fleet. It is not safe for concurrent use.
type State struct {
	self    *wire.Member
	random  *rand.Rand
	members map[core.RouterID]*record
	// sortedIDs contains the keys of members, sorted.
	sortedIDs []core.RouterID
	// byAddr contains the latest incarnation at each peer address.
	byAddr map[string]core.RouterID
	// dialTargets is keyed by peer address.
	dialTargets map[string]*dialTarget
	// updates are the records to piggyback on pings and acks.
	updates updateQueue
	// mergingFullView is true while a message of another router's full view is
	// merged.
	mergingFullView bool
	// watched contains the ids of the records with a deadline: those with an
	// outstanding ping, an unresponsive connection or a suspicion.
	watched map[core.RouterID]struct{}

	neighbours []core.RouterID
	// pingRound contains the neighbours not yet pinged in the current round.
	pingRound []core.RouterID
	// rollingIndex is the index in sortedIDs of the next rolling record.
	rollingIndex int
	lastPingSeq  uint64

	nextDial   time.Time
	nextPeriod time.Time
	lastEvent  time.Time

	// aliveCount is the number of other routers that count as alive.
	aliveCount int
	// aliveVersion counts the changes of the set of alive routers.
	aliveVersion uint64
	// aliveCache is the result of Alive, unless aliveStale is set.
	aliveCache []core.Peer
	// aliveStale means that aliveCache must be recomputed, neighboursStale that the
	// neighbours must be.
	aliveStale, neighboursStale bool

	effects []core.Effect
}

// New returns the view of a router that knows no others yet. The seeds are peer
// addresses to dial until an instance list replaces them.
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

// Step processes an event and returns the resulting effects. Events that do not
// concern membership are ignored, except that any message from a connected router
// shows that it is alive.
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

// detectPause records the time of an event. If this router was paused since the last
// one, it cancels outstanding pings and pending disconnects and restarts the timeouts
// of suspects, since the expired deadlines are no evidence that others have failed.
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

// tick performs the periodic work that is due.
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

// Wake returns when the next Tick is due.
func (s *State) Wake() time.Time {
	wake := s.nextDial
	for id := range s.watched {
		if deadline := s.members[id].nextDeadline(); !deadline.IsZero() && deadline.Before(wake) {
			wake = deadline
		}
	}
	return wake
}

// Alive returns the routers that count as alive, sorted by id: those that are
// neither dead nor leaving, including this one. The slice must not be changed. Its
// LastHeard times are as of the last change of the list; Peer returns current ones.
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

// AliveVersion returns a counter that increases whenever a router is added to or
// removed from Alive.
func (s *State) AliveVersion() uint64 { return s.aliveVersion }

// Peer returns a router by its id. A dead one is returned until its tombstone
// expires.
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

// Connected reports whether a connection to a router is established.
func (s *State) Connected(id core.RouterID) bool {
	r := s.members[id]
	return r != nil && r.connected
}

// Self returns a copy of this router's own member record.
func (s *State) Self() *wire.Member { return proto.Clone(s.self).(*wire.Member) }

// SetGeneration records which configuration is in force on this router. In a full
// mesh the change is queued as an update; in a larger fleet it spreads only with the
// rolling records (see nextRollingRecord).
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

// Leave announces to all connected routers that this router is leaving. This cannot
// be undone.
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

// updateSelf replaces this router's record by an updated copy with a higher version.
// Records are never changed in place, since messages share them.
func (s *State) updateSelf(update func(*wire.Member)) {
	s.self = s.Self()
	s.self.Version++
	update(s.self)
}

// markAliveChanged records that the set of alive routers has changed.
func (s *State) markAliveChanged() {
	s.aliveVersion++
	s.aliveStale, s.neighboursStale = true, true
}

// isFullMesh reports whether the fleet is small enough that all routers are
// neighbours.
func (s *State) isFullMesh() bool { return s.aliveCount <= MeshLimit }

func (s *State) send(to core.RouterID, env *wire.Envelope) {
	s.effects = append(s.effects, core.SendPeer{To: to, Message: env})
}

// takeEffects returns the pending effects and clears them.
func (s *State) takeEffects() []core.Effect {
	effects := s.effects
	s.effects = nil
	return effects
}
