package rollout

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

// pollState is the state of polling the platform for the configuration.
type pollState struct {
	// nextAt is when the next poll is due.
	nextAt time.Time
	// pending means that a poll has no response yet.
	pending bool
	// retry is the delay until a pending poll is retried.
	retry time.Duration
}

// pollStore polls the platform when a poll is due. Polls without a response are
// retried with exponential backoff.
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

// completePoll processes a response of the platform and schedules the next poll.
// The interval depends on the router's id, so that routers poll at different
// times.
func (s *State) completePoll() {
	s.poll.pending = false
	jitter := time.Duration(hash(string(s.self))%1000) * pollInterval / 1000
	s.poll.nextAt = s.now.Add(pollInterval/2 + jitter)
}

// handleConfigHead processes a configuration from the platform, or one from a peer
// that the runtime has decoded, and makes it the candidate if it is the highest.
func (s *State) handleConfigHead(head core.ConfigHead) {
	if _, ok := s.decodings[head.Generation]; ok {
		s.finishDecoding(head)
	} else {
		s.completePoll()
	}
	if head.Config == nil || head.Generation <= s.highestHeld() {
		return
	}
	if s.candidate.Config == nil {
		s.candidateSince = s.now
	}
	s.candidate = head
}

// applyCandidate applies the candidate if it is due.
func (s *State) applyCandidate() {
	if s.candidate.Config == nil || s.now.Before(s.candidateDue()) {
		return
	}
	s.apply(s.candidate)
	s.candidate = core.ConfigHead{}
}

// candidateDue returns when the candidate is to be applied; zero if there is none.
// It is due at once, unless a higher generation is expected or the router has no
// configuration yet: then it waits, at most for gatherWindow.
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

// expectsHigher reports whether a generation above the candidate may still arrive:
// one is being decoded, a peer has one, a probe is in flight, or the first poll of
// the platform has no response.
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

// apply puts a generation in force and starts to notify the peers.
func (s *State) apply(head core.ConfigHead) {
	s.inForce = head
	s.deltaBases = append(s.deltaBases, deltaBase{head.Generation, partDigests(head.Parts)})
	if len(s.deltaBases) > maxDeltaBases {
		s.deltaBases = s.deltaBases[1:]
	}
	s.appliedAt, s.nextNotice = s.now, s.now
	s.emit(core.ApplyConfig{Generation: head.Generation, Config: head.Config})
}

// partDigests returns the set of the digests of parts.
func partDigests(parts [][]byte) map[string]bool {
	set := make(map[string]bool, len(parts))
	for _, data := range parts {
		set[config.PartDigest(data)] = true
	}
	return set
}
