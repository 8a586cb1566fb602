package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// queryHolder asks the holder of the record what became of its nonce. The query
// is repeated every queryInterval until queryDeadline.
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

// handleNonceState acts on the state of the nonce in the record, as reported by
// its holder: a nonce that was never sent is taken over, any other state refuses
// the request.
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

// handlePeerMessage handles claim queries and replies of other routers.
func (s *State) handlePeerMessage(m core.PeerMessage) {
	if q := m.Message.GetClaimQuery(); q != nil {
		s.replyToQuery(m.From, q)
	}
	if r := m.Message.GetClaimReply(); r != nil {
		s.handleReply(m.From, r)
	}
}

// replyToQuery reports the state of a nonce to the router that asked for it.
func (s *State) replyToQuery(to core.RouterID, q *wire.ClaimQuery) {
	r := &wire.ClaimReply{Key: q.GetKey(), Nonce: q.GetNonce(), State: s.nonceState(q.GetKey(), q.GetNonce())}
	s.emit(core.SendPeer{To: to, Message: &wire.Envelope{
		Body: &wire.Envelope_ClaimReply{ClaimReply: r},
	}})
}

// nonceState returns what this incarnation knows about a nonce. It is
// CLAIM_UNKNOWN for a nonce that was forgotten or that belongs to another
// incarnation.
func (s *State) nonceState(key, nonce string) wire.ClaimState {
	if s.neverSent.has(nonce) {
		return wire.ClaimState_CLAIM_NEVER_SENT
	}
	if c := s.byKey[key]; c != nil && c.nonce == nonce {
		return wire.ClaimState_CLAIM_IN_FLIGHT
	}
	if u := s.pendingOutcomes[key]; u != nil && u.nonce == nonce {
		if u.final.State == stateDone {
			// The record will hold the outcome soon, so the caller should retry.
			return wire.ClaimState_CLAIM_IN_FLIGHT
		}
		return wire.ClaimState_CLAIM_SENT
	}
	return wire.ClaimState_CLAIM_UNKNOWN
}

// handleReply handles the reply to a query. It ignores replies from other
// incarnations than the one that was asked, and replies about other nonces.
func (s *State) handleReply(from core.RouterID, r *wire.ClaimReply) {
	c := s.byKey[r.GetKey()]
	if c == nil || c.phase != phaseQuery || c.holder != from || c.holderNonce != r.GetNonce() {
		return
	}
	c.handleNonceState(s, r.GetState())
}

// handlePeerDown refuses the requests that wait for a reply of an unreachable
// router.
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
