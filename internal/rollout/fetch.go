package rollout

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// pendingFetch is the fetch of a higher generation that is in flight. There is at
// most one; its peer is empty if there is none.
type pendingFetch struct {
	peer     core.RouterID
	deadline time.Time
}

// pendingDecode is a peer's response that the runtime is decoding.
type pendingDecode struct {
	peer     core.RouterID
	deadline time.Time
}

// fetchHigher fetches from the peer with the highest generation, if that is higher
// than this router's and nothing is being fetched or decoded.
func (s *State) fetchHigher() {
	if s.fetch.peer != "" || len(s.decodings) > 0 {
		return
	}
	var best *peer
	for _, p := range s.ranked() {
		if p.generation > s.highestHeld() && !p.backingOff(s.now) && (best == nil || p.generation > best.generation) {
			best = p
		}
	}
	if best != nil {
		s.fetchFrom(best, s.inForce.Generation)
	}
}

// fetchFrom sends a peer a fetch for the parts that are new since a generation; 0
// requests all parts.
func (s *State) fetchFrom(p *peer, since uint64) {
	s.fetch = pendingFetch{peer: p.id, deadline: s.now.Add(fetchTimeout)}
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigFetch{
		ConfigFetch: &wire.ConfigFetch{Generation: since},
	}})
}

// handleParts processes a peer's response to a fetch or a probe.
func (s *State) handleParts(p *peer, message *wire.ConfigParts) {
	p.endProbe()
	requested := s.fetch.peer == p.id
	if requested {
		s.fetch = pendingFetch{}
	}
	if message.GetGeneration() <= s.highestExpected() {
		s.handleNoHigherGeneration(p, message.GetGeneration(), requested)
		return
	}
	head, err := configstore.DecodeHead(message.GetHead())
	if err != nil || head.Generation != message.GetGeneration() {
		p.recordFailure(s.now)
		return
	}
	p.observeGeneration(head.Generation)
	parts, err := configstore.Assemble(head, message.GetParts(), s.inForce.Parts)
	if err != nil {
		s.handleMissingParts(p, requested)
		return
	}
	s.startDecoding(p, head, message.GetHead(), parts)
}

// handleNoHigherGeneration processes a response without a higher generation. If the
// peer was known to have one and still did not send it, the fetch has failed.
func (s *State) handleNoHigherGeneration(p *peer, generation uint64, requested bool) {
	p.observeGeneration(generation)
	if requested && p.generation > s.highestExpected() {
		p.recordFailure(s.now)
	}
}

// handleMissingParts processes a response that does not have all parts that this
// router lacks. If the router had fetched only the new parts and this is the
// peer's first failure, it fetches all parts.
func (s *State) handleMissingParts(p *peer, requested bool) {
	p.recordFailure(s.now)
	if requested && s.inForce.Generation != 0 && p.failures == 1 {
		s.fetchFrom(p, 0)
	}
}

// startDecoding requests the runtime to decode the parts of a generation.
func (s *State) startDecoding(p *peer, head configstore.Head, headData []byte, parts [][]byte) {
	s.decodings[head.Generation] = pendingDecode{peer: p.id, deadline: s.now.Add(fetchTimeout)}
	s.emit(core.DecodeConfig{Parts: &wire.ConfigParts{
		Generation: head.Generation,
		Digest:     head.Digest,
		Head:       headData,
		Parts:      parts,
	}})
}

// finishDecoding ends the decoding of a generation. If it succeeded, the peer's
// backoff is reset.
func (s *State) finishDecoding(head core.ConfigHead) {
	if p, ok := s.peers[s.decodings[head.Generation].peer]; ok && head.Config != nil {
		p.failures = 0
		p.backoffUntil = time.Time{}
	}
	delete(s.decodings, head.Generation)
}

// expireDeadlines ends fetches, decodings and probes that have timed out. A peer
// whose probe timed out may be probed again.
func (s *State) expireDeadlines() {
	if reached(s.fetch.deadline, s.now) {
		s.recordPeerFailure(s.fetch.peer)
		s.fetch = pendingFetch{}
	}
	for generation, d := range s.decodings {
		if reached(d.deadline, s.now) {
			s.recordPeerFailure(d.peer)
			delete(s.decodings, generation)
		}
	}
	for _, p := range s.peers {
		if reached(p.probeDeadline, s.now) {
			p.endProbe()
			p.probed = false
		}
	}
}

// recordPeerFailure records a failure of a peer, if it is still connected.
func (s *State) recordPeerFailure(id core.RouterID) {
	if p, ok := s.peers[id]; ok {
		p.recordFailure(s.now)
	}
}

// reached reports whether a deadline is set and has passed.
func reached(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// serveParts responds to a fetch with the parts that are new since a generation.
// It ignores a fetch that repeats the last one within serveInterval.
func (s *State) serveParts(p *peer, since uint64) {
	p.observeGeneration(since)
	if !p.servedAt.IsZero() && p.servedSince == since && s.now.Before(p.servedAt.Add(serveInterval)) {
		return
	}
	p.servedSince, p.servedAt = since, s.now
	p.noticeSent, p.noticeSentAt = s.inForce.Generation, s.now
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{
		Generation: s.inForce.Generation,
		Digest:     s.inForce.Digest,
		Head:       s.inForce.Head,
		Parts:      s.partsSince(since),
	}}})
}

// partsSince returns the manifest and parts in force that a generation did not
// have, or all of them if that generation is not among the delta bases.
func (s *State) partsSince(generation uint64) [][]byte {
	i := slices.IndexFunc(s.deltaBases, func(b deltaBase) bool { return b.generation == generation })
	if i < 0 {
		return s.inForce.Parts
	}
	var out [][]byte
	for _, data := range s.inForce.Parts {
		if !s.deltaBases[i].parts[config.PartDigest(data)] {
			out = append(out, data)
		}
	}
	return out
}
