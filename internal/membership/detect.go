package membership

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// peerUp is direct evidence that an incarnation lives.
func (s *State) peerUp(now time.Time, m *wire.Member) {
	if !isValidRecord(m) || m.Id == s.self.Id {
		return
	}
	r := s.members[core.RouterID(m.Id)]
	newlyReachable := r == nil || !r.isAlive() || r.state() == wire.MemberState_MEMBER_SUSPECT
	if r == nil {
		r = s.addRecord(m)
	} else if m.Version > r.member.Version {
		s.replaceMember(r, m)
	}
	r.connected = true
	s.takeOverAddress(now, r)
	s.recordContact(now, r)
	if t := s.dialTargets[m.PeerAddr]; t != nil {
		t.reset()
	}
	if newlyReachable {
		s.queueUpdate(r.id())
	}
	if newlyReachable || s.isFullMesh() {
		s.sendFullView(r.id())
	}
}

// takeOverAddress makes r the router at its address: an earlier incarnation that was
// there is dead.
func (s *State) takeOverAddress(now time.Time, r *record) {
	addr := r.member.PeerAddr
	if old := s.members[s.byAddr[addr]]; old != nil && old != r {
		s.declareDead(now, old)
	}
	s.byAddr[addr] = r.id()
}

// recordContact notes a sign of life on a router's own connection.
func (s *State) recordContact(now time.Time, r *record) {
	r.lastHeard = now
	r.ackDeadline, r.disconnectAt = time.Time{}, time.Time{}
	switch r.state() {
	case wire.MemberState_MEMBER_SUSPECT, wire.MemberState_MEMBER_DEAD:
		s.relayClaim(r, r.member)
		s.setMemberState(r, wire.MemberState_MEMBER_ALIVE)
	}
	s.updateWatched(r)
}

// relayClaim passes a false claim on to the router it is about, which refutes it.
func (s *State) relayClaim(r *record, claim *wire.Member) {
	if r.connected && claim.Version > r.relayedVersion {
		r.relayedVersion = claim.Version
		s.send(r.id(), newGossip(false, claim))
	}
}

// peerDown puts a router under suspicion and tries to reach it again.
func (s *State) peerDown(now time.Time, id core.RouterID) {
	r := s.members[id]
	if r == nil || !r.connected {
		return
	}
	r.connected = false
	r.ackDeadline, r.disconnectAt = time.Time{}, time.Time{}
	switch r.state() {
	case wire.MemberState_MEMBER_ALIVE:
		s.suspect(now, r)
		s.redial(now, r.member.PeerAddr)
	case wire.MemberState_MEMBER_LEAVING:
		s.declareDead(now, r)
	}
}

// dialFailed puts the router at the address under suspicion.
func (s *State) dialFailed(now time.Time, addr string) {
	r := s.members[s.byAddr[addr]]
	if r != nil && !r.connected && r.state() == wire.MemberState_MEMBER_ALIVE {
		s.suspect(now, r)
	}
}

// suspect starts the timeout of a router that is alive.
func (s *State) suspect(now time.Time, r *record) {
	s.setMemberState(r, wire.MemberState_MEMBER_SUSPECT)
	r.stateDeadline = now.Add(SuspicionTimeout)
	s.updateWatched(r)
	s.queueUpdate(r.id())
}

// declareDead declares an incarnation dead. Its connection, if one still stands, is
// silent and given up.
func (s *State) declareDead(now time.Time, r *record) {
	if r.state() == wire.MemberState_MEMBER_DEAD {
		return
	}
	if r.connected {
		s.effects = append(s.effects, core.Hangup{Peer: r.id()})
	}
	s.setMemberState(r, wire.MemberState_MEMBER_DEAD)
	r.stateDeadline = now.Add(tombstoneTTL)
	r.ackDeadline, r.disconnectAt = time.Time{}, time.Time{}
	s.updateWatched(r)
	s.queueUpdate(r.id())
}

// expireDeadlines acts on the deadlines that have passed.
func (s *State) expireDeadlines(now time.Time) {
	for _, id := range s.watchedIDs() {
		r := s.members[id]
		if hasPassed(now, r.ackDeadline) {
			s.pingTimedOut(now, r)
		}
		if hasPassed(now, r.disconnectAt) {
			s.reconnect(now, r)
		}
		if hasPassed(now, r.suspicionDeadline()) {
			s.declareDead(now, r)
		}
		s.updateWatched(r)
	}
}

// pingTimedOut acts on a ping without an answer.
func (s *State) pingTimedOut(now time.Time, r *record) {
	r.ackDeadline = time.Time{}
	r.disconnectAt = now.Add(disconnectDelay)
	if r.state() == wire.MemberState_MEMBER_ALIVE {
		s.suspect(now, r)
	}
}

// reconnect gives a silent connection up: a new one may work.
func (s *State) reconnect(now time.Time, r *record) {
	r.disconnectAt = time.Time{}
	if !r.connected {
		return
	}
	s.effects = append(s.effects, core.Hangup{Peer: r.id()})
	s.redial(now, r.member.PeerAddr)
}

// removeTombstones forgets the dead whose tombstones have run out.
func (s *State) removeTombstones(now time.Time) {
	for i := len(s.sortedIDs) - 1; i >= 0; i-- {
		r := s.members[s.sortedIDs[i]]
		if r.state() == wire.MemberState_MEMBER_DEAD && !r.connected && hasPassed(now, r.stateDeadline) {
			s.removeRecord(r.id())
		}
	}
}

func hasPassed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
