package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// firstPause is how long nothing is granted after the first failure. It
	// doubles with each further failure, up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 30 * time.Second
	// leavingFor is how long an upstream that announced that it is leaving gets
	// no work, regardless of the instance list, which lags.
	leavingFor = time.Minute
)

// upstream is an owned upstream with its slots.
type upstream struct {
	core.Upstream
	slots int
	// continuousBatching marks a model engine that batches continuously: it
	// accepts more requests than its slots and then runs all of them more
	// slowly.
	continuousBatching bool
	grants             map[grantKey]*grant
	rampUpUntil        time.Time // only half of the slots are granted until then
	failures           int
	pausedUntil        time.Time // nothing is granted until then
	probing            bool      // after a pause, one grant at a time until one succeeds
	leavingUntil       time.Time // nothing is granted until then
	speed              speed
}

// grantKey identifies a grant by the entry that holds it and the ID that the
// owner gave it.
type grantKey struct {
	entry core.RouterID
	id    core.GrantID
}

// grant is a slot granted to an entry.
type grant struct {
	key       grantKey
	org       string
	class     core.Class
	grantedAt time.Time
	// lastListed is when the entry last listed the grant.
	lastListed time.Time
	// charged is the cost charged so far, expectedRest the cost still expected.
	charged, expectedRest uint64
	// sampledCost is the cost at sampledAt, the time of the last speed sample.
	sampledCost uint64
	sampledAt   time.Time
}

func newUpstream(u core.Upstream, sv *service) *upstream {
	return &upstream{Upstream: u, slots: sv.slots, continuousBatching: sv.continuousBatching, grants: make(map[grantKey]*grant)}
}

// updateListing applies the instance list's entry for the upstream. The list
// lags behind the upstream's own announcements.
func (u *upstream) updateListing(now time.Time, listed core.Upstream) {
	u.Upstream = listed
	if listed.State != core.UpstreamUp {
		u.markLeaving(now)
	}
}

func (u *upstream) markLeaving(now time.Time) { u.leavingUntil = now.Add(leavingFor) }

// recordFailure pauses an upstream that failed, like an opening circuit
// breaker.
func (u *upstream) recordFailure(now time.Time) {
	if now.Before(u.pausedUntil) {
		return // the same failure, reported by another entry
	}
	pause := firstPause << min(u.failures, 10)
	u.pausedUntil = now.Add(min(pause, maxPause))
	u.failures++
	u.probing = true
}

// recordSuccess ends the pause and the probing after a success.
func (u *upstream) recordSuccess() {
	u.failures = 0
	u.probing = false
	u.pausedUntil = time.Time{}
}

// freeSlots returns how many more slots may be granted now.
func (u *upstream) freeSlots(now time.Time) int {
	limit := u.slots
	switch {
	case now.Before(u.leavingUntil), now.Before(u.pausedUntil):
		return 0
	case u.probing:
		limit = 1
	case now.Before(u.rampUpUntil):
		limit = max(1, limit/2)
	}
	return max(0, limit-len(u.grants))
}

// overcommitSlots returns how many slots may be granted above the limit to work
// of a class. Engines batch continuously, so short work may exceed the limit by
// the number of slots that long work holds, up to reservedSlots. It then need
// not wait for long work to end.
func (u *upstream) overcommitSlots(now time.Time, class core.Class) int {
	if class != core.ClassShort || !u.continuousBatching || u.restricted(now) {
		return 0
	}
	return max(0, u.slots+min(u.reservedSlots(), u.longGrants())-len(u.grants))
}

// restricted reports whether fewer than all slots are granted, regardless of
// the class.
func (u *upstream) restricted(now time.Time) bool {
	return u.probing || now.Before(u.leavingUntil) || now.Before(u.pausedUntil) || now.Before(u.rampUpUntil)
}

// reservedSlots returns the largest number of slots above the limit that short
// work may take.
func (u *upstream) reservedSlots() int { return u.slots / reservedSlotsDivisor }

func (u *upstream) longGrants() int {
	n := 0
	for _, g := range u.grants {
		if g.class == core.ClassLong {
			n++
		}
	}
	return n
}

// nextOpening returns the next time at which freeSlots may grow without an
// event; zero if never.
func (u *upstream) nextOpening(now time.Time) time.Time {
	var next time.Time
	for _, t := range []time.Time{u.rampUpUntil, u.pausedUntil, u.leavingUntil} {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}
