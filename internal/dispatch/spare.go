package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// Upstreams of classDecode spend most of their time on steps of their streams and have slots to
// spare, since they are as many as streams need at a peak. While upstreams of classPrefill
// have no room, requests whose prompt is read within a pause that nobody notices use that
// time: many short checks beside few long prompts are the load that this answers.

const (
	// sparePause is the part of the pause that a stream may make, which the reading of one
	// such prompt may take: engines are slowed down by 2.5 at times, and the stream's own
	// event takes its time as well.
	sparePause = 0.15
	// spareSlots and spareBusy are the fractions of its slots and of its time in use up to
	// which an upstream of classDecode has time to spare.
	spareSlots = 0.7
	spareBusy  = 0.25
)

// hasSpareTime reports whether an upstream of classDecode may read the prompt of another class.
func (s *State) hasSpareTime(e *routing.Engine, r *request, u *upstream) bool {
	if u.prefill() > 0 || u.prefillBusy > spareBusy || float64(u.running()) >= spareSlots*float64(e.Slots) {
		return false
	}
	cached, _ := u.cache.prefixTokens(r.Prompt.shared(), false, time.Time{})
	reading := s.prefillTimeAt(u, r.Prompt.Tokens-cached)
	return reading <= time.Duration(sparePause*float64(r.Route.GapTarget))
}
