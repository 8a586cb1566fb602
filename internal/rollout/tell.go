package rollout

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// tell tells some of the peers that are behind, and those that wait to hear that
// this router has the generation.
func (s *State) tell() {
	if s.force.Config == nil || s.now.Before(s.nextTell) {
		return
	}
	most, pause := s.pace()
	told := 0
	for _, p := range s.ranked() {
		if at := s.tellPeerAt(p); at.IsZero() || s.now.Before(at) {
			continue
		}
		if told == most {
			break
		}
		told++
		s.notice(p)
	}
	if told > 0 {
		s.nextTell = s.now.Add(pause)
	}
}

// pace is how many peers may be told now, and the pause after them.
func (s *State) pace() (most int, pause time.Duration) {
	switch {
	case s.now.Equal(s.appliedAt):
		return fanout, spreadEvery
	case s.now.Before(s.appliedAt.Add(spreadFor)):
		return trickle, spreadEvery
	}
	return 1, lateEvery
}

// tellAtOnce tells a peer that has just come up behind this router, or that has
// just told it of the generation in force.
func (s *State) tellAtOnce(p *peer) {
	if s.force.Config != nil && !s.tellPeerAt(p).IsZero() && p.told < s.force.Generation {
		s.notice(p)
	}
}

func (s *State) notice(p *peer) {
	p.told, p.toldAt = s.force.Generation, s.now
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{
		Generation: s.force.Generation,
		Digest:     s.force.Digest,
	}}})
}

// tellPeerAt is when a peer is to be told of the generation in force; zero if it
// need not be told.
func (s *State) tellPeerAt(p *peer) time.Time {
	current := s.force.Generation
	switch {
	case p.known < current && p.told < current:
		return s.nextTell
	case p.known < current:
		return p.toldAt.Add(tellAgain)
	case p.toldUs == current && p.told < current:
		return s.nextTell
	}
	return time.Time{}
}

// tellAt is when the next peer is to be told; zero if none is.
func (s *State) tellAt() time.Time {
	var at time.Time
	if s.force.Config == nil {
		return at
	}
	for _, p := range s.peers {
		if next := s.tellPeerAt(p); !next.IsZero() {
			at = timers.Earliest(at, later(next, s.nextTell))
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
