package pace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

const (
	slots  = 24
	settle = 200 * time.Millisecond
)

// at returns the time some milliseconds after the start.
func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// An upstream that has started gets a window that doubles with each step of good answers and
// ends when it is as large as the upstream.
func TestWindowRisesWithGoodAnswers(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	u.Start(start)
	var windows []int
	for now := 0; now <= 2100; now += 50 {
		u.Update(ms(now), Evidence{GoodAt: ms(now - 20)}, slots, false, settle)
		if n := len(windows); n == 0 || windows[n-1] != u.Window() {
			windows = append(windows, u.Window())
		}
	}
	g.Expect(windows).To(Equal([]int{2, 4, 8, 16, 0}))
	g.Expect(u.Paced()).To(BeFalse())
}

// Without answers to go by, the window rises half as fast.
func TestWindowRisesWithoutLoad(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	u.Start(start)
	u.Update(ms(999), Evidence{}, slots, false, settle)
	g.Expect(u.Window()).To(Equal(startWindow))
	for now := 1000; now <= 4000; now += 500 {
		u.Update(ms(now), Evidence{}, slots, false, settle)
	}
	g.Expect(u.Paced()).To(BeFalse())
}

// A bad answer halves the window, and an upstream whose answers stay bad keeps a small one.
func TestWindowFallsWithBadAnswers(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	u.Start(start)
	for now := 0; now <= 1600; now += 100 {
		u.Update(ms(now), Evidence{GoodAt: ms(now)}, slots, false, settle)
	}
	before := u.Window()
	u.Update(ms(1700), Evidence{GoodAt: ms(1650), BadAt: ms(1690)}, slots, false, settle)
	g.Expect(u.Window()).To(Equal(before / 2))
	g.Expect(u.Untroubled()).To(BeFalse())
	for now := 1800; now <= 9000; now += 100 {
		u.Update(ms(now), Evidence{GoodAt: ms(now - 50), BadAt: ms(now - 10)}, slots, false, settle)
	}
	g.Expect(u.Window()).To(Equal(1))
}

// An upstream that does not answer is tried with one request at a time, until it answers; one
// that goes down again and again rises more slowly.
func TestUpstreamThatGoesDownAndUp(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	rise := func(from int) (took int) {
		for now := from; ; now += 50 {
			u.Update(ms(now), Evidence{GoodAt: ms(now)}, slots, false, settle)
			if !u.Paced() {
				return now - from
			}
		}
	}
	var took []int
	for fall := range 3 {
		from := fall * 8000
		u.Update(ms(from), Evidence{Failures: downAfter - 1, BadAt: ms(from)}, slots, false, settle)
		g.Expect(u.Paced()).To(BeFalse())
		u.Update(ms(from+1), Evidence{Failures: downAfter, FirstAt: ms(from - 200), BadAt: ms(from + 1)}, slots, false, settle)
		g.Expect(u.Down()).To(BeTrue())
		g.Expect(u.Window()).To(Equal(1))
		g.Expect(u.Update(ms(from+500), Evidence{Failures: downAfter + 1, BadAt: ms(from + 400)}, slots, false, settle)).To(BeFalse())
		g.Expect(u.Update(ms(from+900), Evidence{GoodAt: ms(from + 850), BadAt: ms(from + 400)}, slots, false, settle)).To(BeTrue())
		took = append(took, rise(from+900))
	}
	g.Expect(took[1]).To(BeNumerically(">", took[0]))
	g.Expect(took[2]).To(BeNumerically(">", took[1]))
}

// An attempt of which nothing is heard says nothing if a later one was answered well.
func TestSilenceCountsFromTheSending(t *testing.T) {
	g := NewWithT(t)
	var e Evidence
	e.Good(ms(500))
	e.Failed(ms(100))
	g.Expect(e.Failures).To(BeZero())
	e.Failed(ms(600))
	g.Expect(e).To(Equal(Evidence{Failures: 1, FirstAt: ms(600), GoodAt: ms(500), BadAt: ms(600)}))
}

// Failures beside good answers of other routers, of which this one hears later, do not make an
// upstream count as down, however many there are.
func TestFailuresAreSettledFirst(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	var own Evidence
	for now := 0; now <= 5000; now += 10 {
		if now%40 == 0 {
			own.Failed(ms(now))
		}
		// A good answer each 20 ms, heard of 150 ms later.
		told := Evidence{GoodAt: ms(now/20*20 - 150)}
		own.Refute(told)
		u.Update(ms(now), own.Merge(told), slots, false, settle)
		g.Expect(u.Down()).To(BeFalse())
	}
	for now := 5000; now <= 5500; now += 10 {
		u.Update(ms(now), own.Merge(Evidence{GoodAt: ms(4850)}), slots, false, settle)
	}
	g.Expect(u.Down()).To(BeTrue())
}

