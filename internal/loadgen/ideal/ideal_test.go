package ideal

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestScheduleIsWorkConserving(t *testing.T) {
	g := NewWithT(t)
	jobs := []Job{{0, 0, 10}, {0, 0, 10}, {0, 1, 10}, {5 * ms, 1, 10}}
	executions := Schedule(jobs, Settings{Slots: 2, TokenTime: ms, Shares: []int{1, 1}})
	g.Expect(executions[0]).To(Equal(Execution{0, 10 * ms}))
	g.Expect(executions[1]).To(Equal(Execution{0, 10 * ms}))
	g.Expect(executions[2]).To(Equal(Execution{10 * ms, 20 * ms}))
	g.Expect(executions[3]).To(Equal(Execution{10 * ms, 20 * ms}))
}

func TestScheduleSharesInProportion(t *testing.T) {
	g := NewWithT(t)
	var jobs []Job
	for range 400 {
		jobs = append(jobs, Job{0, 0, 10}, Job{0, 1, 10})
	}
	executions := Schedule(jobs, Settings{Slots: 4, TokenTime: ms, Shares: []int{3, 1}})
	var work [2]float64
	for i, s := range executions {
		if s.End <= time.Second {
			work[jobs[i].Organisation] += float64(jobs[i].Tokens)
		}
	}
	g.Expect(work[0] / work[1]).To(BeNumerically("~", 3, 0.1))
}

func TestScheduleGivesNoCreditForIdleTime(t *testing.T) {
	g := NewWithT(t)
	var jobs []Job
	for range 100 {
		jobs = append(jobs, Job{0, 0, 10})
	}
	for range 20 {
		jobs = append(jobs, Job{500 * ms, 1, 10})
	}
	executions := Schedule(jobs, Settings{Slots: 1, TokenTime: ms, Shares: []int{1, 1}})
	var started int
	for i, s := range executions {
		if jobs[i].Organisation == 0 && s.Begin >= 500*ms && s.Begin < 700*ms {
			started++
		}
	}
	g.Expect(started).To(BeNumerically("~", 10, 1), "the organisation that becomes active gets half of the service, not all")
}

func TestScheduleGivesNoCreditForModestDemand(t *testing.T) {
	g := NewWithT(t)
	var jobs []Job
	for range 400 {
		jobs = append(jobs, Job{0, 0, 10})
	}
	// Organisation 1 first runs one job at a time, which is less than its half of
	// the four slots, and then submits many at once.
	for at := time.Duration(0); at < 500*ms; at += 10 * ms {
		jobs = append(jobs, Job{at, 1, 10})
	}
	for range 100 {
		jobs = append(jobs, Job{500 * ms, 1, 10})
	}
	executions := Schedule(jobs, Settings{Slots: 4, TokenTime: ms, Shares: []int{1, 1}})
	var started [2]int
	for i, s := range executions {
		if s.Begin >= 500*ms && s.Begin < 600*ms {
			started[jobs[i].Organisation]++
		}
	}
	g.Expect(started[0]).To(BeNumerically("~", 20, 2))
	g.Expect(started[1]).To(BeNumerically("~", 20, 2))
}

func TestScheduleNeverIdlesWhileWorkWaits(t *testing.T) {
	g := NewWithT(t)
	const seed, slots = 11, 3
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var jobs []Job
	at := time.Duration(0)
	for range 300 {
		at += time.Duration(random.IntN(8)) * ms
		jobs = append(jobs, Job{at, random.IntN(4), 1 + random.IntN(20)})
	}
	executions := Schedule(jobs, Settings{Slots: slots, TokenTime: ms, Shares: []int{1, 2, 3, 4}})
	for i, s := range executions {
		g.Expect(s.Begin).To(BeNumerically(">=", jobs[i].Arrival))
		for at := jobs[i].Arrival; at < s.Begin; at += ms {
			busy := 0
			for _, other := range executions {
				if other.Begin <= at && at < other.End {
					busy++
				}
			}
			g.Expect(busy).To(Equal(slots), "job %d waits at %s", i, at)
		}
	}
}

func TestWorkCountsTheWindowOnly(t *testing.T) {
	g := NewWithT(t)
	jobs := []Job{{0, 0, 10}}
	executions := []Execution{{5 * ms, 15 * ms}}
	g.Expect(TokensServed(jobs, executions, 0, 10*ms, ms)).To(Equal(5.0))
	g.Expect(TokensServed(jobs, executions, 0, 100*ms, ms)).To(Equal(10.0))
	g.Expect(TokensServed(jobs, executions, 20*ms, 30*ms, ms)).To(BeZero())
}
