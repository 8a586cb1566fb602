package rollout

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// fetch is the question under way for a higher generation; at most one is.
type fetch struct {
	peer     core.RouterID
	deadline time.Time
}

// decoding is the answer of a peer that the runtime is decoding.
type decoding struct {
	peer     core.RouterID
	deadline time.Time
}

// fetchHigher asks the peer with the highest generation for it.
func (s *State) fetchHigher() {
	if s.fetch.peer != "" || len(s.decodings) > 0 {
		return
	}
	var best *peer
	for _, p := range s.ranked() {
		if p.known > s.highest() && !p.blocked(s.now) && (best == nil || p.known > best.known) {
			best = p
		}
	}
	if best != nil {
		s.fetchFrom(best, s.force.Generation)
	}
}

// fetchFrom asks a peer for what is new since a generation.
func (s *State) fetchFrom(p *peer, since uint64) {
	s.fetch = fetch{peer: p.id, deadline: s.now.Add(fetchTimeout)}
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigFetch{
		ConfigFetch: &wire.ConfigFetch{Generation: since},
	}})
}

// parts takes in the answer to a fetch.
func (s *State) parts(p *peer, message *wire.ConfigParts) {
	p.answeredAsk()
	fetched := s.fetch.peer == p.id
	if fetched {
		s.fetch = fetch{}
	}
	if message.GetGeneration() <= s.coming() {
		s.nothingHigher(p, message.GetGeneration(), fetched)
		return
	}
	head, err := configstore.DecodeHead(message.GetHead())
	if err != nil || head.Generation != message.GetGeneration() {
		p.fail(s.now)
		return
	}
	p.learn(head.Generation)
	parts, err := configstore.Assemble(head, message.GetParts(), s.force.Parts)
	if err != nil {
		s.incomplete(p, fetched)
		return
	}
	s.decode(p, head, message.GetHead(), parts)
}

// nothingHigher notes an answer that brings nothing new. A peer that was known
// to have a higher generation is passed over for a while.
func (s *State) nothingHigher(p *peer, generation uint64, fetched bool) {
	p.learn(generation)
	if fetched && p.known > s.coming() {
		p.fail(s.now)
	}
}

// incomplete asks once more, for all parts.
func (s *State) incomplete(p *peer, fetched bool) {
	p.fail(s.now)
	if fetched && s.force.Generation != 0 && p.failures == 1 {
		s.fetchFrom(p, 0)
	}
}

// decode has the runtime decode the parts of a generation.
func (s *State) decode(p *peer, head configstore.Head, raw []byte, parts [][]byte) {
	s.decodings[head.Generation] = decoding{peer: p.id, deadline: s.now.Add(fetchTimeout)}
	s.emit(core.DecodeConfig{Parts: &wire.ConfigParts{
		Generation: head.Generation,
		Digest:     head.Digest,
		Head:       raw,
		Parts:      parts,
	}})
}

// decoded ends the decoding.
func (s *State) decoded(head core.ConfigHead) {
	if p, ok := s.peers[s.decodings[head.Generation].peer]; ok && head.Config != nil {
		p.failures = 0
		p.blockedUntil = time.Time{}
	}
	delete(s.decodings, head.Generation)
}

// expire gives up what was not answered in time.
func (s *State) expire() {
	if due(s.fetch.deadline, s.now) {
		s.failPeer(s.fetch.peer)
		s.fetch = fetch{}
	}
	for generation, d := range s.decodings {
		if due(d.deadline, s.now) {
			s.failPeer(d.peer)
			delete(s.decodings, generation)
		}
	}
	for _, p := range s.peers {
		if due(p.askDeadline, s.now) {
			p.answeredAsk()
			p.asked = false
		}
	}
}

func (s *State) failPeer(id core.RouterID) {
	if p, ok := s.peers[id]; ok {
		p.fail(s.now)
	}
}

func due(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// serve answers a fetch with the parts that are new since a generation.
func (s *State) serve(p *peer, since uint64) {
	p.learn(since)
	if !p.servedAt.IsZero() && p.served == since && s.now.Before(p.servedAt.Add(serveEvery)) {
		return
	}
	p.served, p.servedAt = since, s.now
	p.told, p.toldAt = s.force.Generation, s.now
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{
		Generation: s.force.Generation,
		Digest:     s.force.Digest,
		Head:       s.force.Head,
		Parts:      s.partsSince(since),
	}}})
}

// partsSince returns the parts that the generation did not have; all of them if
// it is not remembered.
func (s *State) partsSince(generation uint64) [][]byte {
	i := slices.IndexFunc(s.bases, func(b base) bool { return b.generation == generation })
	if i < 0 {
		return s.force.Parts
	}
	var out [][]byte
	for _, data := range s.force.Parts {
		if !s.bases[i].parts[config.PartDigest(data)] {
			out = append(out, data)
		}
	}
	return out
}
