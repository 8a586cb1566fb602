package claims

import (
	"container/heap"
	"time"
)

// timers is a queue of timeouts, ordered by time and then by insertion. An entry
// is stale if its handler has since set another wake time.
type timers struct {
	queue timerHeap
	seq   uint64
}

type timer struct {
	at      time.Time
	seq     uint64
	handler resultHandler
}

// add schedules a timeout; the handler's wakeAt must return the same time.
func (t *timers) add(at time.Time, h resultHandler) {
	t.seq++
	heap.Push(&t.queue, timer{at, t.seq, h})
}

// next returns the time of the first timeout, zero if there is none.
func (t *timers) next() time.Time {
	t.dropStale()
	if len(t.queue) == 0 {
		return time.Time{}
	}
	return t.queue[0].at
}

// pop removes and returns the first handler whose timeout is due.
func (t *timers) pop(now time.Time) (resultHandler, bool) {
	t.dropStale()
	if len(t.queue) == 0 || t.queue[0].at.After(now) {
		return nil, false
	}
	return heap.Pop(&t.queue).(timer).handler, true
}

// dropStale removes stale entries from the head of the queue.
func (t *timers) dropStale() {
	for len(t.queue) > 0 && !t.queue[0].handler.wakeAt().Equal(t.queue[0].at) {
		heap.Pop(&t.queue)
	}
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return x
}
