package engine

import "time"

// phase is the state of a stream.
type phase int

const (
	phaseRunning phase = iota
	phaseDone
	phaseCancelled
)

// stream is an answer that is being generated, or a complete one that is kept so
// that it can be resumed. It is guarded by the mutex of its batch.
type stream struct {
	id    string
	seed  uint64
	model string
	// promptTokens is the length of the prompt, of which cachedTokens were in the
	// prefix cache.
	promptTokens int
	cachedTokens int
	// skipTokens is the number of tokens at the start of the answer that the
	// caller already has and that are not generated.
	skipTokens int
	// length is the number of tokens to generate.
	length int

	phase     phase
	generated int
	// readyAt is when the prefill ends.
	readyAt time.Time
	// stepsPerToken is the number of steps that a token takes, stepsSinceToken the
	// number of steps since the last token.
	stepsPerToken   int
	stepsSinceToken int

	// readers are notified of each change; expiry runs while there are none.
	readers map[chan struct{}]struct{}
	expiry  *time.Timer
}

// progress is a reader's view of a stream.
type progress struct {
	generated int
	phase     phase
}

// step accounts for one step and reports whether it generated a token. There is
// none before the end of the prefill, and then one in stepsPerToken steps.
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
