// Package ideal works out what one central, work-conserving fair queue with all
// slots of a fleet would do with the same requests.
//
// A free slot goes to the waiting organisation with the least service received
// for its share. The queue knows the cost of a request when it starts and
// charges it at once. An organisation gets no credit for the time during which
// none of its work waited.
package ideal

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is one request.
type Job struct {
	Arrival      time.Duration
	Organisation int
	Tokens       int
}

// Settings are the resources that the jobs share.
type Settings struct {
	Slots     int
	TokenTime time.Duration
	// Shares has an entry for each organisation.
	Shares []int
}

// Execution is when a job held its slot.
type Execution struct {
	Begin, End time.Duration
}

// Schedule runs the jobs and returns when each was served, in the order of the
// jobs.
func Schedule(jobs []Job, s Settings) []Execution {
	q := &queue{
		jobs:       jobs,
		settings:   s,
		pending:    make([][]int, len(s.Shares)),
		service:    make([]float64, len(s.Shares)),
		executions: make([]Execution, len(jobs)),
		freeSlots:  s.Slots,
	}
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].Arrival, jobs[b].Arrival) })
	for _, job := range order {
		q.completeUntil(jobs[job].Arrival)
		q.enqueue(job)
		q.fillFreeSlots(jobs[job].Arrival)
	}
	for q.running.Len() > 0 {
		q.completeUntil(q.running[0].at)
	}
	return q.executions
}

type queue struct {
	jobs     []Job
	settings Settings
	// pending and service have an entry for each organisation; service is in
	// tokens per unit of share.
	pending [][]int
	service []float64
	// virtualTime is the service of the organisation that was started last, before
	// it was charged; it never goes back.
	virtualTime float64
	executions  []Execution
	freeSlots   int
	running     completionHeap
}

// enqueue queues a job. An organisation that had nothing waiting starts at the
// virtual time, so that it gets no credit for what it did not ask for.
func (q *queue) enqueue(job int) {
	organisation := q.jobs[job].Organisation
	if len(q.pending[organisation]) == 0 {
		q.service[organisation] = max(q.service[organisation], q.virtualTime)
	}
	q.pending[organisation] = append(q.pending[organisation], job)
}

// completeUntil frees the slots whose jobs end by a time and fills each again.
func (q *queue) completeUntil(now time.Duration) {
	for q.running.Len() > 0 && q.running[0].at <= now {
		next := heap.Pop(&q.running).(completion)
		q.freeSlots++
		q.fillFreeSlots(next.at)
	}
}

// fillFreeSlots gives free slots to waiting jobs.
func (q *queue) fillFreeSlots(now time.Duration) {
	for q.freeSlots > 0 {
		organisation := q.leastServed()
		if organisation < 0 {
			return
		}
		job := q.pending[organisation][0]
		q.pending[organisation] = q.pending[organisation][1:]
		tokens := q.jobs[job].Tokens
		finish := now + time.Duration(tokens)*q.settings.TokenTime
		q.executions[job] = Execution{Begin: now, End: finish}
		q.virtualTime = max(q.virtualTime, q.service[organisation])
		q.service[organisation] += float64(tokens) / float64(q.settings.Shares[organisation])
		q.freeSlots--
		heap.Push(&q.running, completion{at: finish, job: job})
	}
}

// leastServed is the waiting organisation with the least service, or -1.
func (q *queue) leastServed() int {
	best := -1
	for i := range q.pending {
		if len(q.pending[i]) == 0 {
			continue
		}
		if best < 0 || q.service[i] < q.service[best] {
			best = i
		}
	}
	return best
}

// TokensServed is the tokens served in a window.
func TokensServed(jobs []Job, executions []Execution, begin, end, tokenTime time.Duration) float64 {
	total := 0.0
	for i, job := range jobs {
		overlapBegin := max(executions[i].Begin, begin)
		overlapEnd := min(executions[i].End, end)
		if overlapBegin < overlapEnd {
			total += min(float64(job.Tokens), float64(overlapEnd-overlapBegin)/float64(tokenTime))
		}
	}
	return total
}

// completion is when a running job ends.
type completion struct {
	at  time.Duration
	job int
}

// completionHeap is a heap by time, then by job.
type completionHeap []completion

func (h completionHeap) Len() int { return len(h) }
func (h completionHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].job, h[j].job)) < 0
}
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)   { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
