package dispatch

import "time"

// lapsedMemory is how long what an instance said of itself is kept after its entry is
// gone: entries lapse while the store is away, and instances that leave may serve for
// many seconds more.
const lapsedMemory = 2 * time.Minute

// lapsed is an upstream whose entry is gone.
type lapsed struct {
	Instance
	leaving bool
	at      time.Time
}

// advised takes what an instance said of itself. It holds until the instance starts
// anew.
func (s *State) advised(now time.Time, e Advised) {
	u := s.upstreams[e.Instance.ID]
	if u == nil || !u.same(e.Instance) {
		// It may be listed again: entries lapse while their instances live.
		if e.Leaving {
			s.lapsed[e.Instance.ID] = lapsed{Instance: e.Instance, leaving: true, at: now}
		}
		return
	}
	u.leaving = u.leaving || e.Leaving
}

// same reports whether an entry names the same start of the same instance.
func (u *upstream) same(in Instance) bool {
	return u.Started == in.Started && u.Addr == in.Addr && u.Service == in.Service
}

// keepAdvice remembers what an upstream said that leaves the list.
func (s *State) keepAdvice(now time.Time, u *upstream) {
	if u.leaving {
		s.lapsed[u.ID] = lapsed{Instance: u.Instance, leaving: true, at: now}
	}
}

// recall gives an upstream that is listed anew what its instance had said.
func (s *State) recall(u *upstream, in Instance) {
	old, ok := s.lapsed[in.ID]
	if !ok {
		return
	}
	delete(s.lapsed, in.ID)
	known := upstream{Instance: old.Instance}
	u.leaving = old.leaving && known.same(in)
}

func (s *State) expireLapsed(now time.Time) {
	for id, old := range s.lapsed {
		if now.Sub(old.at) > lapsedMemory {
			delete(s.lapsed, id)
		}
	}
}
