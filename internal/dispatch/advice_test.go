package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLeavingUpstreamGetsNoRequests until it starts anew, also when its entry lapses and
// comes back meanwhile.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(t, 2)
	list := instances(2)
	sentTo := func() map[string]int {
		to := make(map[string]int)
		for range 20 {
			send, ok := w.last[w.arrive(lookup, plain, 0)].(Send)
			g.Expect(ok).To(BeTrue())
			to[send.Upstream.ID]++
			w.step(Done{ID: send.ID, Attempt: send.Attempt})
		}
		return to
	}
	g.Expect(sentTo()).To(HaveKey("p00"))
	w.step(Advised{Instance: list[1], Leaving: true})
	g.Expect(sentTo()).NotTo(HaveKey("p00"))
	w.step(InstancesChanged{Instances: list[2:]})
	w.now = w.now.Add(10 * time.Second)
	w.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "the entry came back")
	w.step(InstancesChanged{Instances: list[2:]})
	w.step(Advised{Instance: list[1], Leaving: true})
	w.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "it said so while its entry was gone")
	list[1].Started = 1
	w.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"), "it started anew")
	// What an earlier start had said does not hold for a later one that is not listed.
	w.step(InstancesChanged{Instances: list[2:]})
	earlier := list[1]
	earlier.Started = 0
	w.step(Advised{Instance: earlier, Leaving: true})
	w.step(Advised{Instance: list[1], HoldOff: time.Millisecond})
	w.now = w.now.Add(time.Second)
	w.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"))
}

// TestUpstreamIsSparedAsLongAsItAsks, also when its entry lapses and comes back
// meanwhile. While all are spared for longer than a caller can wait, it is refused at
// once and told when one is back.
func TestHoldOffIsHonoured(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(t, 1)
	list := instances(1)
	p := list[1]
	ask := func() Effect { return w.last[w.arrive(lookup, plain, 0)] }
	w.step(Advised{Instance: p, HoldOff: 3 * time.Second})
	refusal, ok := ask().(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
	w.advance(time.Second)
	w.step(InstancesChanged{Instances: list[:1]})
	w.step(InstancesChanged{Instances: list})
	g.Expect(ask()).To(BeAssignableToTypeOf(Refuse{}))
	// A shorter time that comes later does not end the longer one.
	w.step(Advised{Instance: p, HoldOff: time.Second})
	w.advance(1700 * time.Millisecond)
	waiting := w.arrive(lookup, plain, 0)
	g.Expect(w.last).NotTo(HaveKey(waiting), "it can wait for so long")
	w.advance(400 * time.Millisecond)
	g.Expect(w.last[waiting]).To(BeAssignableToTypeOf(Send{}))
}

// TestAllUpstreamsLeaving: what cannot be served is refused at once.
func TestRefusedWhenAllUpstreamsLeave(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(t, 1)
	w.step(Advised{Instance: instances(1)[1], Leaving: true})
	refusal, ok := w.last[w.arrive(lookup, plain, 0)].(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
}
