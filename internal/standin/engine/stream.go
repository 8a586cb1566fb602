package engine

import "time"

// phase is where a stream stands.
type phase int

const (
	phaseRunning phase = iota
	phaseDone
	phaseCancelled
)

// stream is one answer that is being generated or kept for a resume. It belongs
// to its batch and is guarded by the batch's lock.
type stream struct {
	id    string
	seed  uint64
	model string
	// promptTokens and cachedTokens describe the prompt, length the answer.
	promptTokens int
	cachedTokens int
	// skipTokens is how many tokens of the answer came from elsewhere.
	skipTokens int
	length     int

	phase     phase
	generated int
	// readyAt is when the prefill ends.
	readyAt time.Time
	// stepsPerToken is how many steps a token takes, steps those since the last one.
	stepsPerToken   int
	stepsSinceToken int

	// readers are woken when there is more; expiry runs while there are none.
	readers map[chan struct{}]struct{}
	expiry  *time.Timer
}

// progress is what a reader sees of a stream.
type progress struct {
	generated int
	phase     phase
}

// step generates a token if one is due at now.
func (s *stream) step(now time.Time) bool {
	if now.Before(s.readyAt) {
		return false
	}
	s.stepsSinceToken++
	if s.stepsSinceToken < s.stepsPerToken {
		return false
	}
	s.stepsSinceToken = 0
	s.generated++
	if s.generated == s.length {
		s.phase = phaseDone
	}
	s.notifyReaders()
	return true
}

func (s *stream) notifyReaders() {
	for woken := range s.readers {
		select {
		case woken <- struct{}{}:
		default:
		}
	}
}
