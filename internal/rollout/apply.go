package rollout

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

// pollState is the turn of asking the platform.
type pollState struct {
	nextAt  time.Time
	pending bool
	retry   time.Duration
}

// pollStore asks the platform when it is due.
func (s *State) pollStore() {
	if s.now.Before(s.poll.nextAt) {
		return
	}
	if s.poll.pending {
		s.poll.retry = min(2*s.poll.retry, pollRetryMax)
	} else {
		s.poll.retry = pollRetryMin
	}
	s.poll.pending = true
	s.poll.nextAt = s.now.Add(s.poll.retry)
	s.emit(core.FetchConfig{})
}

// schedulePoll notes an answer of the platform. Routers take their turns apart.
func (s *State) schedulePoll() {
	s.poll.pending = false
	jitter := time.Duration(hash(string(s.self))%1000) * pollInterval / 1000
	s.poll.nextAt = s.now.Add(pollInterval/2 + jitter)
}

// handleConfigHead takes in a configuration that the platform or a peer had.
func (s *State) handleConfigHead(head core.ConfigHead) {
	if _, ok := s.decodings[head.Generation]; ok {
		s.finishDecoding(head)
	} else {
		s.schedulePoll()
	}
	if head.Config == nil || head.Generation <= s.highestHeld() {
		return
	}
	if s.candidate.Config == nil {
		s.candidateSince = s.now
	}
	s.candidate = head
}

// applyCandidate applies the candidate once nothing higher is expected, or after
// gatherFor.
func (s *State) applyCandidate() {
	if s.candidate.Config == nil || s.now.Before(s.candidateDue()) {
		return
	}
	s.apply(s.candidate)
	s.candidate = core.ConfigHead{}
}

// candidateDue is when the candidate is applied; zero if there is none.
func (s *State) candidateDue() time.Time {
	if s.candidate.Config == nil {
		return time.Time{}
	}
	if s.expectsHigher() {
		return s.candidateSince.Add(gatherWindow)
	}
	if s.inForce.Config == nil {
		return timers.Earliest(s.started.Add(gatherWindow), s.candidateSince.Add(gatherWindow))
	}
	return s.candidateSince
}

// expectsHigher reports whether an answer under way may bring a generation above
// the candidate.
func (s *State) expectsHigher() bool {
	if s.highestExpected() > s.candidate.Generation {
		return true
	}
	if s.inForce.Config == nil && s.poll.pending {
		return true
	}
	for _, p := range s.peers {
		if p.generation > s.candidate.Generation && !p.backingOff(s.now) || !p.probeDeadline.IsZero() {
			return true
		}
	}
	return false
}

// apply puts a generation in force.
func (s *State) apply(head core.ConfigHead) {
	s.inForce = head
	s.deltaBases = append(s.deltaBases, deltaBase{head.Generation, partDigests(head.Parts)})
	if len(s.deltaBases) > maxDeltaBases {
		s.deltaBases = s.deltaBases[1:]
	}
	s.appliedAt, s.nextNotice = s.now, s.now
	s.emit(core.Apply{Generation: head.Generation, Config: head.Config})
}

func partDigests(parts [][]byte) map[string]bool {
	set := make(map[string]bool, len(parts))
	for _, data := range parts {
		set[config.PartDigest(data)] = true
	}
	return set
}
