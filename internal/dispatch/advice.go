package dispatch

import "time"

// delistedRetention is how long what an instance said of itself is kept after its entry is
// gone: entries lapse while the store is away, and instances that leave may serve for
// many seconds more.
const delistedRetention = 2 * time.Minute

// maxHoldOff bounds for how long an instance can keep requests away: a wrong value must
// not take it out of use for good. The users' replicas ask for seconds.
const maxHoldOff = 10 * time.Minute

// delisted is an upstream whose entry is gone.
type delisted struct {
	Instance
	leaving          bool
	unavailableUntil time.Time
	removedAt        time.Time
}

// handleInstanceReport takes what an instance said of itself. It holds until the instance starts
// anew.
func (s *State) handleInstanceReport(now time.Time, e Advised) {
	until := now.Add(min(e.HoldOff, maxHoldOff))
	u := s.upstreams[e.Instance.ID]
	if u == nil || !sameStart(u.Instance, e.Instance) {
		// It may be listed again: entries lapse while their instances live.
		l := delisted{Instance: e.Instance, leaving: e.Leaving, unavailableUntil: until, removedAt: now}
		if old, ok := s.delisted[e.Instance.ID]; ok && sameStart(old.Instance, e.Instance) {
			l.leaving, l.unavailableUntil = l.leaving || old.leaving, laterOf(l.unavailableUntil, old.unavailableUntil)
		}
		s.delisted[e.Instance.ID] = l
		return
	}
	u.leaving = u.leaving || e.Leaving
	u.unavailableUntil = laterOf(u.unavailableUntil, until)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sameStart reports whether two entries name the same start of the same instance.
func sameStart(a, b Instance) bool {
	return a.Started == b.Started && a.Addr == b.Addr && a.Service == b.Service
}

// rememberAdvice remembers what an upstream said that leaves the list.
func (s *State) rememberAdvice(now time.Time, u *upstream) {
	if u.leaving || now.Before(u.unavailableUntil) {
		s.delisted[u.ID] = delisted{Instance: u.Instance, leaving: u.leaving, unavailableUntil: u.unavailableUntil, removedAt: now}
	}
}

// restoreAdvice gives an upstream that is listed anew what its instance had said.
func (s *State) restoreAdvice(u *upstream, in Instance) {
	old, ok := s.delisted[in.ID]
	if !ok {
		return
	}
	delete(s.delisted, in.ID)
	if sameStart(old.Instance, in) {
		u.leaving, u.unavailableUntil = old.leaving, old.unavailableUntil
	}
}

// availableAt is when the first upstream of a service takes work that takes none now because
// it wants or can take none for a while; ok is false if there is none. It is now if one
// takes work already.
func (s *State) availableAt(now time.Time, service string) (at time.Time, ok bool) {
	for _, u := range s.services[service] {
		if u.replaced || u.leaving {
			continue
		}
		if back := laterOf(now, u.unavailableUntil); !ok || back.Before(at) {
			at, ok = back, true
		}
	}
	return at, ok
}

func (s *State) expireDelisted(now time.Time) {
	for id, old := range s.delisted {
		if now.Sub(old.removedAt) > delistedRetention && !now.Before(old.unavailableUntil) {
			delete(s.delisted, id)
		}
	}
}
