package membership

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// A ping or ack carries up to minPiggyback updates, or up to 1/piggybackDivisor
	// of the queued updates if that is more, so that the loss of a whole failure
	// domain spreads as fast as that of one router.
	minPiggyback     = 6
	piggybackDivisor = 4
	// maxGossipRecords bounds the records in one message of a full view.
	maxGossipRecords = 256
	// retransmitMult is the multiplier for the number of transmissions of an update:
	// it is sent about retransmitMult * log10(fleet size) times.
	retransmitMult = 6
)

// handleMessage processes a message from a connected router. Any message shows that
// the router is alive.
func (s *State) handleMessage(now time.Time, from core.RouterID, env *wire.Envelope) {
	r := s.members[from]
	if r == nil || !r.connected {
		return
	}
	s.recordContact(now, r)
	switch body := env.GetBody().(type) {
	case *wire.Envelope_Ping:
		s.merge(now, body.Ping.GetUpdates())
		s.send(from, newAck(body.Ping.GetSeq(), s.updatesFor(r)))
	case *wire.Envelope_Ack:
		s.merge(now, body.Ack.GetUpdates())
	case *wire.Envelope_Gossip:
		s.mergingFullView = body.Gossip.GetFull()
		s.merge(now, body.Gossip.GetUpdates())
		s.mergingFullView = false
	}
}

// merge merges records received from another router.
func (s *State) merge(now time.Time, updates []*wire.Member) {
	for _, m := range updates {
		switch {
		case !isValidRecord(m):
		case m.Id == s.self.Id:
			s.refute(m)
		case s.members[core.RouterID(m.Id)] == nil:
			s.mergeUnknown(now, m)
		default:
			s.mergeKnown(now, s.members[core.RouterID(m.Id)], m)
		}
	}
}

// refute counters a claim about this router that supersedes its own record, by
// raising the version of that record above the claim's.
func (s *State) refute(claim *wire.Member) {
	if claim.Version < s.self.Version || claim.Version == s.self.Version && claim.State <= s.self.State {
		return
	}
	s.updateSelf(func(m *wire.Member) { m.Version = claim.Version + 1 })
	s.queueUpdate(core.RouterID(s.self.Id))
}

// mergeUnknown adds the record of an unknown router. Records of dead routers are
// ignored: they are of no use, and could circulate for ever if they were kept.
func (s *State) mergeUnknown(now time.Time, m *wire.Member) {
	if m.State == wire.MemberState_MEMBER_DEAD || len(s.sortedIDs) >= maxMembers {
		return
	}
	r := s.addRecord(m)
	if r.state() == wire.MemberState_MEMBER_SUSPECT {
		s.suspect(now, r)
	}
	s.queueUpdate(r.id())
}

// mergeKnown merges a record of a known router. Direct evidence takes precedence over
// claims that the router is down.
func (s *State) mergeKnown(now time.Time, r *record, m *wire.Member) {
	if !supersedes(m, r.member) {
		return
	}
	claimsDown := m.State == wire.MemberState_MEMBER_SUSPECT || m.State == wire.MemberState_MEMBER_DEAD
	switch {
	case claimsDown && r.heardRecently(now):
		s.relayClaim(r, m)
		s.ping(now, r)
		return
	case claimsDown && r.connected:
		// This router's own ping decides whether it is dead.
		m = withState(m, wire.MemberState_MEMBER_SUSPECT)
	case r.state() == wire.MemberState_MEMBER_DEAD && s.isFullMesh() && m.State != wire.MemberState_MEMBER_DEAD:
		// The record may come from a stale view and still have a version that was
		// never seen here. In a full mesh only a connection revives an incarnation.
		s.redial(now, m.PeerAddr)
		return
	}
	s.adopt(now, r, m)
}

// adopt replaces the record of a known router by one received from another router,
// and queues it as an update.
func (s *State) adopt(now time.Time, r *record, m *wire.Member) {
	if m.State == wire.MemberState_MEMBER_DEAD {
		s.replaceMember(r, withState(m, r.state()))
		s.declareDead(now, r)
		return
	}
	s.replaceMember(r, m)
	s.updateWatched(r)
	if m.State == wire.MemberState_MEMBER_SUSPECT {
		s.suspect(now, r)
		s.ping(now, r)
	}
	s.queueUpdate(r.id())
}

