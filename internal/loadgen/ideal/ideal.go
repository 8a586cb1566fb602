// Package ideal simulates a central, work-conserving fair queue that owns all
// slots of a fleet. Its schedule is the reference that the fleet's measured
// behaviour is compared with.
//
// A free slot goes to the waiting organisation with the least normalised service,
// which is the service received divided by its share. The queue knows the cost of
// a request when the request starts and charges it immediately. An organisation
// gets no credit for time during which it had no waiting requests.
package ideal

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is one request.
type Job struct {
	// Arrival is the time since the start of the run.
	Arrival      time.Duration
	Organisation int
	// Tokens is the cost of the request.
	Tokens int
}

// Settings describe the resources and how they are shared.
type Settings struct {
	// Slots is the number of jobs that can run at the same time.
	Slots int
	// TokenTime is the time that a running job takes for each token.
	TokenTime time.Duration
	// Shares holds the share of each organisation.
	Shares []int
}

// Execution is the time during which a job held a slot.
type Execution struct {
	Begin, End time.Duration
}

// Schedule simulates the jobs and returns their executions, in the order of jobs.
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

// queue is the state of the simulated fair queue.
type queue struct {
	jobs     []Job
	settings Settings
	// pending and service have an entry for each organisation: the indexes of its
	// waiting jobs in order of arrival, and its normalised service in tokens per
	// unit of share.
	pending [][]int
	service []float64
	// virtualTime is the normalised service of the organisation whose job started
	// last, before the job was charged. It never decreases.
	virtualTime float64
	executions  []Execution
	freeSlots   int
	// running holds the completions of the running jobs.
	running completionHeap
}

// enqueue adds a job to its organisation's queue. The service of an organisation
// without waiting jobs is first raised to the virtual time, so that it gets no
// credit for idle time.
func (q *queue) enqueue(job int) {
	organisation := q.jobs[job].Organisation
	if len(q.pending[organisation]) == 0 {
		q.service[organisation] = max(q.service[organisation], q.virtualTime)
	}
	q.pending[organisation] = append(q.pending[organisation], job)
}

// completeUntil ends the jobs that complete by now, in order of completion, and
// reassigns each freed slot at the time of the completion.
func (q *queue) completeUntil(now time.Duration) {
	for q.running.Len() > 0 && q.running[0].at <= now {
		next := heap.Pop(&q.running).(completion)
		q.freeSlots++
		q.fillFreeSlots(next.at)
	}
}

// fillFreeSlots starts waiting jobs at time now until no slot is free or no job
// waits.
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

// leastServed returns the organisation with waiting jobs that has the least
// normalised service, or -1 if no job waits.
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

// TokensServed returns the tokens served between begin and end. A job that runs
// only partly in that time counts in proportion.
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

// completion is the time at which a running job ends.
type completion struct {
	at  time.Duration
	job int
}

// completionHeap is a min-heap ordered by time, then by job index, which makes the
// order deterministic.
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
