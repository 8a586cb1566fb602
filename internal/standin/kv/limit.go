package kv

import (
	"sync"
	"time"
)

// burstFraction is the size of the bucket as a fraction of one second's calls.
const burstFraction = 0.25

// tokenBucket limits the rate of calls.
type tokenBucket struct {
	// rate is in calls per second; 0 means no limit.
	rate float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: rate * burstFraction}
}

// allow takes one token at time now and returns false if there is none.
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