// supersedes reports whether a claim is newer than the current record of the same
// incarnation: a higher version, or a later state in the same version. A leaving
// router cannot become alive or suspect again.
func supersedes(claim, current *wire.Member) bool {
	if claim.Version == current.Version {
		return claim.State > current.State
	}
	isLeaving := current.State == wire.MemberState_MEMBER_LEAVING
	claimsAlive := claim.State == wire.MemberState_MEMBER_ALIVE || claim.State == wire.MemberState_MEMBER_SUSPECT
	return claim.Version > current.Version && !(isLeaving && claimsAlive)
}

// updateQueue contains the routers whose records are to be piggybacked. It is sorted
// by the number of remaining transmissions in descending order, so that old updates
// do not delay new ones.
type updateQueue []pendingUpdate

type pendingUpdate struct {
	id core.RouterID
	// remaining is the number of remaining transmissions.
	remaining int
}

// insert adds an update after those with at least as many remaining transmissions.
func (q *updateQueue) insert(u pendingUpdate) {
	index, _ := slices.BinarySearchFunc(*q, u, func(queued, added pendingUpdate) int {
		if queued.remaining >= added.remaining {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, index, u)
}

// queueUpdate queues a router's record to be piggybacked. A record that came with a
// full view is sent only once, since other routers receive full views as well.
func (s *State) queueUpdate(id core.RouterID) {
	s.updates = slices.DeleteFunc(s.updates, func(u pendingUpdate) bool { return u.id == id })
	transmissions := int(math.Ceil(retransmitMult * math.Log10(float64(len(s.sortedIDs)+2))))
	if s.mergingFullView {
		transmissions = 1
	}
	s.updates.insert(pendingUpdate{id: id, remaining: transmissions})
}

// updatesFor returns the records for the next ping or ack to r: queued updates, or
// the next rolling record if there are none.
func (s *State) updatesFor(r *record) []*wire.Member {
	if updates := s.takeUpdates(r); len(updates) > 0 {
		return updates
	}
	return []*wire.Member{s.nextRollingRecord()}
}

// takeUpdates takes queued updates for the next message to r. The record of r itself
// is omitted, since relayClaim sends it.
func (s *State) takeUpdates(r *record) []*wire.Member {
	var members []*wire.Member
	limit := max(minPiggyback, len(s.updates)/piggybackDivisor)
	taken := slices.Clone(s.updates[:min(len(s.updates), limit)])
	s.updates = slices.Delete(s.updates, 0, len(taken))
	for _, u := range taken {
		if m := s.memberByID(u.id); m != nil && u.id != r.id() {
			members = append(members, m)
		}
		if u.remaining--; u.remaining > 0 {
			s.updates.insert(u)
		}
	}
	return members
}

// nextRollingRecord returns the records of all routers in turn, one per call
// (anti-entropy), so that the views converge again after messages were lost.
func (s *State) nextRollingRecord() *wire.Member {
	if s.rollingIndex >= len(s.sortedIDs) {
		s.rollingIndex = 0
		return s.self
	}
	m := s.members[s.sortedIDs[s.rollingIndex]].member
	s.rollingIndex++
	return m
}

// memberByID returns the current record of a router, nil if it is unknown.
func (s *State) memberByID(id core.RouterID) *wire.Member {
	if id == core.RouterID(s.self.Id) {
		return s.self
	}
	if r := s.members[id]; r != nil {
		return r.member
	}
	return nil
}

// sendFullView sends the records of all known routers, in messages of bounded size.
func (s *State) sendFullView(to core.RouterID) {
	all := []*wire.Member{s.self}
	for _, id := range s.sortedIDs {
		all = append(all, s.members[id].member)
	}
	for part := range slices.Chunk(all, maxGossipRecords) {
		s.send(to, newGossip(true, part...))
	}
}

func newGossip(full bool, updates ...*wire.Member) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: &wire.Gossip{Updates: updates, Full: full}}}
}

func newPing(seq uint64, updates []*wire.Member) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{Seq: seq, Updates: updates}}}
}

func newAck(seq uint64, updates []*wire.Member) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Ack{Ack: &wire.Ack{Seq: seq, Updates: updates}}}
}

// withState returns m with the given state, as a copy if the state differs.
func withState(m *wire.Member, state wire.MemberState) *wire.Member {
	if m.State == state {
		return m
	}
	m = proto.Clone(m).(*wire.Member)
	m.State = state
	return m
}
