package dispatch

import "time"

// lapsedMemory is how long what an instance said of itself is kept after its entry is
// gone: entries lapse while the store is away, and instances that leave may serve for
// many seconds more.
const lapsedMemory = 2 * time.Minute

// holdOffMost bounds for how long an instance can keep requests away: a wrong value must
// not take it out of use for good. The users' replicas ask for seconds.
const holdOffMost = 10 * time.Minute

// lapsed is an upstream whose entry is gone.
type lapsed struct {
	Instance
	leaving  bool
	outUntil time.Time
	at       time.Time
}

// advised takes what an instance said of itself. It holds until the instance starts
// anew.
func (s *State) advised(now time.Time, e Advised) {
	until := now.Add(min(e.HoldOff, holdOffMost))
	u := s.upstreams[e.Instance.ID]
	if u == nil || !same(u.Instance, e.Instance) {
		// It may be listed again: entries lapse while their instances live.
		l := lapsed{Instance: e.Instance, leaving: e.Leaving, outUntil: until, at: now}
		if old, ok := s.lapsed[e.Instance.ID]; ok && same(old.Instance, e.Instance) {
			l.leaving, l.outUntil = l.leaving || old.leaving, later(l.outUntil, old.outUntil)
		}
		s.lapsed[e.Instance.ID] = l
		return
	}
	u.leaving = u.leaving || e.Leaving
	u.outUntil = later(u.outUntil, until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// same reports whether two entries name the same start of the same instance.
func same(a, b Instance) bool {
	return a.Started == b.Started && a.Addr == b.Addr && a.Service == b.Service
}

// keepAdvice remembers what an upstream said that leaves the list.
func (s *State) keepAdvice(now time.Time, u *upstream) {
	if u.leaving || now.Before(u.outUntil) {
		s.lapsed[u.ID] = lapsed{Instance: u.Instance, leaving: u.leaving, outUntil: u.outUntil, at: now}
	}
}

// recall gives an upstream that is listed anew what its instance had said.
func (s *State) recall(u *upstream, in Instance) {
	old, ok := s.lapsed[in.ID]
	if !ok {
		return
	}
	delete(s.lapsed, in.ID)
	if same(old.Instance, in) {
		u.leaving, u.outUntil = old.leaving, old.outUntil
	}
}

// backAt is when the first upstream of a service takes work that takes none now because
// it wants or can take none for a while; ok is false if there is none. It is now if one
// takes work already.
func (s *State) backAt(now time.Time, service string) (at time.Time, ok bool) {
	for _, u := range s.services[service] {
		if u.replaced || u.leaving {
			continue
		}
		if back := later(now, u.outUntil); !ok || back.Before(at) {
			at, ok = back, true
		}
	}
	return at, ok
}

func (s *State) expireLapsed(now time.Time) {
	for id, old := range s.lapsed {
		if now.Sub(old.at) > lapsedMemory && !now.Before(old.outUntil) {
			delete(s.lapsed, id)
		}
	}
}
