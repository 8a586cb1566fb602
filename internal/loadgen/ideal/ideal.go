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
	At           time.Duration
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

// Served is when a job held its slot.
type Served struct {
	Begin, End time.Duration
}

// Schedule runs the jobs and returns when each was served, in the order of the
// jobs.
func Schedule(jobs []Job, s Settings) []Served {
	q := &queue{
		jobs:     jobs,
		settings: s,
		waiting:  make([][]int, len(s.Shares)),
		service:  make([]float64, len(s.Shares)),
		served:   make([]Served, len(jobs)),
		free:     s.Slots,
	}
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].At, jobs[b].At) })
	for _, job := range order {
		q.finishUntil(jobs[job].At)
		q.arrive(job)
		q.start(jobs[job].At)
	}
	for q.busy.Len() > 0 {
		q.finishUntil(q.busy[0].end)
	}
	return q.served
}

type queue struct {
	jobs     []Job
	settings Settings
	// waiting and service have an entry for each organisation; service is in
	// tokens per unit of share.
	waiting [][]int
	service []float64
	// virtual is the service of the organisation that was started last, before
	// it was charged; it never goes back.
	virtual float64
	served  []Served
	free    int
	busy    ends
}

// arrive queues a job. An organisation that had nothing waiting starts at the
// virtual time, so that it gets no credit for what it did not ask for.
func (q *queue) arrive(job int) {
	organisation := q.jobs[job].Organisation
	if len(q.waiting[organisation]) == 0 {
		q.service[organisation] = max(q.service[organisation], q.virtual)
	}
	q.waiting[organisation] = append(q.waiting[organisation], job)
}

// finishUntil frees the slots whose jobs end by a time and fills each again.
func (q *queue) finishUntil(now time.Duration) {
	for q.busy.Len() > 0 && q.busy[0].end <= now {
		done := heap.Pop(&q.busy).(end)
		q.free++
		q.start(done.end)
	}
}

// start gives free slots to waiting jobs.
func (q *queue) start(now time.Duration) {
	for q.free > 0 {
		organisation := q.next()
		if organisation < 0 {
			return
		}
		job := q.waiting[organisation][0]
		q.waiting[organisation] = q.waiting[organisation][1:]
		tokens := q.jobs[job].Tokens
		finish := now + time.Duration(tokens)*q.settings.TokenTime
		q.served[job] = Served{Begin: now, End: finish}
		q.virtual = max(q.virtual, q.service[organisation])
		q.service[organisation] += float64(tokens) / float64(q.settings.Shares[organisation])
		q.free--
		heap.Push(&q.busy, end{end: finish, job: job})
	}
}

// next is the waiting organisation with the least service, or -1.
func (q *queue) next() int {
	best := -1
	for i := range q.waiting {
		if len(q.waiting[i]) == 0 {
			continue
		}
		if best < 0 || q.service[i] < q.service[best] {
			best = i
		}
	}
	return best
}

// Work is the tokens served in a window.
func Work(jobs []Job, served []Served, begin, end, tokenTime time.Duration) float64 {
	total := 0.0
	for i, job := range jobs {
		from := max(served[i].Begin, begin)
		to := min(served[i].End, end)
		if from < to {
			total += min(float64(job.Tokens), float64(to-from)/float64(tokenTime))
		}
	}
	return total
}

// end is when a running job ends.
type end struct {
	end time.Duration
	job int
}

// ends is a heap by time, then by job.
type ends []end

func (e ends) Len() int { return len(e) }
func (e ends) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].end, e[j].end), cmp.Compare(e[i].job, e[j].job)) < 0
}
func (e ends) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)   { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
