package rollout

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// sendDueNotices sends notices to the peers for which one is due, as many as
// noticeLimits allows.
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

// noticeLimits returns how many notices may be sent now, and the interval until
// the next ones. The rate is highest just after a generation was applied.
func (s *State) noticeLimits() (limit int, interval time.Duration) {
	switch {
	case s.now.Equal(s.appliedAt):
		return initialFanout, spreadInterval
	case s.now.Before(s.appliedAt.Add(spreadDuration)):
		return repeatFanout, spreadInterval
	}
	return 1, lateInterval
}

// noticeImmediately sends a notice to a peer that has just connected or has just
// sent a notice, regardless of the rate. It does nothing if the peer needs no
// notice or was already sent the generation in force.
func (s *State) noticeImmediately(p *peer) {
	if s.inForce.Config != nil && !s.peerNoticeDue(p).IsZero() && p.noticeSent < s.inForce.Generation {
		s.sendNotice(p)
	}
}

// sendNotice notifies a peer of the generation in force.
func (s *State) sendNotice(p *peer) {
	p.noticeSent, p.noticeSentAt = s.inForce.Generation, s.now
	s.send(p, &wire.Envelope{Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{
		Generation: s.inForce.Generation,
		Digest:     s.inForce.Digest,
	}}})
}

// peerNoticeDue returns when a notice to a peer is due, apart from the rate; zero
// if it needs none. A peer needs a notice if it is behind, or if it sent a notice
// of the generation in force and does not know yet that this router has it.
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

// nextNoticeDue returns when the next notice is to be sent; zero if none is needed.
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

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
