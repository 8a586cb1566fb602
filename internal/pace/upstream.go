package pace

import "time"

const (
	// startWindow is the window after a start or a recovery: one request alone would leave
	// the upstream idle until its answer has been heard of.
	startWindow = 2
	// step is how long a window is kept before it is doubled. In this time the answers to
	// its requests have begun, and reports have told the other routers (0.5 s through
	// relays).
	step = 500 * time.Millisecond
	// downAfter is the number of attempts without an answer, at all routers and with no good
	// answer in between, after which an upstream counts as down.
	downAfter = 3
	// downAfterTroubled is the same while the upstream's peers fail as well.
	downAfterTroubled = 6
	// silentSteps is the number of steps after which a window is doubled without answers to
	// go by: there is no load, or those who saw answers are cut off.
	silentSteps = 2
	// maxTries bounds the window of an upstream that is down.
	maxTries = 16
	// maxFalls bounds the number of falls in a row that prolong the steps: an upstream that
	// goes down and up is tried more cautiously each time.
	maxFalls = 2
)

// phase is what an upstream is doing.
type phase uint8

const (
	// steady upstreams have no window.
	steady phase = iota
	// down upstreams do not answer. A single request at a time finds out when they do.
	down
	// rising upstreams have started or recovered.
	rising
)

// String returns the name of the phase in logs.
func (p phase) String() string { return [...]string{"steady", "down", "rising"}[p] }

// Upstream is the pace of one upstream.
type Upstream struct {
	phase  phase
	window int
	// since is when the upstream started, recovered or went down, and stepAt when the
	// window was last changed or kept.
	since, stepAt time.Time
	// cut means that the window has been halved since then.
	cut bool
	// falls counts how often it went down within Memory after a start or a recovery.
	falls int
}

// Start begins the pace of an upstream that has started.
func (u *Upstream) Start(now time.Time) {
	u.phase, u.window, u.since, u.stepAt, u.cut = rising, startWindow, now, now, false
}

// Fall records that the upstream has ended or does not answer.
func (u *Upstream) Fall(now time.Time) {
	if u.phase == down {
		return
	}
	if u.phase == steady && now.Sub(u.since) > Memory {
		u.falls = 0
	}
	u.falls++
	u.phase, u.window, u.since, u.stepAt = down, 1, now, now
}

// Update brings the pace up to date with the evidence of all routers. Slots is the number of
// requests that the upstream runs at once: a window of that size is none. While the upstream's
// peers are in trouble, single bad answers do not speak against it. Settle is how long it takes
// until the others' good answers since a failure have been heard of. It reports whether the
// upstream has recovered by that.
func (u *Upstream) Update(now time.Time, e Evidence, slots int, troubled bool, settle time.Duration) (recovered bool) {
	failures := downAfter
	if troubled {
		failures = downAfterTroubled
	}
	if u.phase != down && e.Failures >= failures && e.BadAt.After(later(e.GoodAt, u.since)) && now.Sub(e.BadAt) < Memory && now.Sub(e.FirstAt) >= settle {
		u.Fall(now)
		return false
	}
	switch u.phase {
	case down:
		switch {
		case e.GoodAt.After(u.since) && e.GoodAt.After(e.BadAt):
			u.Start(now)
			return true
		case e.BadAt.After(u.stepAt):
			u.window, u.stepAt = 1, e.BadAt
		case now.Sub(u.stepAt) >= silentSteps*step && u.window < maxTries:
			// Nobody has tried: those who may are gone, or have no requests for it.
			u.window, u.stepAt = 2*u.window, now
		case now.Sub(later(u.since, e.BadAt)) > Memory:
			u.Start(now)
		}
	case rising:
		u.rise(now, e, slots, troubled)
	}
	return false
}

// rise doubles the window after a step with good answers, halves it after a bad one, and
// ends the pace once the window is as large as the upstream.
func (u *Upstream) rise(now time.Time, e Evidence, slots int, troubled bool) {
	length := step << min(max(0, u.falls-1), maxFalls)
	switch {
	case e.BadAt.After(u.stepAt) && !troubled:
		u.window = max(1, u.window/2)
		u.stepAt = later(e.BadAt, u.stepAt)
		u.cut = true
	case now.Sub(u.stepAt) < length:
	case e.GoodAt.After(u.stepAt) || now.Sub(u.stepAt) >= silentSteps*length:
		u.window *= 2
		u.stepAt = now
	}
	if u.phase == rising && u.window >= max(startWindow+1, slots) {
		u.phase, u.window, u.since = steady, 0, now
	}
}

// Paced reports whether the upstream has a window.
func (u *Upstream) Paced() bool { return u.phase != steady }

// Down reports whether the upstream does not answer.
func (u *Upstream) Down() bool { return u.phase == down }

// Untroubled reports whether the upstream has started or recovered and all its answers since
// were good.
func (u *Upstream) Untroubled() bool { return u.phase == rising && !u.cut }

// Window returns the size of the window, 0 if there is none.
func (u *Upstream) Window() int { return u.window }

// Phase returns the name of the upstream's phase.
func (u *Upstream) Phase() string { return u.phase.String() }

// Part returns how many requests in the window may be of the router at a place in the order
// of a number of routers.
func (u *Upstream) Part(rank, routers int) int {
	routers = max(1, routers)
	part := u.window / routers
	if rank < u.window%routers {
		part++
	}
	return part
}