// If nobody tries an upstream that is down, more routers may; an attempt that fails ends that.
// What was seen before a start does not count.
func TestMoreRoutersTryWhatNobodyTries(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	u.Fall(start)
	for now := 500; now <= 2000; now += 500 {
		u.Update(ms(now), Evidence{}, slots, false, settle)
	}
	g.Expect(u.Window()).To(Equal(4))
	u.Update(ms(2100), Evidence{Failures: 1, BadAt: ms(2050)}, slots, false, settle)
	g.Expect(u.Window()).To(Equal(1))
	u.Start(ms(3000))
	u.Update(ms(3010), Evidence{Failures: 9, BadAt: ms(2900)}, slots, false, settle)
	g.Expect(u.Down()).To(BeFalse())
}

// While its peers are in trouble, single bad answers do not speak against an upstream, and
// more failures in a row are needed.
func TestTroubleOfAllPeersIsNotHeldAgainstOne(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	u.Start(start)
	for now := 0; now <= 2100; now += 50 {
		u.Update(ms(now), Evidence{GoodAt: ms(now - 20), BadAt: ms(now - 10)}, slots, true, settle)
	}
	g.Expect(u.Paced()).To(BeFalse())
	u.Update(ms(3000), Evidence{Failures: downAfterTroubled - 1, BadAt: ms(3000)}, slots, true, settle)
	g.Expect(u.Down()).To(BeFalse())
	u.Update(ms(3001), Evidence{Failures: downAfterTroubled, FirstAt: ms(2500), BadAt: ms(3001)}, slots, true, settle)
	g.Expect(u.Down()).To(BeTrue())
	var p Peers
	for i := range 100 {
		p.RecordOutcome(i == 0)
	}
	g.Expect(p.Troubled()).To(BeFalse())
	for i := range 100 {
		p.RecordOutcome(i%15 == 0)
	}
	g.Expect(p.Troubled()).To(BeTrue())
}

// The parts of the routers add up to the window, for any number of them.
func TestPartsAddUp(t *testing.T) {
	g := NewWithT(t)
	for _, window := range []int{1, 2, 16} {
		for _, routers := range []int{1, 3, 85} {
			u, sum := Upstream{phase: rising, window: window}, 0
			for rank := range routers {
				sum += u.Part(rank, routers)
			}
			g.Expect(sum).To(Equal(window))
		}
	}
}

// Failures of several routers count together, until any of them gets a good answer.
func TestEvidenceOfSeveralRouters(t *testing.T) {
	g := NewWithT(t)
	a, b := Evidence{}, Evidence{}
	a.Failed(ms(100))
	b.Failed(ms(200))
	b.Failed(ms(300))
	g.Expect(a.Merge(b).Failures).To(Equal(3))
	c := Evidence{}
	c.Good(ms(250))
	g.Expect(Sum(a, b, c).Failures).To(Equal(2))
	sum := c.Report(ms(400)).Add(a.Report(ms(400))).Add(b.Report(ms(400)))
	g.Expect(sum).To(Equal(Report{Failures: 2, FirstAge: 150 * time.Millisecond, BadAge: 100 * time.Millisecond, GoodAge: 150 * time.Millisecond}))
	a.Refute(c)
	b.Refute(c)
	g.Expect([]int{a.Failures, b.Failures}).To(Equal([]int{0, 2}))
	a.Failed(ms(100))
	g.Expect(sum.Evidence(ms(500)).BadAt).To(Equal(ms(400)))
	g.Expect(Evidence{}.Report(start)).To(Equal(Report{FirstAge: Never, BadAge: Never, GoodAge: Never}))
	g.Expect(a.Report(ms(100).Add(2 * Memory)).Failures).To(BeZero())
}

// An answer is late if it takes many times as long as those of the peers did, for what was
// expected.
func TestAnswersAreComparedWithPeers(t *testing.T) {
	g := NewWithT(t)
	var p Peers
	g.Expect(p.Compare(time.Minute, 0)).To(Equal(Good))
	for range 20 {
		p.Record(150*time.Millisecond, 100*time.Millisecond)
	}
	for took, want := range map[time.Duration]Verdict{
		200 * time.Millisecond: Good, 400 * time.Millisecond: Good, 700 * time.Millisecond: Neither, 1200 * time.Millisecond: Late,
	} {
		g.Expect(p.Compare(took, 100*time.Millisecond)).To(Equal(want), took.String())
	}
	g.Expect(p.Compare(2*time.Second, time.Second)).To(Equal(Good))
}
