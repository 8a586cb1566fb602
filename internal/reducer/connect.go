package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// connectTimeout is how long messages wait for a connection that is being
	// established.
	connectTimeout = 2 * time.Second
	// maxPendingMessages limits the messages that wait for a connection to one
	// router.
	maxPendingMessages = 64
)

// pendingMessages are messages to a router without a connection. In a large
// fleet membership connects only neighbours; entries and owners are connected
// when they first have a message for each other.
type pendingMessages struct {
	dialledAt time.Time
	messages  []*wire.Envelope
}

// queueUntilConnected keeps a message to a known router without a connection,
// and dials the router. It returns false if the router is connected, unknown or
// dead.
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

// sendPending sends the messages that waited for a connection which is now
// established.
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

// expirePending drops the messages whose connection was not established in
// time.
func (s *State) expirePending() {
	for id, p := range s.pending {
		if s.now.Sub(p.dialledAt) > connectTimeout {
			delete(s.pending, id)
		}
	}
}
