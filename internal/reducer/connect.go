package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// connectTimeout is how long messages wait for a connection that is being made.
	connectTimeout = 2 * time.Second
	// maxPendingMessages bounds the messages that wait for one router.
	maxPendingMessages = 64
)

// pendingMessages are messages to a router without a connection. In a large fleet
// membership connects neighbours only; entries and owners that have to do with
// each other are connected when they first have something to say.
type pendingMessages struct {
	dialledAt time.Time
	messages  []*wire.Envelope
}

// queueUntilConnected keeps a message to a known router without a connection and has one made.
// It returns false if the message can go, or has nowhere to go.
func (s *State) queueUntilConnected(m core.SendPeer) bool {
	if s.members.Connected(m.To) {
		return false
	}
	peer, known := s.members.Peer(m.To)
	if !known || peer.State == wire.MemberState_MEMBER_DEAD {
		return false
	}
	p := s.pending[m.To]
	if p == nil || s.now.Sub(p.dialledAt) > connectTimeout {
		p = &pendingMessages{dialledAt: s.now}
		s.pending[m.To] = p
		s.stepEffects = append(s.stepEffects, core.Dial{Addr: peer.PeerAddr})
	}
	if len(p.messages) < maxPendingMessages {
		p.messages = append(p.messages, m.Message)
	}
	return true
}

// sendPending sends what waited for a connection that now stands.
func (s *State) sendPending(id core.RouterID) {
	p := s.pending[id]
	if p == nil {
		return
	}
	delete(s.pending, id)
	if s.now.Sub(p.dialledAt) > connectTimeout {
		return
	}
	for _, m := range p.messages {
		s.stepEffects = append(s.stepEffects, core.SendPeer{To: id, Message: m})
	}
}

// expirePending forgets messages whose connection did not come about.
func (s *State) expirePending() {
	for id, p := range s.pending {
		if s.now.Sub(p.dialledAt) > connectTimeout {
			delete(s.pending, id)
		}
	}
}
