package health

import "time"

const (
	// retryRatio is how many retries each first send earns, and retryBurst how many
	// can accumulate. Together they keep the total load below 1.1 times the first
	// sends, once there have been 500 of them.
	retryRatio = 0.08
	retryBurst = 10
	// hedgeRatio and hedgeBurst are the same for hedged requests.
	hedgeRatio = 0.05
	hedgeBurst = 5
)

// tokenBucket limits retries or hedges: first sends refill it, and each repeat
// takes a token.
type tokenBucket struct {
	ratio, burst float64
	tokens       float64
}

// newTokenBucket returns a full bucket.
func newTokenBucket(ratio, burst float64) tokenBucket {
	return tokenBucket{ratio: ratio, burst: burst, tokens: burst}
}

func (b *tokenBucket) refill() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// take takes a token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RecordFirstSend records the first send of a request to a service, which refills the
// budgets of the service.
func (s *State) RecordFirstSend(svc string) {
	v := s.ensureService(svc)
	v.retryBudget.refill()
	v.hedgeBudget.refill()
}

// TakeRetry takes a retry from the service's budget. It returns false if none is left.
func (s *State) TakeRetry(svc string) bool { return s.ensureService(svc).retryBudget.take() }

// RetriesLeft returns the number of retries left in the budget of the service that
// has the fewest.
func (s *State) RetriesLeft() int {
	least := s.retryBurst
	for _, v := range s.services {
		least = min(least, v.retryBudget.tokens)
	}
	return int(least)
}

// TakeHedge takes a hedge from the service's budget. It returns false if none is left.
func (s *State) TakeHedge(svc string) bool { return s.ensureService(svc).hedgeBudget.take() }

// HedgeAfter returns how long to wait for the first byte before sending a hedge:
// the 95th percentile of the service's recent times to the first byte. It returns
// false if there are too few of them.
func (s *State) HedgeAfter(svc string) (time.Duration, bool) {
	return s.ensureService(svc).firstBytes.quantile(hedgeQuantile)
}

// SetRetryBudget sets how many retries a first send earns and how many can
// accumulate, for all services.
func (s *State) SetRetryBudget(ratio, burst float64) {
	s.retryRatio, s.retryBurst = ratio, burst
	for _, v := range s.services {
		v.retryBudget.ratio, v.retryBudget.burst = ratio, burst
		v.retryBudget.tokens = min(v.retryBudget.tokens, burst)
	}
}
