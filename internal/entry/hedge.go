package entry

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// scheduleHedge sets the timer after which a sent request may be hedged.
func (s *State) scheduleHedge(now time.Time, r *request) {
	if !s.hedgeable(r) {
		return
	}
	if delay, ok := s.hooks.HedgeDelay(r.Service); ok {
		s.timers.Add(now.Add(delay), timer{hedge: r.Request})
	}
}

// hedgeable reports whether a second send can do no harm: the request is
// idempotent model work whose answer has not begun.
func (s *State) hedgeable(r *request) bool {
	return r.Idempotent && !r.AtMostOnce && r.state == stateSent && !r.wantsSecondSlot &&
		s.services[r.Service].Kind == config.Model && len(r.attempts) < maxAttempts && len(r.liveAttempts()) == 1
}

// queueHedge queues a sent request for a second slot, provided that its queue
// is empty, so that hedges never take slots from first sends.
func (s *State) queueHedge(now time.Time, id core.RequestID) {
	r := s.requests[id]
	if r == nil || !s.hedgeable(r) {
		return
	}
	k := r.key()
	q := s.queue(k)
	if q.len() > 0 || !s.hooks.TakeHedge(r.Service) {
		return
	}
	r.wantsSecondSlot = true
	r.avoidUntil[r.liveAttempts()[0].slot.upstream] = r.deadline
	q.requests = append(q.requests, r)
	s.announce(now, k)
}

// cancelHedge removes a request that waits for a second slot from its queue.
func (s *State) cancelHedge(r *request) {
	if r.wantsSecondSlot {
		r.wantsSecondSlot = false
		s.dequeue(r)
	}
}
