package pace

import "time"

// Memory is how long evidence counts. It is longer than an upstream takes to fail, to be
// noticed and to come back.
const Memory = 10 * time.Second

// Evidence is what routers saw of an upstream's answers.
type Evidence struct {
	// Failures counts the attempts that got no answer since the last good one.
	Failures int
	// FirstAt is when the first of them failed.
	FirstAt time.Time
	// BadAt is when an answer last was an error, a refusal, much later than that of a peer, or
	// did not come; GoodAt when one last was like those of its peers. They are zero if never.
	BadAt, GoodAt time.Time
}

// Report is evidence as one router tells it to others.
type Report struct {
	Failures int
	// FirstAge, BadAge and GoodAge are the times since FirstAt, BadAt and GoodAt, negative
	// if never.
	FirstAge, BadAge, GoodAge time.Duration
}

// Never is the age of what has not happened.
const Never = time.Duration(-1)

// age returns the time since something happened, Never if it did not or is too old to count.
func age(now, at time.Time) time.Duration {
	if at.IsZero() || now.Sub(at) > Memory {
		return Never
	}
	return max(0, now.Sub(at))
}

// at returns when something of an age happened.
func at(now time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// Report returns what is told to other routers.
func (e Evidence) Report(now time.Time) Report {
	r := Report{Failures: e.Failures, FirstAge: Never, BadAge: age(now, e.BadAt), GoodAge: age(now, e.GoodAt)}
	if r.BadAge < 0 {
		r.Failures = 0
	}
	if r.Failures > 0 {
		r.FirstAge = min(Memory, max(0, now.Sub(e.FirstAt)))
	}
	return r
}

// Evidence returns what a report tells, received at the time now.
func (r Report) Evidence(now time.Time) Evidence {
	return Evidence{Failures: r.Failures, FirstAt: at(now, r.FirstAge), BadAt: at(now, r.BadAge), GoodAt: at(now, r.GoodAge)}
}

// Add adds another router's report to a sum.
func (r Report) Add(o Report) Report {
	// Any moment will do: ages are compared as times before the same one.
	now := time.Unix(0, 0)
	return r.Evidence(now).Merge(o.Evidence(now)).Report(now)
}

// Sum returns the evidence of several routers. Failures of a router that saw the last of them
// before any router's last good answer do not count.
func Sum(list ...Evidence) (sum Evidence) {
	for _, e := range list {
		sum.GoodAt = later(sum.GoodAt, e.GoodAt)
	}
	for _, e := range list {
		sum = sum.Merge(e)
	}
	return sum
}

// Merge adds the evidence of another router, as Sum does.
func (e Evidence) Merge(o Evidence) Evidence {
	sum := Evidence{BadAt: later(e.BadAt, o.BadAt), GoodAt: later(e.GoodAt, o.GoodAt)}
	for _, part := range []Evidence{e, o} {
		if part.Failures == 0 || !part.BadAt.After(sum.GoodAt) {
			continue
		}
		first := later(part.FirstAt, sum.GoodAt)
		if sum.Failures == 0 || first.Before(sum.FirstAt) {
			sum.FirstAt = first
		}
		sum.Failures += part.Failures
	}
	return sum
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Refute drops the failures that were followed by a good answer that others saw.
func (e *Evidence) Refute(others Evidence) {
	if others.GoodAt.After(e.BadAt) {
		e.Failures = 0
	}
}

// Good records an answer that is like those of the upstream's peers.
func (e *Evidence) Good(now time.Time) { e.GoodAt, e.Failures = now, 0 }

// Bad records an answer that is not.
func (e *Evidence) Bad(now time.Time) { e.BadAt = now }

// Failed records an attempt that got no answer. At is when it broke or, if nothing was heard of
// it, when it was sent: a good answer after that shows that the upstream is only slow.
func (e *Evidence) Failed(at time.Time) {
	if e.GoodAt.After(at) {
		return
	}
	if e.Failures == 0 || at.Before(e.FirstAt) {
		e.FirstAt = at
	}
	e.BadAt = later(e.BadAt, at)
	e.Failures++
}
