package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAdmittedRequestsMeetTheLatencyTarget simulates the start of a day on which one
// router of 0.192 cores gets 1,000 requests a second and a refusal costs a tenth of a
// request. Admitted requests are answered within the latency target of a chat. Without
// admission control all but the first requests wait for seconds.
func TestAdmittedRequestsMeetTheLatencyTarget(t *testing.T) {
	g := NewWithT(t)
	const cores, target, length = 0.192, 300 * time.Millisecond, 2 * time.Second
	late := func(m *simProcessor) (n int) {
		for _, w := range m.waits {
			if w > target {
				n++
			}
		}
		return n
	}
	unbounded := newSimProcessor(cores, initialCost, initialCost/10)
	unbounded.pressure = &pressure{admission: newAdmission(0)}
	unbounded.run(1000, length)
	g.Expect(late(unbounded)).To(BeNumerically(">", len(unbounded.waits)*9/10))
	m := newSimProcessor(cores, initialCost, initialCost/10)
	m.run(1000, length)
	g.Expect(late(m)).To(BeZero())
	g.Expect(m.refused).To(BeNumerically(">", 0))
	// Little of the available time remains unused.
	g.Expect(m.used.Seconds()).To(BeNumerically(">", 0.75*cores*length.Seconds()))
}

// TestAdmissionAcceptsAnEvenLoad: nothing is refused at 60 requests a second, three
// times the mean of the smallest routers of the users' larger deployments at a peak.
func TestAdmissionAcceptsAnEvenLoad(t *testing.T) {
	g := NewWithT(t)
	m := newSimProcessor(0.192, initialCost, initialCost/10)
	m.run(60, 10*time.Second)
	g.Expect(m.refused).To(BeZero())
}

// TestAdmissionAdjustsTheCost: the cost falls while requests are refused and nothing
// waits for the processor, and rises while the lag is high, within its bounds.
func TestAdmissionAdjustsTheCost(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(1)
	now := time.Unix(1000, 0)
	// sample simulates one sample interval with a number of simultaneous requests, and
	// ends it with a lag.
	sample := func(requests int, lag time.Duration) (overloaded bool) {
		now = now.Add(time.Second)
		for range requests {
			if !a.admit(now, false) {
				a.recordRefusal()
			}
		}
		return a.adjustCost(time.Now(), lag, 0)
	}
	const one, many = 1, 10_000
	sample(one, 0)
	g.Expect(a.cost).To(Equal(initialCost))
	g.Expect(sample(many, lagLow)).To(BeTrue(), "refusals and a lag that confirms the shortage")
	g.Expect(a.cost).To(Equal(initialCost))
	g.Expect(sample(many, 0)).To(BeFalse(), "no lag")
	g.Expect(a.cost).To(BeNumerically("<", initialCost))
	for range 20 {
		sample(many, 0)
	}
	g.Expect(a.cost).To(Equal(minCost))
	sample(one, lagHigh)
	g.Expect(a.cost).To(BeNumerically(">", minCost))
	for range 20 {
		sample(one, lagHigh)
	}
	g.Expect(a.cost).To(Equal(maxCost))
	for range 20 {
		sample(one, 0)
	}
	g.Expect(a.cost).To(Equal(initialCost), "the shortage is over")
	// Without a limit of the processor time nothing is refused.
	unbounded := newAdmission(0)
	for range many {
		g.Expect(unbounded.admit(now, false)).To(BeTrue())
	}
}

// TestRefusalsDoNotRaiseTheCostOfRequests: goroutines that wait because of refusals say
// nothing about requests, of which hardly any run.
func TestRefusalsDoNotRaiseTheCostOfRequests(t *testing.T) {
	g := NewWithT(t)
	adjusted := func(refusals int) time.Duration {
		a := newAdmission(0.192)
		now := time.Unix(1000, 0)
		for admitted := 0; admitted < 5; now = now.Add(10 * time.Millisecond) {
			if a.admit(now, false) {
				admitted++
			}
		}
		for range refusals {
			a.recordUnpolledRefusal()
		}
		a.adjustCost(now, 2*lagHigh, 0)
		return a.requestCost()
	}
	g.Expect(adjusted(10)).To(BeNumerically(">", initialCost), "requests may be the reason")
	g.Expect(adjusted(500)).To(Equal(initialCost))
}

// TestCostStaysAboveWhatRequestsTake: a router that refuses while nothing waits yet does not
// take its streams, which need their time later, for cheaper than they are.
func TestCostStaysAboveWhatRequestsTake(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(0.192)
	now := time.Unix(1000, 0)
	const took = 600 * time.Microsecond
	for range 20 {
		admitted := 0
		for range 25 {
			now = now.Add(10 * time.Millisecond)
			if a.admit(now, false) {
				admitted++
			}
		}
		a.recordUnpolledRefusal()
		a.adjustCost(now, 0, time.Duration(admitted)*took+unpolledRefusalCost)
	}
	g.Expect(a.requestCost()).To(BeNumerically("~", took, took/20))
}
