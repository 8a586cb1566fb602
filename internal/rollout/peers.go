package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// peer is a connected router.
type peer struct {
	id core.RouterID
	// rank orders the peers differently at each router.
	rank uint32
	// generation is the highest generation that the peer is known to have in force.
	generation uint64
	// noticeSent is the generation that the peer was told of last, and when.
	noticeSent   uint64
	noticeSentAt time.Time
	// noticeReceived is the generation that the peer told us of last.
	noticeReceived uint64
	// probed means that the peer was asked without knowing its generation.
	probed        bool
	probeDeadline time.Time
	// failures counts fetches without an answer in a row.
	failures     int
	backoffUntil time.Time
	// servedSince is the base of the last answer, and when it was given.
	servedSince uint64
	servedAt    time.Time
}

func (p *peer) backingOff(now time.Time) bool { return now.Before(p.backoffUntil) }

// recordFailure passes the peer over for a while.
func (p *peer) recordFailure(now time.Time) {
	backoff := min(peerBackoffMin<<min(p.failures, 10), peerBackoffMax)
	p.failures++
	p.backoffUntil = now.Add(backoff)
}

// observeGeneration notes a generation that the peer has in force.
func (p *peer) observeGeneration(generation uint64) { p.generation = max(p.generation, generation) }

// handlePeerUp notes a connected peer.
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

// handlePeerDown forgets a peer and what it was asked.
func (s *State) handlePeerDown(ev core.PeerDown) {
	delete(s.peers, ev.Peer)
	s.rankedPeers = nil
	if s.fetch.peer == ev.Peer {
		s.fetch = pendingFetch{}
	}
}

// ranked returns the peers in the order of this router.
func (s *State) ranked() []*peer {
	if s.rankedPeers == nil {
		s.rankedPeers = slices.SortedFunc(maps.Values(s.peers), func(a, b *peer) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
		})
	}
	return s.rankedPeers
}

// isRelevant reports whether a message may bear on the configuration.
func isRelevant(message *wire.Envelope) bool {
	switch message.GetBody().(type) {
	case *wire.Envelope_ConfigNotice, *wire.Envelope_ConfigFetch, *wire.Envelope_ConfigParts,
		*wire.Envelope_Ping, *wire.Envelope_Ack, *wire.Envelope_Gossip:
		return true
	}
	return false
}

// handleMessage takes in a message of a connected peer.
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

// observeMembers notes what the membership messages say about connected peers.
func (s *State) observeMembers(members []*wire.Member) {
	for _, member := range members {
		if p, ok := s.peers[core.RouterID(member.GetId())]; ok {
			p.observeGeneration(member.GetGeneration())
		}
	}
}

// probePeers asks peers of which no generation is known, while no configuration is in
// force.
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

func (p *peer) endProbe() { p.probeDeadline = time.Time{} }

// send sends a message to a peer.
func (s *State) send(p *peer, message *wire.Envelope) {
	s.emit(core.SendPeer{To: p.id, Message: message})
}
