package health

import "time"

const (
	// ejectAfter is the number of consecutive connection failures that eject an
	// upstream.
	ejectAfter = 3
	// minEjection and maxEjection bound how long an upstream stays ejected; the
	// time doubles with each failed probe.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeTimeout is how long to wait for the outcome of a probe before another
	// one may be sent.
	probeTimeout = 10 * time.Second
)

// breaker is a circuit breaker that keeps requests from an upstream that cannot be
// reached. Invariant: while it is open, at most one probe is in flight.
type breaker struct {
	failures int
	// ejections counts the consecutive ejections.
	ejections    int
	ejectedUntil time.Time
	// probeUntil is when the probe in flight counts as lost.
	probeUntil time.Time
}

// open reports whether the upstream is ejected or being probed.
func (b *breaker) open() bool { return b.ejections > 0 }

func (b *breaker) recordSuccess() { *b = breaker{} }

// recordReachable records an error response, which shows that the upstream can be
// reached.
func (b *breaker) recordReachable() { b.recordSuccess() }

// recordFailure records a connection failure.
func (b *breaker) recordFailure(now time.Time) {
	b.failures++
	if b.open() && now.Before(b.ejectedUntil) {
		// The attempt was sent before the ejection.
		return
	}
	if b.failures < ejectAfter && !b.open() {
		return
	}
	b.ejections++
	b.ejectedUntil = now.Add(ejectionTime(b.ejections))
	b.probeUntil = time.Time{}
}

// ejectionTime returns the duration of the n-th consecutive ejection.
func ejectionTime(n int) time.Duration {
	d := minEjection
	for ; n > 1 && d < maxEjection; n-- {
		d *= 2
	}
	return min(d, maxEjection)
}

// allowsAttempt reports whether an attempt may be sent.
func (b *breaker) allowsAttempt(now time.Time) bool {
	return !b.open() || !now.Before(b.ejectedUntil) && !now.Before(b.probeUntil)
}

// Available reports whether an attempt may be sent to an upstream.
func (s *State) Available(id string, now time.Time) bool {
	u := s.upstreams[id]
	return u == nil || u.breaker.allowsAttempt(now)
}

// Admit is called for each attempt that is to be sent to an upstream and returns
// false if it may not be sent. An ejected upstream is sent a single probe at a
// time.
func (s *State) Admit(id string, now time.Time) bool {
	u := s.upstreams[id]
	if u == nil || !u.breaker.open() {
		return true
	}
	if !u.breaker.allowsAttempt(now) {
		return false
	}
	u.breaker.probeUntil = now.Add(probeTimeout)
	return true
}

// NextProbe returns when an ejected upstream may be tried again, or the zero time
// if it is not ejected.
func (s *State) NextProbe(id string) time.Time {
	u := s.upstreams[id]
	if u == nil || !u.breaker.open() {
		return time.Time{}
	}
	if u.breaker.probeUntil.After(u.breaker.ejectedUntil) {
		return u.breaker.probeUntil
	}
	return u.breaker.ejectedUntil
}
