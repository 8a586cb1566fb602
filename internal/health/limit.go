package health

import (
	"math"
	"time"
)

const (
	// slotShareDecrease shrinks the part of an upstream's slots that is used when it
	// answers with an error; pressureStep grows it with each whole answer.
	slotShareDecrease = 0.7
	slotShareIncrease = 0.05
	minSlotShare      = 0.1
)

// Limit returns how many of an upstream's slots to use: fewer if it is slow, in
// proportion to its speed, or answers with errors, but at least one.
func (s *State) Limit(id string, slots int, now time.Time) int {
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
