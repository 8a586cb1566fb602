// Package timers holds the deadlines of a reducer as data, so that the reducer
// needs no clock of its own.
package timers

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of keys, ordered by the time at which they are due.
// A key may be in it more than once; the caller checks whether a due key is
// still relevant.
type Queue[K any] struct{ items itemHeap[K] }

// Add adds a key that is due at the given time.
func (q *Queue[K]) Add(at time.Time, key K) {
	heap.Push(&q.items, item[K]{at, key})
}

// NextDue returns the time at which the first key is due; zero if the queue is
// empty.
func (q *Queue[K]) NextDue() time.Time {
	if len(q.items) == 0 {
		return time.Time{}
	}
	return q.items[0].at
}

// PopDue removes and returns the first key if it is due.
func (q *Queue[K]) PopDue(now time.Time) (key K, ok bool) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return key, false
	}
	return heap.Pop(&q.items).(item[K]).key, true
}

// Earliest returns the earlier of two times, where zero means never.
func Earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

type item[K any] struct {
	at  time.Time
	key K
}

type itemHeap[K any] []item[K]

func (s itemHeap[K]) Len() int           { return len(s) }
func (s itemHeap[K]) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s itemHeap[K]) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *itemHeap[K]) Push(x any)        { *s = append(*s, x.(item[K])) }

func (s *itemHeap[K]) Pop() any {
	old := *s
	last := len(old) - 1
	x := old[last]
	*s = old[:last]
	return x
}
