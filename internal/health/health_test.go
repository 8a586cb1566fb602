package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
)

var start = time.Unix(1000, 0)

// addTokenGaps adds a number of token gaps of an upstream, one every 50 ms, and
// returns the time of the last one.
func addTokenGaps(s *State, id string, from time.Time, samples int, gap time.Duration) time.Time {
	for range samples {
		from = from.Add(50 * time.Millisecond)
		s.RecordTokenGap(id, "chat", from, gap)
	}
	return from
}

// TestSlowedUpstreamIsFound checks that one of four upstreams that runs at a fifth
// of its speed becomes slow after half a second of samples, gets fewer slots, and
// recovers.
func TestSlowedUpstreamIsFound(t *testing.T) {
	g, s := NewWithT(t), New()
	feed := func(from time.Time, samples int, gapOfD time.Duration) (end time.Time) {
		for _, id := range []string{"a", "b", "c"} {
			addTokenGaps(s, id, from, samples, 20*time.Millisecond)
		}
		return addTokenGaps(s, "d", from, samples, gapOfD)
	}
	now := feed(start, 20, 20*time.Millisecond)
	g.Expect(s.Slow("d", now)).To(BeFalse())
	g.Expect(s.SlotLimit("d", 8, now)).To(Equal(8))

	now = feed(now, 10, 100*time.Millisecond)
	g.Expect(s.Slow("d", now)).To(BeTrue())
	g.Expect(s.Speed("d", now)).To(BeNumerically("~", 0.2, 0.05))
	g.Expect(s.SlotLimit("d", 8, now)).To(Equal(2))
	g.Expect(s.Slow("a", now)).To(BeFalse())

	now = feed(now, 10, 20*time.Millisecond)
	g.Expect(s.Slow("d", now)).To(BeFalse())
}

// TestSingleOutlierIsNotSlow checks that a single sample that is 30 times as long
// does not make an upstream slow.
func TestSingleOutlierIsNotSlow(t *testing.T) {
	g, s := NewWithT(t), New()
	var now time.Time
	for _, id := range []string{"a", "b", "c"} {
		now = addTokenGaps(s, id, start, 20, 20*time.Millisecond)
	}
	s.RecordTokenGap("a", "chat", now, 600*time.Millisecond)
	g.Expect(s.Slow("a", now)).To(BeFalse())
}

// TestSpeedNeedsSamplesAndPeers checks that the speed is 1 with too few peers, with too
// few samples or with old ones.
func TestSpeedNeedsSamplesAndPeers(t *testing.T) {
	for name, feed := range map[string]func(s *State) time.Time{
		"nothing": func(*State) time.Time { return start },
		"two peers": func(s *State) time.Time {
			addTokenGaps(s, "b", start, 9, time.Millisecond)
			return addTokenGaps(s, "a", start, 9, time.Second)
		},
		"few samples": func(s *State) time.Time {
			for _, id := range []string{"b", "c", "d"} {
				addTokenGaps(s, id, start, 9, time.Millisecond)
			}
			return addTokenGaps(s, "a", start, minSamples-1, time.Second)
		},
		"old samples": func(s *State) time.Time {
			for _, id := range []string{"b", "c", "d"} {
				addTokenGaps(s, id, start, 9, time.Millisecond)
			}
			return addTokenGaps(s, "a", start, 9, time.Second).Add(2 * staleAfter)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, s := NewWithT(t), New()
			now := feed(s)
			g.Expect(s.Speed("a", now)).To(Equal(1.0))
			g.Expect(s.SlotLimit("a", 4, now)).To(Equal(4))
		})
	}
}

// TestSpeedFromFirstByte checks that the speed is computed from the time to the first
// byte if there are no token gaps.
func TestSpeedFromFirstByte(t *testing.T) {
	g, s := NewWithT(t), New()
	now := start
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		for _, id := range []string{"b", "c", "d"} {
			s.RecordFirstByte(id, "booking", now, 10*time.Millisecond)
		}
		s.RecordFirstByte("a", "booking", now, 40*time.Millisecond)
	}
	g.Expect(s.Speed("a", now)).To(BeNumerically("~", 0.25, 0.01))
}

// TestLimitShrinksOnErrors checks that the limit shrinks with error responses,
// without ejecting the upstream, and grows back with complete responses.
func TestLimitShrinksOnErrors(t *testing.T) {
	g, s := NewWithT(t), New()
	for range 3 {
		s.RecordFailure("a", "chat", start, core.FailStatus)
	}
	g.Expect(s.SlotLimit("a", 10, start)).To(Equal(4))
	for range 50 {
		s.RecordFailure("a", "chat", start, core.FailRefused)
	}
	g.Expect(s.SlotLimit("a", 10, start)).To(Equal(1))
	g.Expect(s.Available("a", start)).To(BeTrue())
	for range 20 {
		s.RecordSuccess("a", "chat", start)
	}
	g.Expect(s.SlotLimit("a", 10, start)).To(Equal(10))
}

