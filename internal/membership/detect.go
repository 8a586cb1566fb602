package membership

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// peerUp is direct evidence that an incarnation lives.
func (s *State) peerUp(now time.Time, m *wire.Member) {
	if !valid(m) || m.Id == s.self.Id {
		return
	}
	r := s.members[core.RouterID(m.Id)]
	newcomer := r == nil || !r.isAlive() || r.state() == wire.MemberState_MEMBER_SUSPECT
	if r == nil {
		r = s.add(m)
	} else if m.Version > r.member.Version {
		s.replace(r, m)
	}
	r.connected = true
	s.succeed(now, r)
	s.heard(now, r)
	if t := s.targets[m.PeerAddr]; t != nil {
		t.reset()
	}
	if newcomer {
		s.announce(r.id())
	}
	if newcomer || s.mesh() {
		s.sendEverything(r.id())
	}
}

// succeed makes r the router at its address: an earlier incarnation that was
// there is dead.
func (s *State) succeed(now time.Time, r *record) {
	addr := r.member.PeerAddr
	if old := s.members[s.byAddr[addr]]; old != nil && old != r {
		s.kill(now, old)
	}
	s.byAddr[addr] = r.id()
}

// heard notes a sign of life on a router's own connection.
func (s *State) heard(now time.Time, r *record) {
	r.heard = now
	r.probeUntil, r.hangupAt = time.Time{}, time.Time{}
	switch r.state() {
	case wire.MemberState_MEMBER_SUSPECT, wire.MemberState_MEMBER_DEAD:
		s.tell(r, r.member)
		s.restate(r, wire.MemberState_MEMBER_ALIVE)
	}
	s.watch(r)
}

// tell passes a false claim on to the router it is about, which refutes it.
func (s *State) tell(r *record, claim *wire.Member) {
	if r.connected && claim.Version > r.told {
		r.told = claim.Version
		s.send(r.id(), gossip(false, claim))
	}
}

// peerDown puts a router under suspicion and tries to reach it again.
func (s *State) peerDown(now time.Time, id core.RouterID) {
	r := s.members[id]
	if r == nil || !r.connected {
		return
	}
	r.connected = false
	r.probeUntil, r.hangupAt = time.Time{}, time.Time{}
	switch r.state() {
	case wire.MemberState_MEMBER_ALIVE:
		s.suspect(now, r)
		s.dialNow(now, r.member.PeerAddr)
	case wire.MemberState_MEMBER_LEAVING:
		s.kill(now, r)
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
	s.restate(r, wire.MemberState_MEMBER_SUSPECT)
	r.until = now.Add(SuspicionTimeout)
	s.watch(r)
	s.announce(r.id())
}

// kill declares an incarnation dead. Its connection, if one still stands, is
// silent and given up.
func (s *State) kill(now time.Time, r *record) {
	if r.state() == wire.MemberState_MEMBER_DEAD {
		return
	}
	if r.connected {
		s.effects = append(s.effects, core.Hangup{Peer: r.id()})
	}
	s.restate(r, wire.MemberState_MEMBER_DEAD)
	r.until = now.Add(tombstoneLife)
	r.probeUntil, r.hangupAt = time.Time{}, time.Time{}
	s.watch(r)
	s.announce(r.id())
}

// expire acts on the deadlines that have passed.
func (s *State) expire(now time.Time) {
	for _, id := range s.watchedIDs() {
		r := s.members[id]
		if passed(now, r.probeUntil) {
			s.unanswered(now, r)
		}
		if passed(now, r.hangupAt) {
			s.reconnect(now, r)
		}
		if passed(now, r.suspectUntil()) {
			s.kill(now, r)
		}
		s.watch(r)
	}
}

// unanswered acts on a ping without an answer.
func (s *State) unanswered(now time.Time, r *record) {
	r.probeUntil = time.Time{}
	r.hangupAt = now.Add(hangupDelay)
	if r.state() == wire.MemberState_MEMBER_ALIVE {
		s.suspect(now, r)
	}
}

// reconnect gives a silent connection up: a new one may work.
func (s *State) reconnect(now time.Time, r *record) {
	r.hangupAt = time.Time{}
	if !r.connected {
		return
	}
	s.effects = append(s.effects, core.Hangup{Peer: r.id()})
	s.dialNow(now, r.member.PeerAddr)
}

// bury forgets the dead whose tombstones have run out.
func (s *State) bury(now time.Time) {
	for i := len(s.order) - 1; i >= 0; i-- {
		r := s.members[s.order[i]]
		if r.state() == wire.MemberState_MEMBER_DEAD && !r.connected && passed(now, r.until) {
			s.forget(r.id())
		}
	}
}

func passed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
