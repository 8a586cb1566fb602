package dispatch

import "time"

// departedHold is how long a peer's word on an entry holds. Peers repeat it with each report
// while they know the instance to have left.
const departedHold = 2 * time.Second

// isLeaving reports whether the instance is about to stop or has left, by its own word or that
// of routers which saw its entry removed before the directory was restored.
func (u *upstream) isLeaving(now time.Time) bool {
	return u.leaving || u.Departed || now.Before(u.departedUntil)
}

// setDeparted prepares an upstream for another entry. What peers said of the entry before does
// not hold for it, and they are to hear soon if it comes from an older copy of the directory.
func (s *State) setDeparted(u *upstream, in Instance) {
	if u.runKey == 0 || !SameStart(u.Instance, in) {
		u.runKey = runKey(in)
	}
	if u.Entry != in.Entry {
		u.departedUntil = time.Time{}
	}
	if in.Departed && !u.Departed {
		s.unreportedTokens += leavingTokens
	}
}

// entryKey identifies the upstream's entry among routers.
func (u *upstream) entryKey() uint64 {
	// An odd factor, so that entries of the same run have different keys.
	return u.runKey ^ u.Entry*0x9e3779b97f4a7c15
}
