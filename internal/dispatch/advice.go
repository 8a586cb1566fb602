package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/coldstart"
)

// delistedRetention is how long the advice of an instance is kept after its entry is
// gone from the list. Entries expire while the store is unavailable, and instances that
// leave may serve for many seconds more.
const delistedRetention = 2 * time.Minute

// maxHoldOff bounds how long an instance can keep requests away, so that a wrong value
// does not exclude it indefinitely. The users' replicas ask for seconds.
const maxHoldOff = 10 * time.Minute

// delisted is an upstream whose entry is gone from the list.
type delisted struct {
	Instance
	leaving          bool
	unavailableUntil time.Time
	limit            rateLimit
	removedAt        time.Time
}

// handleInstanceReport records what an instance stated about its availability. Leaving
// holds until the instance restarts, HoldOff until its time is over, and Limit until an
// answer names another or none.
func (s *State) handleInstanceReport(now time.Time, e InstanceReported) {
	until := now.Add(min(e.HoldOff, maxHoldOff))
	u := s.upstreams[e.Instance.ID]
	if u == nil || !SameStart(u.Instance, e.Instance) {
		// The entry may return: entries expire while their instances still run.
		l := delisted{Instance: e.Instance, leaving: e.Leaving, unavailableUntil: until, removedAt: now}
		if old, ok := s.delisted[e.Instance.ID]; ok && SameStart(old.Instance, e.Instance) {
			l.leaving, l.unavailableUntil = l.leaving || old.leaving, laterOf(l.unavailableUntil, old.unavailableUntil)
			l.limit = old.limit
		}
		s.delisted[e.Instance.ID] = l
		return
	}
	if e.Leaving && !u.leaving {
		s.setLeaving(now, u)
	}
	u.unavailableUntil = laterOf(u.unavailableUntil, until)
	if !e.LimitUnknown {
		s.setLimit(now, u, e.Limit, now)
	}
	if e.Cold > 0 {
		s.setCold(now, u, coldstart.Seen, now.Add(e.Cold))
	}
}

// setLeaving marks an upstream that has stated that it is leaving. Other routers are to
// hear of it with the next report.
func (s *State) setLeaving(now time.Time, u *upstream) {
	u.leaving = true
	u.markLeft(now)
	s.unreportedTokens += leavingTokens
}

// leavingTokens is what an upstream that is leaving adds to UnreportedTokens: as much as
// makes a router report at its next interval.
const leavingTokens = 2000

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SameStart reports whether two entries name the same run of the same instance.
func SameStart(a, b Instance) bool {
	return a.Started == b.Started && a.Addr == b.Addr && a.Service == b.Service
}

// rememberAdvice keeps the advice of an upstream that leaves the list.
func (s *State) rememberAdvice(now time.Time, u *upstream) {
	leaving := u.leaving || u.Draining && u.Started != 0
	if leaving || now.Before(u.unavailableUntil) || u.limit.perSecond > 0 {
		s.delisted[u.ID] = delisted{Instance: u.Instance, leaving: leaving, unavailableUntil: u.unavailableUntil, limit: u.limit, removedAt: now}
	}
}

// restoreAdvice applies the remembered advice to an upstream that is listed again.
func (s *State) restoreAdvice(u *upstream, in Instance) {
	old, ok := s.delisted[in.ID]
	if !ok {
		return
	}
	delete(s.delisted, in.ID)
	if SameStart(old.Instance, in) {
		u.leaving, u.unavailableUntil, u.limit = old.leaving, old.unavailableUntil, old.limit
	}
}

// availableTo returns when the first upstream that a request may reach takes work: now if one
// does already, else the earliest end of the exclusions. ok is false if all of them are
// leaving or replaced, or there are none.
func (s *State) availableTo(now time.Time, r *request) (at time.Time, ok bool) {
	for _, u := range s.services[r.Service] {
		if !s.mayReach(r, u) || u.replaced || u.isLeaving(now) {
			continue
		}
		back := laterOf(s.nextColdSend(now, u), u.unavailableUntil)
		if !back.After(now) {
			return now, true
		}
		if !ok || back.Before(at) {
			at, ok = back, true
		}
	}
	return at, ok
}

// expireDelisted drops advice that is older than delistedRetention and whose hold-off is
// over.
func (s *State) expireDelisted(now time.Time) {
	for id, old := range s.delisted {
		if now.Sub(old.removedAt) > delistedRetention && !now.Before(old.unavailableUntil) {
			delete(s.delisted, id)
		}
	}
}
