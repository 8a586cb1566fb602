package offload

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const cost = time.Millisecond

var start = time.Unix(1000, 0)

// take returns how many connections each peer gets at a moment.
func take(s *State, now time.Time) map[string]int {
	taken := make(map[string]int)
	for {
		addr, ok := s.Choose(now, cost)
		if !ok {
			return taken
		}
		taken[addr]++
	}
}

func TestChooseSpendsWhatPeersReport(t *testing.T) {
	g := NewWithT(t)
	var s State
	g.Expect(take(&s, start)).To(BeEmpty())
	s.Report(start, "large", 0.64)
	s.Report(start, "small", 0.16)
	s.Report(start, "none", 0)
	g.Expect(take(&s, start)).To(BeEmpty(), "nothing has accumulated")
	now := start.Add(100 * time.Millisecond)
	g.Expect(s.Available(now, cost)).To(BeTrue())
	g.Expect(take(&s, now)).To(Equal(map[string]int{"large": 32, "small": 8}), "half of the time of a burst")
	g.Expect(s.Available(now, cost)).To(BeFalse())
	g.Expect(take(&s, now.Add(50*time.Millisecond))).To(Equal(map[string]int{"large": 16, "small": 4}))
	g.Expect(take(&s, now.Add(time.Second))).To(Equal(map[string]int{"large": 32, "small": 8}), "no more than a burst")
}

func TestReportReplacesTheLastOne(t *testing.T) {
	g := NewWithT(t)
	var s State
	s.Report(start, "peer", 0.64)
	now := start.Add(time.Second)
	s.Report(now, "peer", 0)
	g.Expect(take(&s, now.Add(50*time.Millisecond))).To(BeEmpty())
	s.Report(now.Add(50*time.Millisecond), "peer", -1)
	g.Expect(take(&s, now.Add(time.Second))).To(BeEmpty())
}

func TestSilentPeerGetsNothing(t *testing.T) {
	g := NewWithT(t)
	var s State
	s.Report(start, "peer", 0.64)
	g.Expect(take(&s, start.Add(reportTimeout))).NotTo(BeEmpty())
	g.Expect(take(&s, start.Add(reportTimeout+time.Millisecond))).To(BeEmpty())
	g.Expect(s.peers).To(BeEmpty())
}

func TestPeerThatRefusedGetsNothingForAWhile(t *testing.T) {
	g := NewWithT(t)
	var s State
	now := start
	s.Refused(now, "unknown")
	s.Report(now, "peer", 0.64)
	now = now.Add(100 * time.Millisecond)
	s.Refused(now, "peer")
	s.Report(now, "peer", 0.64)
	g.Expect(take(&s, now.Add(refusalPause-time.Millisecond))).To(BeEmpty())
	g.Expect(take(&s, now.Add(refusalPause))).NotTo(BeEmpty())
}

// TestPeerThatDidNotAnswerGetsNothingUntilItReports: a report that was sent before it fell
// silent may still hold.
func TestPeerThatDidNotAnswerGetsNothingUntilItReports(t *testing.T) {
	g := NewWithT(t)
	var s State
	s.Silent("unknown")
	s.Report(start, "peer", 0.64)
	now := start.Add(100 * time.Millisecond)
	s.Silent("peer")
	g.Expect(s.Available(now, cost)).To(BeFalse())
	g.Expect(take(&s, now.Add(refusalPause))).To(BeEmpty())
	s.Report(now.Add(refusalPause), "peer", 0.64)
	g.Expect(take(&s, now.Add(refusalPause))).NotTo(BeEmpty())
}

// TestRoutersThatOffloadDoNotOverwhelmAPeer: two routers together spend no more than the
// peer has.
func TestRoutersThatOffloadDoNotOverwhelmAPeer(t *testing.T) {
	g := NewWithT(t)
	const spare = 0.5
	routers := make([]State, 2)
	for i := range routers {
		routers[i].Report(start, "peer", spare)
	}
	spent := time.Duration(0)
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for i := range routers {
			spent += time.Duration(take(&routers[i], now)["peer"]) * cost
		}
	}
	g.Expect(spent).To(BeNumerically("<=", time.Duration(spare*float64(time.Second))))
	g.Expect(spent).To(BeNumerically(">", time.Duration(0.9*spare*float64(time.Second))))
}
