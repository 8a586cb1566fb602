package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// queryHolder sends the query to the holder; it is sent again until the time is up.
func (c *claim) queryHolder(s *State, now time.Time) {
	c.phase = phaseQuery
	query := &wire.ClaimQuery{Key: c.key, Nonce: c.holderNonce}
	s.emit(core.SendPeer{To: c.holder, Message: &wire.Envelope{
		Body: &wire.Envelope_ClaimQuery{ClaimQuery: query},
	}})
	next := now.Add(queryInterval)
	if next.After(c.queryDeadline) {
		next = c.queryDeadline
	}
	c.setWake(s, next)
}

// handleNonceState acts on what the holder knows of the nonce in the record.
func (c *claim) handleNonceState(s *State, state wire.ClaimState) {
	switch state {
	case wire.ClaimState_CLAIM_NEVER_SENT:
		c.otherMayHaveRun = false
		c.writeRecord(s, c.holderIndex)
	case wire.ClaimState_CLAIM_IN_FLIGHT:
		c.endUnsent(s, refuseInProgress(c.request))
	default:
		c.endUnsent(s, refuseUnknown(c.request, 0))
	}
}

// handlePeerMessage takes queries and replies of other routers.
func (s *State) handlePeerMessage(m core.PeerMessage) {
	if q := m.Message.GetClaimQuery(); q != nil {
		s.replyToQuery(m.From, q)
	}
	if r := m.Message.GetClaimReply(); r != nil {
		s.handleReply(m.From, r)
	}
}

// replyToQuery tells another router what became of a nonce.
func (s *State) replyToQuery(to core.RouterID, q *wire.ClaimQuery) {
	r := &wire.ClaimReply{Key: q.GetKey(), Nonce: q.GetNonce(), State: s.nonceState(q.GetKey(), q.GetNonce())}
	s.emit(core.SendPeer{To: to, Message: &wire.Envelope{
		Body: &wire.Envelope_ClaimReply{ClaimReply: r},
	}})
}

// nonceState is what this incarnation knows of a nonce. Of a nonce that it does
// not know it says nothing, be it forgotten or another incarnation's.
func (s *State) nonceState(key, nonce string) wire.ClaimState {
	if s.neverSent.has(nonce) {
		return wire.ClaimState_CLAIM_NEVER_SENT
	}
	if c := s.byKey[key]; c != nil && c.nonce == nonce {
		return wire.ClaimState_CLAIM_IN_FLIGHT
	}
	if u := s.pendingOutcomes[key]; u != nil && u.nonce == nonce {
		if u.final.State == stateDone {
			// The outcome is about to stand in the record.
			return wire.ClaimState_CLAIM_IN_FLIGHT
		}
		return wire.ClaimState_CLAIM_SENT
	}
	return wire.ClaimState_CLAIM_UNKNOWN
}

// handleReply takes the word of the incarnation that was asked, on the nonce that
// it was asked about, and no other.
func (s *State) handleReply(from core.RouterID, r *wire.ClaimReply) {
	c := s.byKey[r.GetKey()]
	if c == nil || c.phase != phaseQuery || c.holder != from || c.holderNonce != r.GetNonce() {
		return
	}
	c.handleNonceState(s, r.GetState())
}

// handlePeerDown ends the waits for a router that cannot be reached.
func (s *State) handlePeerDown(peer core.RouterID) {
	var waiting []*claim
	for _, c := range s.byKey {
		if c.phase == phaseQuery && c.holder == peer {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *claim) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range waiting {
		c.endUnsent(s, refuseUnknown(c.request, retryAfterUnknown))
	}
}
