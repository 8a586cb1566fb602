package relay

import (
	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// maxQueued bounds the entries that wait in one queue.
const maxQueued = 256

// newsQueue collects the parts of reports that are passed on one by one: placements and
// crashes.
type newsQueue struct {
	placements queue[dispatch.Placement]
	crashes    queue[poison.Fact]
}

// add queues the news of a report.
func (q *newsQueue) add(r dispatch.Report) {
	q.placements.add(r.Placements)
	q.crashes.add(r.Crashes)
}

// moveTo adds the news for the next sum to it.
func (q *newsQueue) moveTo(sum *dispatch.Report) {
	sum.Placements, sum.Crashes = q.placements.take(), q.crashes.take()
}

// queue collects entries to be passed on. Each is sent in two successive sums, since a
// datagram may be lost.
type queue[T comparable] struct {
	fresh, repeated []T
	queued          map[T]bool
}

// add queues entries that are not queued yet, up to maxQueued.
func (q *queue[T]) add(list []T) {
	if q.queued == nil {
		q.queued = make(map[T]bool)
	}
	for _, e := range list {
		if len(q.fresh) == maxQueued {
			return
		}
		if !q.queued[e] {
			q.queued[e] = true
			q.fresh = append(q.fresh, e)
		}
	}
}

// take returns the entries for the next sum.
func (q *queue[T]) take() []T {
	for _, e := range q.repeated {
		delete(q.queued, e)
	}
	list := append(q.repeated, q.fresh...)
	q.repeated, q.fresh = append([]T(nil), q.fresh...), nil
	return list
}
