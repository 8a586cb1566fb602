package relay

import "github.com/jujubeford/jujubeford/internal/dispatch"

// maxPlacements bounds the placements that wait in one queue.
const maxPlacements = 256

// placementQueue collects placements to be passed on. Each is sent in two successive
// sums, since a datagram may be lost.
type placementQueue struct {
	fresh, repeated []dispatch.Placement
	queued          map[dispatch.Placement]bool
}

// add queues placements that are not queued yet, up to maxPlacements.
func (q *placementQueue) add(list []dispatch.Placement) {
	if q.queued == nil {
		q.queued = make(map[dispatch.Placement]bool)
	}
	for _, p := range list {
		if len(q.fresh) == maxPlacements {
			return
		}
		if !q.queued[p] {
			q.queued[p] = true
			q.fresh = append(q.fresh, p)
		}
	}
}

// take returns the placements for the next sum.
func (q *placementQueue) take() []dispatch.Placement {
	for _, p := range q.repeated {
		delete(q.queued, p)
	}
	list := append(q.repeated, q.fresh...)
	q.repeated, q.fresh = append([]dispatch.Placement(nil), q.fresh...), nil
	return list
}
