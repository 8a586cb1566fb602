package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// parkFor is how long messages wait for a connection that is being made.
	parkFor = 2 * time.Second
	// parkedMost bounds the messages that wait for one router.
	parkedMost = 64
)

// parked are messages to a router without a connection. In a large fleet
// membership connects neighbours only; entries and owners that have to do with
// each other are connected when they first have something to say.
type parked struct {
	since    time.Time
	messages []*wire.Envelope
}

// park keeps a message to a known router without a connection and has one made.
// It returns false if the message can go, or has nowhere to go.
func (s *State) park(m core.SendPeer) bool {
	if s.members.Connected(m.To) {
		return false
	}
	peer, known := s.members.Peer(m.To)
	if !known || peer.State == wire.MemberState_MEMBER_DEAD {
		return false
	}
	p := s.parked[m.To]
	if p == nil || s.now.Sub(p.since) > parkFor {
		p = &parked{since: s.now}
		s.parked[m.To] = p
		s.out = append(s.out, core.Dial{Addr: peer.PeerAddr})
	}
	if len(p.messages) < parkedMost {
		p.messages = append(p.messages, m.Message)
	}
	return true
}

// unpark sends what waited for a connection that now stands.
func (s *State) unpark(id core.RouterID) {
	p := s.parked[id]
	if p == nil {
		return
	}
	delete(s.parked, id)
	if s.now.Sub(p.since) > parkFor {
		return
	}
	for _, m := range p.messages {
		s.out = append(s.out, core.SendPeer{To: id, Message: m})
	}
}

// expireParked forgets messages whose connection did not come about.
func (s *State) expireParked() {
	for id, p := range s.parked {
		if s.now.Sub(p.since) > parkFor {
			delete(s.parked, id)
		}
	}
}
