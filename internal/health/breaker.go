package health

import "time"

const (
	// ejectAfter is how many connection failures in a row eject an upstream.
	ejectAfter = 3
	// minEjection and ejectMax bound how long it stays out; the time doubles with
	// each failed probe.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeTimeout is how long the outcome of a probe is awaited before another
	// one may go.
	probeTimeout = 10 * time.Second
)

// breaker keeps work from an upstream that cannot be reached. Invariant: while
// it is open, at most one probe is under way.
type breaker struct {
	failures int
	// ejections counts the ejections in a row.
	ejections    int
	ejectedUntil time.Time
	// probeUntil is when the probe under way counts as lost.
	probeUntil time.Time
}

// open reports whether the upstream is ejected or on trial.
func (b *breaker) open() bool { return b.ejections > 0 }

func (b *breaker) recordSuccess() { *b = breaker{} }

// recordReachable notes an error that came over a working connection.
func (b *breaker) recordReachable() { b.recordSuccess() }

// recordFailure notes a connection failure.
func (b *breaker) recordFailure(now time.Time) {
	b.failures++
	if b.open() && now.Before(b.ejectedUntil) {
		// An attempt from before the ejection.
		return
	}
	if b.failures < ejectAfter && !b.open() {
		return
	}
	b.ejections++
	b.ejectedUntil = now.Add(ejectionTime(b.ejections))
	b.probeUntil = time.Time{}
}

// ejectionTime is the time that the n-th ejection in a row lasts.
func ejectionTime(n int) time.Duration {
	d := minEjection
	for ; n > 1 && d < maxEjection; n-- {
		d *= 2
	}
	return min(d, maxEjection)
}

// allowsAttempt reports whether an attempt may go.
func (b *breaker) allowsAttempt(now time.Time) bool {
	return !b.open() || !now.Before(b.ejectedUntil) && !now.Before(b.probeUntil)
}

// Available reports whether an attempt may go to an upstream.
func (s *State) Available(id string, now time.Time) bool {
	u := s.upstreams[id]
	return u == nil || u.breaker.allowsAttempt(now)
}

// Admit is called with each attempt that goes to an upstream. To one that was
// ejected a single probe goes; false means that the attempt may not go.
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

// NextProbe returns when an ejected upstream may be tried again; zero if it is
// not ejected.
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
