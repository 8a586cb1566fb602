package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// peer is what this router knows of a connected router.
type peer struct {
	id core.RouterID
	// rank is the peer's place in the order of ranked, which differs between routers.
	rank uint32
	// generation is the highest generation that the peer is known to have in force;
	// 0 if none is known.
	generation uint64
	// noticeSent is the generation that was last sent to the peer, in a notice or in
	// a response to a fetch, and noticeSentAt is when.
	noticeSent   uint64
	noticeSentAt time.Time
	// noticeReceived is the generation in the last notice from the peer.
	noticeReceived uint64
	// probed means that a probe was sent and has not timed out. probeDeadline is
	// when the probe in flight times out; zero if none is.
	probed        bool
	probeDeadline time.Time
	// failures counts the failures of the peer since the last generation from it that
	// was decoded, and backoffUntil is until when nothing is fetched from it.
	failures     int
	backoffUntil time.Time
	// servedSince is the generation that the peer stated in the last fetch that was
	// served, and servedAt is when.
	servedSince uint64
	servedAt    time.Time
}

// backingOff reports whether nothing is to be fetched from the peer yet.
func (p *peer) backingOff(now time.Time) bool { return now.Before(p.backoffUntil) }

// recordFailure counts a failure of the peer and starts an exponential backoff.
func (p *peer) recordFailure(now time.Time) {
	backoff := min(peerBackoffMin<<min(p.failures, 10), peerBackoffMax)
	p.failures++
	p.backoffUntil = now.Add(backoff)
}

// observeGeneration records a generation that the peer has in force. Messages may
// arrive out of order, so a lower one is ignored.
func (p *peer) observeGeneration(generation uint64) { p.generation = max(p.generation, generation) }

// handlePeerUp adds a connected peer and notifies it if it is behind.
func (s *State) handlePeerUp(ev core.PeerUp) {
	id := core.RouterID(ev.Member.GetId())
	if id == "" || id == s.self {
		return
	}
	p := &peer{id: id, rank: hash(string(s.self), string(id))}
	p.observeGeneration(ev.Member.GetGeneration())
	s.peers[id] = p
	s.rankedPeers = nil
	s.noticeImmediately(p)
}

// handlePeerDown removes a peer and its fetch in flight.
func (s *State) handlePeerDown(ev core.PeerDown) {
	delete(s.peers, ev.Peer)
	s.rankedPeers = nil
	if s.fetch.peer == ev.Peer {
		s.fetch = pendingFetch{}
	}
}

// ranked returns the peers in an order that differs between routers, so that
// fetches and notices are distributed over the fleet.
func (s *State) ranked() []*peer {
	if s.rankedPeers == nil {
		s.rankedPeers = slices.SortedFunc(maps.Values(s.peers), func(a, b *peer) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
		})
	}
	return s.rankedPeers
}

// isRelevant reports whether a message may concern the configuration. Membership
// messages do, as they carry the generations of routers.
func isRelevant(message *wire.Envelope) bool {
	switch message.GetBody().(type) {
	case *wire.Envelope_ConfigNotice, *wire.Envelope_ConfigFetch, *wire.Envelope_ConfigParts,
		*wire.Envelope_Ping, *wire.Envelope_Ack, *wire.Envelope_Gossip:
		return true
	}
	return false
}

// handleMessage processes a message from a connected peer.
func (s *State) handleMessage(ev core.PeerMessage) {
	p, ok := s.peers[ev.From]
	if !ok {
		return
	}
	switch body := ev.Message.GetBody().(type) {
	case *wire.Envelope_ConfigNotice:
		p.observeGeneration(body.ConfigNotice.GetGeneration())
		p.noticeReceived = body.ConfigNotice.GetGeneration()
		p.endProbe()
		s.noticeImmediately(p)
	case *wire.Envelope_ConfigFetch:
		s.serveParts(p, body.ConfigFetch.GetGeneration())
	case *wire.Envelope_ConfigParts:
		s.handleParts(p, body.ConfigParts)
	case *wire.Envelope_Ping:
		s.observeMembers(body.Ping.GetUpdates())
	case *wire.Envelope_Ack:
		s.observeMembers(body.Ack.GetUpdates())
	case *wire.Envelope_Gossip:
		s.observeMembers(body.Gossip.GetUpdates())
	}
}

// observeMembers records the generations of connected peers from a membership
// message.
func (s *State) observeMembers(members []*wire.Member) {
	for _, member := range members {
		if p, ok := s.peers[core.RouterID(member.GetId())]; ok {
			p.observeGeneration(member.GetGeneration())
		}
	}
}

// probePeers sends fetches to peers whose generation is not known, while no
// configuration is in force.
func (s *State) probePeers() {
	if s.inForce.Config != nil {
		return
	}
	remaining := maxProbes
	for _, p := range s.peers {
		if !p.probeDeadline.IsZero() {
			remaining--
		}
	}
	for _, p := range s.ranked() {
		if remaining <= 0 {
			return
		}
		if p.probed || p.generation != 0 {
			continue
		}
		remaining--
		p.probed = true
		p.probeDeadline = s.now.Add(fetchTimeout)
		s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{}}})
	}
}

// endProbe ends the probe in flight, if there is one.
func (p *peer) endProbe() { p.probeDeadline = time.Time{} }

// send sends a message to a peer.
func (s *State) send(p *peer, message *wire.Envelope) {
	s.emit(core.SendPeer{To: p.id, Message: message})
}