// TestEjection checks that consecutive connection failures eject an upstream, that
// a single probe is admitted after the ejection, and that each failed probe doubles
// the next ejection up to maxEjection.
func TestEjection(t *testing.T) {
	g, s, now := NewWithT(t), New(), start
	for range ejectAfter - 1 {
		s.RecordFailure("a", "chat", now, core.FailDial)
	}
	s.RecordSuccess("a", "chat", now)
	for range ejectAfter {
		g.Expect(s.Admit("a", now)).To(BeTrue())
		s.RecordFailure("a", "chat", now, core.FailReset)
	}
	for _, seconds := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		g.Expect(s.Available("a", now)).To(BeFalse())
		g.Expect(s.NextProbe("a")).To(Equal(now.Add(seconds * time.Second)))
		now = now.Add(seconds * time.Second)
		g.Expect(s.Admit("a", now)).To(BeTrue())
		g.Expect(s.Admit("a", now)).To(BeFalse(), "second probe")
		s.RecordFailure("a", "chat", now, core.FailIdle)
	}
	now = now.Add(maxEjection)
	g.Expect(s.Admit("a", now)).To(BeTrue())
	s.RecordSuccess("a", "chat", now)
	g.Expect(s.Admit("a", now)).To(BeTrue())
	g.Expect(s.Admit("a", now)).To(BeTrue())
	g.Expect(s.NextProbe("a").IsZero()).To(BeTrue())
}

// TestLostProbe checks that a probe without an outcome does not keep an upstream
// ejected.
func TestLostProbe(t *testing.T) {
	g, s := NewWithT(t), New()
	for range ejectAfter {
		s.RecordFailure("a", "chat", start, core.FailDial)
	}
	now := start.Add(minEjection)
	g.Expect(s.Admit("a", now)).To(BeTrue())
	g.Expect(s.Available("a", now.Add(probeTimeout-1))).To(BeFalse())
	g.Expect(s.Available("a", now.Add(probeTimeout))).To(BeTrue())
}

// TestFailingServiceIsNotFlooded checks that retries add less than a tenth to the
// load if all attempts fail.
func TestFailingServiceIsNotFlooded(t *testing.T) {
	for _, firsts := range []int{600, 10000} {
		t.Run(fmt.Sprint(firsts), func(t *testing.T) {
			g, s := NewWithT(t), New()
			load := 0
			for range firsts {
				s.RecordFirstSend("chat")
				load++
				for s.TakeRetry("chat") {
					load++
				}
			}
			factor := float64(load) / float64(firsts)
			t.Logf("load times %.3f", factor)
			g.Expect(factor).To(BeNumerically("<", 1.1))
		})
	}
}

// TestHedgeAfter checks that the delay is the 95th percentile of the recent times
// to the first byte, and that the budget bounds the number of hedges.
func TestHedgeAfter(t *testing.T) {
	g, s := NewWithT(t), New()
	for i := range minWindowSamples - 1 {
		s.RecordFirstByte("a", "chat", start, time.Duration(i+1)*time.Millisecond)
	}
	_, ok := s.HedgeAfter("chat")
	g.Expect(ok).To(BeFalse())
	for i := range 2 * windowSize {
		s.RecordFirstByte("a", "chat", start, time.Duration(i%100+1)*time.Millisecond)
	}
	after, ok := s.HedgeAfter("chat")
	g.Expect(ok).To(BeTrue())
	g.Expect(after).To(BeNumerically("~", 95*time.Millisecond, 5*time.Millisecond))
	hedges := 0
	for s.TakeHedge("chat") {
		hedges++
	}
	g.Expect(hedges).To(Equal(hedgeBurst))
}

// TestRemove checks that a removed upstream leaves nothing behind, and that an
// instance that changed its service starts without measurements.
func TestRemove(t *testing.T) {
	g, s := NewWithT(t), New()
	s.RecordFailure("a", "chat", start, core.FailStatus)
	s.RecordSuccess("a", "booking", start)
	g.Expect(s.services["chat"].members).To(BeEmpty())
	g.Expect(s.SlotLimit("a", 10, start)).To(Equal(10))
	s.Remove("a")
	s.Remove("a")
	g.Expect(s.upstreams).To(BeEmpty())
	g.Expect(s.services["booking"].members).To(BeEmpty())
}
