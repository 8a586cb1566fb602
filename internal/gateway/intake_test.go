package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crowd plays a load of requests a second on a router with one processor of a given
// speed, first come first served, where a request takes a fixed part of its time and a
// refusal a tenth of that. It returns how long each of the admitted requests waits until
// its work is done.
func crowd(admit func(time.Time) bool, cores, perSecond float64, cost, length time.Duration) (waits []time.Duration, refused int) {
	now := time.Unix(1000, 0)
	free := now
	for end := now.Add(length); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / perSecond)) {
		if free.Before(now) {
			free = now
		}
		if !admit(now) {
			refused++
			free = free.Add(time.Duration(refusalPart * float64(cost) / cores))
			continue
		}
		free = free.Add(time.Duration(float64(cost) / cores))
		waits = append(waits, free.Sub(now))
	}
	return waits, refused
}

// TestIntakeKeepsWhatItTakesOnTime plays the start of a day on which one router of
// 0.192 cores gets most callers of its failure domain (hunt-073f-3 of
// planos-reposo-grown: over 1,000 requests a second). What it takes in is answered
// within the latency target of a chat; without the bound all but the first ones wait
// for seconds.
func TestIntakeKeepsWhatItTakesOnTime(t *testing.T) {
	g := NewWithT(t)
	const cores, target = 0.192, 300 * time.Millisecond
	late := func(waits []time.Duration) (n int) {
		for _, w := range waits {
			if w > target {
				n++
			}
		}
		return n
	}
	open, _ := crowd(func(time.Time) bool { return true }, cores, 1000, costFirst, 2*time.Second)
	g.Expect(late(open)).To(BeNumerically(">", len(open)*9/10))
	bounded, refused := crowd(newIntake(cores).admit, cores, 1000, costFirst, 2*time.Second)
	g.Expect(late(bounded)).To(BeZero())
	g.Expect(refused).To(BeNumerically(">", 0))
	// Little of the time that there is goes unused.
	used := costFirst.Seconds() * (float64(len(bounded)) + refusalPart*float64(refused))
	g.Expect(used).To(BeNumerically(">", 0.75*cores*2))
}

// TestIntakeTakesAnEvenLoad whole: 60 requests a second are three times the mean of
// the grown sites' small routers at a crest.
func TestIntakeTakesAnEvenLoad(t *testing.T) {
	g := NewWithT(t)
	_, refused := crowd(newIntake(0.192).admit, 0.192, 60, costFirst, 10*time.Second)
	g.Expect(refused).To(BeZero())
}

// TestIntakeLearnsTheCost of requests, within bounds, and only when busy.
func TestIntakeLearnsTheCost(t *testing.T) {
	g := NewWithT(t)
	i := newIntake(1)
	now := time.Unix(1000, 0)
	sample := func(spent time.Duration, part float64) {
		for range costSamples {
			now = now.Add(10 * time.Millisecond)
			i.admit(now)
		}
		i.learn(spent, part)
	}
	sample(time.Second, costBusy/2)
	g.Expect(i.cost).To(Equal(costFirst))
	for range 50 {
		sample(costSamples*1500*time.Microsecond, 0.9)
	}
	g.Expect(i.cost).To(BeNumerically("~", 1500*time.Microsecond, 50*time.Microsecond))
	for range 50 {
		sample(time.Minute, 1)
	}
	g.Expect(i.cost).To(BeNumerically("~", costMost, 50*time.Microsecond))
	// Without a bound of the processor time nothing is refused.
	_, refused := crowd(newIntake(0).admit, 1, 10_000, costFirst, time.Second)
	g.Expect(refused).To(BeZero())
}
