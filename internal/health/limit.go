package health

import (
	"math"
	"time"
)

const (
	// The share of an upstream's slots that is used follows additive increase and
	// multiplicative decrease: a refusal or an error response multiplies it by
	// slotShareDecrease, down to minSlotShare, and a complete response adds
	// slotShareIncrease.
	slotShareDecrease = 0.7
	slotShareIncrease = 0.05
	minSlotShare      = 0.1
)

// SlotLimit returns how many of an upstream's slots to use: fewer if the upstream is
// slow, in proportion to its speed, or if it responds with errors, but at least
// one.
func (s *State) SlotLimit(id string, slots int, now time.Time) int {
	u := s.upstreams[id]
	if u == nil {
		return slots
	}
	share := u.slotShare
	if s.Slow(id, now) {
		share = min(share, s.Speed(id, now))
	}
	limit := int(math.Ceil(share * float64(slots)))
	return max(1, min(limit, slots))
}
