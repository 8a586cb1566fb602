package kv

import (
	"sync"
	"time"
)

// burstFraction is the part of a second's calls that may come at once.
const burstFraction = 0.25

// tokenBucket limits calls to a rate; a rate of 0 limits nothing.
type tokenBucket struct {
	rate float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: rate * burstFraction}
}

// allow spends one call, if the rate allows it at time now.
func (b *tokenBucket) allow(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens += b.rate * now.Sub(b.last).Seconds()
	}
	b.last = now
	b.tokens = min(b.tokens, max(1, b.rate*burstFraction))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
