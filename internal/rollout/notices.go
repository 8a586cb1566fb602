package rollout

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// sendDueNotices tells some of the peers that are behind, and those that wait to hear that
// this router has the generation.
func (s *State) sendDueNotices() {
	if s.inForce.Config == nil || s.now.Before(s.nextNotice) {
		return
	}
	limit, interval := s.noticeLimits()
	sent := 0
	for _, p := range s.ranked() {
		if due := s.peerNoticeDue(p); due.IsZero() || s.now.Before(due) {
			continue
		}
		if sent == limit {
			break
		}
		sent++
		s.sendNotice(p)
	}
	if sent > 0 {
		s.nextNotice = s.now.Add(interval)
	}
}

// noticeLimits is how many peers may be told now, and the pause after them.
func (s *State) noticeLimits() (limit int, interval time.Duration) {
	switch {
	case s.now.Equal(s.appliedAt):
		return initialFanout, spreadInterval
	case s.now.Before(s.appliedAt.Add(spreadDuration)):
		return repeatFanout, spreadInterval
	}
	return 1, lateInterval
}

// noticeImmediately tells a peer that has just come up behind this router, or that has
// just told it of the generation in force.
func (s *State) noticeImmediately(p *peer) {
	if s.inForce.Config != nil && !s.peerNoticeDue(p).IsZero() && p.noticeSent < s.inForce.Generation {
		s.sendNotice(p)
	}
}

func (s *State) sendNotice(p *peer) {
	p.noticeSent, p.noticeSentAt = s.inForce.Generation, s.now
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{
		Generation: s.inForce.Generation,
		Digest:     s.inForce.Digest,
	}}})
}

// peerNoticeDue is when a peer is to be told of the generation in force; zero if it
// need not be told.
func (s *State) peerNoticeDue(p *peer) time.Time {
	current := s.inForce.Generation
	switch {
	case p.generation < current && p.noticeSent < current:
		return s.nextNotice
	case p.generation < current:
		return p.noticeSentAt.Add(noticeRetryInterval)
	case p.noticeReceived == current && p.noticeSent < current:
		return s.nextNotice
	}
	return time.Time{}
}

// nextNoticeDue is when the next peer is to be told; zero if none is.
func (s *State) nextNoticeDue() time.Time {
	var earliest time.Time
	if s.inForce.Config == nil {
		return earliest
	}
	for _, p := range s.peers {
		if due := s.peerNoticeDue(p); !due.IsZero() {
			earliest = timers.Earliest(earliest, latest(due, s.nextNotice))
		}
	}
	return earliest
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
