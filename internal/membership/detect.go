package membership

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// peerUp records a new connection, which is direct evidence that an incarnation is
// alive.
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

// takeOverAddress makes r the router at its peer address. Another incarnation known
// at that address is declared dead.
func (s *State) takeOverAddress(now time.Time, r *record) {
	addr := r.member.PeerAddr
	if old := s.members[s.byAddr[addr]]; old != nil && old != r {
		s.declareDead(now, old)
	}
	s.byAddr[addr] = r.id()
}

// recordContact records that something arrived on a router's own connection. A
// suspect or dead router becomes alive again. Its previous record is relayed to it, so
// that it refutes that state by raising its version.
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

// relayClaim sends a claim about a connected router to that router, so that it can
// refute it. Claims of the same or an older version are not sent again.
func (s *State) relayClaim(r *record, claim *wire.Member) {
	if r.connected && claim.Version > r.relayedVersion {
		r.relayedVersion = claim.Version
		s.send(r.id(), newGossip(false, claim))
	}
}

// peerDown handles a closed connection. An alive router becomes suspect and is
// dialled again; a leaving one is declared dead.
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

// dialFailed makes the router at the address suspect if it is alive and not
// connected.
func (s *State) dialFailed(now time.Time, addr string) {
	r := s.members[s.byAddr[addr]]
	if r != nil && !r.connected && r.state() == wire.MemberState_MEMBER_ALIVE {
		s.suspect(now, r)
	}
}

// suspect makes a router suspect and starts its suspicion timeout.
func (s *State) suspect(now time.Time, r *record) {
	s.setMemberState(r, wire.MemberState_MEMBER_SUSPECT)
	r.stateDeadline = now.Add(SuspicionTimeout)
	s.updateWatched(r)
	s.queueUpdate(r.id())
}

// declareDead declares an incarnation dead and starts its tombstone. A connection
// that is still open is unresponsive and is closed.
func (s *State) declareDead(now time.Time, r *record) {
	if r.state() == wire.MemberState_MEMBER_DEAD {
		return
	}
	if r.connected {
		s.effects = append(s.effects, core.Disconnect{Peer: r.id()})
	}
	s.setMemberState(r, wire.MemberState_MEMBER_DEAD)
	r.stateDeadline = now.Add(tombstoneTTL)
	r.ackDeadline, r.disconnectAt = time.Time{}, time.Time{}
	s.updateWatched(r)
	s.queueUpdate(r.id())
}

// expireDeadlines handles the deadlines that have passed.
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

// pingTimedOut makes a router suspect that did not answer a ping, and schedules the
// closing of its connection.
func (s *State) pingTimedOut(now time.Time, r *record) {
	r.ackDeadline = time.Time{}
	r.disconnectAt = now.Add(disconnectDelay)
	if r.state() == wire.MemberState_MEMBER_ALIVE {
		s.suspect(now, r)
	}
}

// reconnect closes an unresponsive connection and dials again, since a new
// connection may work.
func (s *State) reconnect(now time.Time, r *record) {
	r.disconnectAt = time.Time{}
	if !r.connected {
		return
	}
	s.effects = append(s.effects, core.Disconnect{Peer: r.id()})
	s.redial(now, r.member.PeerAddr)
}

// removeTombstones deletes the records of dead routers whose tombstones have
// expired.
func (s *State) removeTombstones(now time.Time) {
	for i := len(s.sortedIDs) - 1; i >= 0; i-- {
		r := s.members[s.sortedIDs[i]]
		if r.state() == wire.MemberState_MEMBER_DEAD && !r.connected && hasPassed(now, r.stateDeadline) {
			s.removeRecord(r.id())
		}
	}
}

// hasPassed reports whether a deadline is set and has been reached.
func hasPassed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
