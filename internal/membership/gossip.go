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
	// minPiggyback is how many updates may travel on one ping or ack, and
	// piggybackShare the part of a long queue that may, so that the loss of a
	// whole failure domain spreads as fast as that of one router.
	minPiggyback     = 6
	piggybackDivisor = 4
	// maxGossipRecords is how many records travel in one message of a whole view.
	maxGossipRecords = 256
	// retransmitMult times the decimal logarithm of the fleet's size is how often an
	// update is passed on.
	retransmitMult = 6
)

// handleMessage handles what a router sent; any message is a sign of life.
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

// merge takes in records from another router.
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

// refute answers a false claim about this router by a higher version.
func (s *State) refute(claim *wire.Member) {
	if claim.Version < s.self.Version || claim.Version == s.self.Version && claim.State <= s.self.State {
		return
	}
	s.updateSelf(func(m *wire.Member) { m.Version = claim.Version + 1 })
	s.queueUpdate(core.RouterID(s.self.Id))
}

// mergeUnknown keeps a record of a router that was unknown. Word of the death of one
// is of no use, and kept it might circulate for ever.
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

// mergeKnown weighs another router's word on a known one.
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
		// This router's own ping decides.
		m = withState(m, wire.MemberState_MEMBER_SUSPECT)
	case r.state() == wire.MemberState_MEMBER_DEAD && s.isFullMesh() && m.State != wire.MemberState_MEMBER_DEAD:
		// A stale view may hold a version that was never seen here. Only a
		// connection brings an incarnation back where all are connected.
		s.redial(now, m.PeerAddr)
		return
	}
	s.adopt(now, r, m)
}

// adopt puts another router's record of a known one in place.
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

// supersedes reports whether a says more than b about the same incarnation. One
// that is leaving does not come back.
func supersedes(claim, current *wire.Member) bool {
	if claim.Version == current.Version {
		return claim.State > current.State
	}
	isLeaving := current.State == wire.MemberState_MEMBER_LEAVING
	claimsAlive := claim.State == wire.MemberState_MEMBER_ALIVE || claim.State == wire.MemberState_MEMBER_SUSPECT
	return claim.Version > current.Version && !(isLeaving && claimsAlive)
}

// updateQueue holds the routers whose records are still to be passed on, each
// with the number of times left. It is sorted by that, the most first, so that
// old news does not hold back what is new.
type updateQueue []pendingUpdate

type pendingUpdate struct {
	id        core.RouterID
	remaining int
}

// insert adds an update behind those that are to be passed on as often.
func (q *updateQueue) insert(u pendingUpdate) {
	index, _ := slices.BinarySearchFunc(*q, u, func(queued, added pendingUpdate) int {
		if queued.remaining >= added.remaining {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, index, u)
}

// queueUpdate queues a router's record to be passed on. What came with a whole
// view is passed on once, since others get such views as well.
func (s *State) queueUpdate(id core.RouterID) {
	s.updates = slices.DeleteFunc(s.updates, func(u pendingUpdate) bool { return u.id == id })
	transmissions := int(math.Ceil(retransmitMult * math.Log10(float64(len(s.sortedIDs)+2))))
	if s.mergingFullView {
		transmissions = 1
	}
	s.updates.insert(pendingUpdate{id: id, remaining: transmissions})
}

// updatesFor is what the next ping or ack to r carries: updates, or without any the
// next record of the round over all of them.
func (s *State) updatesFor(r *record) []*wire.Member {
	if updates := s.takeUpdates(r); len(updates) > 0 {
		return updates
	}
	return []*wire.Member{s.nextRollingRecord()}
}

// takeUpdates takes the updates for the next message to r. Its own record is left
// out: tell sends that.
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

// nextRollingRecord returns the next record of a slow round over all of them, which
// repairs what lost messages left behind.
func (s *State) nextRollingRecord() *wire.Member {
	if s.rollingIndex >= len(s.sortedIDs) {
		s.rollingIndex = 0
		return s.self
	}
	m := s.members[s.sortedIDs[s.rollingIndex]].member
	s.rollingIndex++
	return m
}

func (s *State) memberByID(id core.RouterID) *wire.Member {
	if id == core.RouterID(s.self.Id) {
		return s.self
	}
	if r := s.members[id]; r != nil {
		return r.member
	}
	return nil
}

// sendFullView sends the whole view, in messages of bounded size.
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

func withState(m *wire.Member, state wire.MemberState) *wire.Member {
	if m.State == state {
		return m
	}
	m = proto.Clone(m).(*wire.Member)
	m.State = state
	return m
}
