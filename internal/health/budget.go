package health

import "time"

const (
	// retryRatio is how many retries each first send earns, and retryBurst how
	// many can be saved up. Together they keep the load under 1.1 times the first
	// sends, once there were 500 of them.
	retryRatio = 0.08
	retryBurst = 10
	// hedgeRatio and hedgeBurst are the same for hedges.
	hedgeRatio = 0.05
	hedgeBurst = 5
)

// tokenBucket is a bucket of tokens that first sends fill and repeats empty.
type tokenBucket struct {
	ratio, burst float64
	tokens       float64
}

// newTokenBucket returns a full one.
func newTokenBucket(ratio, burst float64) tokenBucket {
	return tokenBucket{ratio: ratio, burst: burst, tokens: burst}
}

func (b *tokenBucket) refill() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// take takes a token if there is one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Sent counts the first send of a request to a service.
func (s *State) Sent(svc string) {
	v := s.ensureService(svc)
	v.retryBudget.refill()
	v.hedgeBudget.refill()
}

// Retry takes a retry from the service's budget; false means that it is spent.
func (s *State) Retry(svc string) bool { return s.ensureService(svc).retryBudget.take() }

// RetriesLeft is how many retries are left, of the service with the fewest.
func (s *State) RetriesLeft() int {
	least := s.retryBurst
	for _, v := range s.services {
		least = min(least, v.retryBudget.tokens)
	}
	return int(least)
}

// Hedge takes a hedge from the service's budget; false means that it is spent.
func (s *State) Hedge(svc string) bool { return s.ensureService(svc).hedgeBudget.take() }

// HedgeAfter returns how long to wait for the first byte before a hedge: the
// 95th percentile of the service's last ones. False means that too few are
// known for any hedge.
func (s *State) HedgeAfter(svc string) (time.Duration, bool) {
	return s.ensureService(svc).firstBytes.quantile(hedgeQuantile)
}

// SetRetryBudget changes what first sends earn and how much can be saved up, for
// all services.
func (s *State) SetRetryBudget(ratio, burst float64) {
	s.retryRatio, s.retryBurst = ratio, burst
	for _, v := range s.services {
		v.retryBudget.ratio, v.retryBudget.burst = ratio, burst
		v.retryBudget.tokens = min(v.retryBudget.tokens, burst)
	}
}
