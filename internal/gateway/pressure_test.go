package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPressure(t *testing.T) {
	g := NewWithT(t)
	p := pressure{cores: 0.2, admission: newAdmission(0)}
	now, used := time.Unix(1000, 0), time.Duration(0)
	// feed takes n samples, a quarter of a second apart, at a utilisation of the 0.2
	// cores.
	feed := func(n int, utilisation float64) {
		for range n {
			now = now.Add(sweepInterval)
			used += time.Duration(utilisation * 0.2 * float64(sweepInterval))
			p.sample(now, used, 0)
		}
	}
	refused := func() (n int) {
		for range 100 {
			if p.shouldShed() {
				n++
			}
		}
		return n
	}
	feed(4, 0.6)
	g.Expect(p.isHigh()).To(BeFalse())
	g.Expect(refused()).To(BeZero())
	feed(1, 0.9)
	g.Expect(p.isHigh()).To(BeTrue())
	g.Expect(refused()).To(BeZero())
	feed(2, 1)
	g.Expect(refused()).To(BeNumerically("~", 30, 1))
	feed(20, 1)
	g.Expect(refused()).To(BeNumerically("~", 90, 1))
	// The router returns only after a period of calm.
	feed(3, 0.1)
	g.Expect(p.isHigh()).To(BeTrue())
	feed(4, 0.1)
	g.Expect(p.isHigh()).To(BeFalse())
	g.Expect(refused()).To(BeNumerically("<=", 1))
}

// A router on a slow instance shows a high lag although it uses little of its processor
// time.
func TestPressureOfASlowInstance(t *testing.T) {
	g := NewWithT(t)
	p := pressure{cores: 0.2, admission: newAdmission(0)}
	now := time.Unix(1000, 0)
	feed := func(n int, lag time.Duration) {
		for range n {
			now = now.Add(sweepInterval)
			p.update(now, 0.27, lag)
		}
	}
	feed(4, 19*time.Millisecond)
	g.Expect(p.isHigh()).To(BeFalse())
	feed(1, 50*time.Millisecond)
	g.Expect(p.isHigh()).To(BeTrue())
	g.Expect(p.shedShare).To(BeZero())
	feed(1, 100*time.Millisecond)
	g.Expect(p.shedShare).To(BeNumerically("~", 0.19, 0.01))
	feed(1, 240*time.Millisecond)
	g.Expect(p.shedShare).To(BeNumerically("~", 0.64, 0.01))
	feed(8, 30*time.Millisecond)
	g.Expect(p.isHigh()).To(BeTrue(), "not calm yet")
	g.Expect(p.shedShare).To(BeZero())
	feed(6, 10*time.Millisecond)
	g.Expect(p.isHigh()).To(BeFalse())
}

// TestRouterStaysOutLongerEachTime: a router that is overloaded again each time that it
// returns stays out of rotation longer each time, and starts over after a quiet period.
func TestRouterStaysOutLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	p := pressure{cores: 0.2, admission: newAdmission(0)}
	now := time.Unix(1000, 0)
	out := func() (d time.Duration) {
		now = now.Add(sweepInterval)
		p.update(now, 1, 0)
		for from := now; p.isHigh(); d = now.Sub(from) {
			now = now.Add(sweepInterval)
			p.update(now, 0.1, 0)
		}
		return d
	}
	first := minCalm + sweepInterval
	g.Expect(out()).To(Equal(first))
	g.Expect(out()).To(Equal(calmGrowth*minCalm + sweepInterval))
	g.Expect(out()).To(Equal(calmGrowth*calmGrowth*minCalm + sweepInterval))
	g.Expect(out()).To(Equal(maxCalm + sweepInterval))
	now = now.Add(2 * calmResetAfter)
	g.Expect(out()).To(Equal(first))
}

func TestProcessorTimeGrows(t *testing.T) {
	g := NewWithT(t)
	before, err := processorTime()
	g.Expect(err).NotTo(HaveOccurred())
	for sum, i := 0, 0; ; i++ {
		sum += i * i
		now, err := processorTime()
		g.Expect(err).NotTo(HaveOccurred())
		if now > before {
			return
		}
	}
}
