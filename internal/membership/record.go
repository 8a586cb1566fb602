package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// record is the knowledge about one incarnation of another router.
type record struct {
	// member is shared with messages and never changed in place.
	member *wire.Member
	// ringHash is the router's position on the hash ring.
	ringHash  uint64
	connected bool
	// lastHeard is when the router connected or its last message arrived.
	lastHeard time.Time
	// stateDeadline is the end of the suspicion of a suspect router and of the
	// tombstone of a dead one.
	stateDeadline time.Time
	// disconnectAt is when an unresponsive connection is closed; zero if none is.
	disconnectAt time.Time
	// ackDeadline is when the outstanding ping times out; zero if there is none.
	ackDeadline time.Time
	// pingSeq is the sequence number of the last ping.
	pingSeq uint64
	// relayedVersion is the version of the last claim relayed to the router.
	relayedVersion uint64
}

func (r *record) id() core.RouterID       { return core.RouterID(r.member.Id) }
func (r *record) state() wire.MemberState { return r.member.State }

// isAlive reports whether the router counts as alive, which includes suspects.
func (r *record) isAlive() bool {
	return r.state() == wire.MemberState_MEMBER_ALIVE || r.state() == wire.MemberState_MEMBER_SUSPECT
}

// heardRecently reports whether the router is connected and was heard from within
// directContactTTL.
func (r *record) heardRecently(now time.Time) bool {
	return r.connected && now.Sub(r.lastHeard) < directContactTTL
}

// nextDeadline returns the earliest of ackDeadline, disconnectAt and
// suspicionDeadline; zero if there is none.
func (r *record) nextDeadline() time.Time {
	deadline := r.ackDeadline
	for _, t := range []time.Time{r.disconnectAt, r.suspicionDeadline()} {
		if !t.IsZero() && (deadline.IsZero() || t.Before(deadline)) {
			deadline = t
		}
	}
	return deadline
}

// suspicionDeadline returns the end of the suspicion; zero if the router is not
// suspect.
func (r *record) suspicionDeadline() time.Time {
	if r.state() == wire.MemberState_MEMBER_SUSPECT {
		return r.stateDeadline
	}
	return time.Time{}
}

func (r *record) toPeer() core.Peer {
	p := peerFromMember(r.member)
	p.LastHeard = r.lastHeard
	return p
}

func peerFromMember(m *wire.Member) core.Peer {
	return core.Peer{
		ID: core.RouterID(m.Id), Name: m.Name, Domain: m.Domain,
		PeerAddr: m.PeerAddr, AdminAddr: m.AdminAddr,
		State: m.State, Generation: m.Generation,
	}
}

// isValidRecord reports whether a record received from another router is complete
// and within the size limit.
func isValidRecord(m *wire.Member) bool {
	_, known := wire.MemberState_name[int32(m.GetState())]
	return known && m.GetId() != "" && m.GetName() != "" && m.GetPeerAddr() != "" && proto.Size(m) <= maxRecordSize
}

// addRecord adds the record of an unknown router.
func (s *State) addRecord(m *wire.Member) *record {
	r := &record{member: m}
	id := r.id()
	r.ringHash = ringHash(id)
	s.members[id] = r
	index, _ := slices.BinarySearch(s.sortedIDs, id)
	s.sortedIDs = slices.Insert(s.sortedIDs, index, id)
	if old := s.members[s.byAddr[m.PeerAddr]]; old == nil || !old.connected {
		s.byAddr[m.PeerAddr] = id
	}
	if r.isAlive() {
		s.aliveCount++
		s.markAliveChanged()
	}
	return r
}

// removeRecord deletes a record.
func (s *State) removeRecord(id core.RouterID) {
	r := s.members[id]
	delete(s.members, id)
	delete(s.watched, id)
	index, _ := slices.BinarySearch(s.sortedIDs, id)
	s.sortedIDs = slices.Delete(s.sortedIDs, index, index+1)
	if s.byAddr[r.member.PeerAddr] == id {
		delete(s.byAddr, r.member.PeerAddr)
	}
}

// replaceMember replaces the member of a record and invalidates aliveCache. If this
// changes whether the router counts as alive, it also updates aliveCount and calls
// markAliveChanged.
func (s *State) replaceMember(r *record, m *wire.Member) {
	wasAlive := r.isAlive()
	r.member = m
	s.aliveStale = true
	if r.isAlive() == wasAlive {
		return
	}
	s.markAliveChanged()
	if wasAlive {
		s.aliveCount--
	} else {
		s.aliveCount++
	}
}

// setMemberState replaces the member of a record by a copy with the given state.
func (s *State) setMemberState(r *record, state wire.MemberState) {
	if r.state() == state {
		return
	}
	m := proto.Clone(r.member).(*wire.Member)
	m.State = state
	s.replaceMember(r, m)
}

// updateWatched adds the record to the watched ones if it has a deadline, and
// removes it otherwise.
func (s *State) updateWatched(r *record) {
	if r.nextDeadline().IsZero() {
		delete(s.watched, r.id())
		return
	}
	s.watched[r.id()] = struct{}{}
}

// watchedIDs returns the sorted ids of the watched records.
func (s *State) watchedIDs() []core.RouterID {
	ids := make([]core.RouterID, 0, len(s.watched))
	for id := range s.watched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
