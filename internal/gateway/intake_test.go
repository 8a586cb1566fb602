package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestIntakeKeepsWhatItTakesOnTime plays the start of a day on which one router of
// 0.192 cores gets 1,000 requests a second, and a refusal costs a tenth of a request.
// What it takes in is answered within the latency target of a chat; without the bound
// all but the first ones wait for seconds.
func TestIntakeKeepsWhatItTakesOnTime(t *testing.T) {
	g := NewWithT(t)
	const cores, target, length = 0.192, 300 * time.Millisecond, 2 * time.Second
	late := func(m *processor) (n int) {
		for _, w := range m.waits {
			if w > target {
				n++
			}
		}
		return n
	}
	open := newProcessor(cores, costFirst, costFirst/10)
	open.p = &pressure{intake: newIntake(0)}
	open.run(1000, length)
	g.Expect(late(open)).To(BeNumerically(">", len(open.waits)*9/10))
	m := newProcessor(cores, costFirst, costFirst/10)
	m.run(1000, length)
	g.Expect(late(m)).To(BeZero())
	g.Expect(m.refused).To(BeNumerically(">", 0))
	// Little of the time that there is goes unused.
	g.Expect(m.used.Seconds()).To(BeNumerically(">", 0.75*cores*length.Seconds()))
}

// TestIntakeTakesAnEvenLoad whole: 60 requests a second are three times the mean of
// the grown sites' small routers at a crest.
func TestIntakeTakesAnEvenLoad(t *testing.T) {
	g := NewWithT(t)
	m := newProcessor(0.192, costFirst, costFirst/10)
	m.run(60, 10*time.Second)
	g.Expect(m.refused).To(BeZero())
}

// TestIntakeFindsTheCost of requests, within bounds: less while it refuses and nothing
// waits for the processor, more while much waits.
func TestIntakeFindsTheCost(t *testing.T) {
	g := NewWithT(t)
	i := newIntake(1)
	now := time.Unix(1000, 0)
	// sample refuses requests at one moment, or takes one.
	sample := func(requests int, lag time.Duration) (crowded bool) {
		now = now.Add(time.Second)
		for range requests {
			i.admit(now)
		}
		return i.learn(lag)
	}
	const one, many = 1, 10_000
	sample(one, 0)
	g.Expect(i.cost).To(Equal(costFirst))
	g.Expect(sample(many, lagLow)).To(BeTrue(), "refuses for a lack that shows")
	g.Expect(i.cost).To(Equal(costFirst))
	g.Expect(sample(many, 0)).To(BeFalse(), "nothing waits")
	g.Expect(i.cost).To(BeNumerically("<", costFirst))
	for range 20 {
		sample(many, 0)
	}
	g.Expect(i.cost).To(Equal(costLeast))
	sample(one, lagHigh)
	g.Expect(i.cost).To(BeNumerically(">", costLeast))
	for range 20 {
		sample(one, lagHigh)
	}
	g.Expect(i.cost).To(Equal(costMost))
	for range 20 {
		sample(one, 0)
	}
	g.Expect(i.cost).To(Equal(costFirst), "the lack is over")
	// Without a bound of the processor time nothing is refused.
	unbounded := newIntake(0)
	for range many {
		g.Expect(unbounded.admit(now)).To(BeTrue())
	}
}
