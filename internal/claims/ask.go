package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// ask sends the query to the holder; it is sent again until the time is up.
func (c *claim) ask(s *State, now time.Time) {
	c.phase = phaseAsk
	query := &wire.ClaimQuery{Key: c.key, Nonce: c.held}
	s.effect(core.SendPeer{To: c.holder, Message: &wire.Envelope{
		Body: &wire.Envelope_ClaimQuery{ClaimQuery: query},
	}})
	next := now.Add(askEvery)
	if next.After(c.askUntil) {
		next = c.askUntil
	}
	c.setWake(s, next)
}

// answered acts on what the holder knows of the nonce in the record.
func (c *claim) answered(s *State, state wire.ClaimState) {
	switch state {
	case wire.ClaimState_CLAIM_NEVER_SENT:
		c.foreign = false
		c.write(s, c.heldAt)
	case wire.ClaimState_CLAIM_IN_FLIGHT:
		c.end(s, inProgress(c.request))
	default:
		c.end(s, unknown(c.request, 0))
	}
}

// message takes queries and replies of other routers.
func (s *State) message(m core.PeerMessage) {
	if q := m.Message.GetClaimQuery(); q != nil {
		s.reply(m.From, q)
	}
	if r := m.Message.GetClaimReply(); r != nil {
		s.replied(m.From, r)
	}
}

// reply tells another router what became of a nonce.
func (s *State) reply(to core.RouterID, q *wire.ClaimQuery) {
	r := &wire.ClaimReply{Key: q.GetKey(), Nonce: q.GetNonce(), State: s.stateOf(q.GetKey(), q.GetNonce())}
	s.effect(core.SendPeer{To: to, Message: &wire.Envelope{
		Body: &wire.Envelope_ClaimReply{ClaimReply: r},
	}})
}

// stateOf is what this incarnation knows of a nonce. Of a nonce that it does
// not know it says nothing, be it forgotten or another incarnation's.
func (s *State) stateOf(key, nonce string) wire.ClaimState {
	if s.never.has(nonce) {
		return wire.ClaimState_CLAIM_NEVER_SENT
	}
	if c := s.byKey[key]; c != nil && c.nonce == nonce {
		return wire.ClaimState_CLAIM_IN_FLIGHT
	}
	if a := s.recording[key]; a != nil && a.nonce == nonce {
		if a.final.State == stateDone {
			// The outcome is about to stand in the record.
			return wire.ClaimState_CLAIM_IN_FLIGHT
		}
		return wire.ClaimState_CLAIM_SENT
	}
	return wire.ClaimState_CLAIM_UNKNOWN
}

// replied takes the word of the incarnation that was asked, on the nonce that
// it was asked about, and no other.
func (s *State) replied(from core.RouterID, r *wire.ClaimReply) {
	c := s.byKey[r.GetKey()]
	if c == nil || c.phase != phaseAsk || c.holder != from || c.held != r.GetNonce() {
		return
	}
	c.answered(s, r.GetState())
}

// peerDown ends the waits for a router that cannot be reached.
func (s *State) peerDown(peer core.RouterID) {
	var waiting []*claim
	for _, c := range s.byKey {
		if c.phase == phaseAsk && c.holder == peer {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *claim) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range waiting {
		c.end(s, unknown(c.request, retryUnknown))
	}
}
