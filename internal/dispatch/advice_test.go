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
	f := newFixture(t, 2)
	list := instances(2)
	sentTo := func() map[string]int {
		to := make(map[string]int)
		for range 20 {
			send, ok := f.last[f.arrive(lookup, plain, 0)].(Send)
			g.Expect(ok).To(BeTrue())
			to[send.Upstream.ID]++
			f.step(Done{ID: send.ID, Attempt: send.Attempt})
		}
		return to
	}
	g.Expect(sentTo()).To(HaveKey("p00"))
	f.step(Advised{Instance: list[1], Leaving: true})
	g.Expect(sentTo()).NotTo(HaveKey("p00"))
	f.step(InstancesChanged{Instances: list[2:]})
	f.now = f.now.Add(10 * time.Second)
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "the entry came back")
	f.step(InstancesChanged{Instances: list[2:]})
	f.step(Advised{Instance: list[1], Leaving: true})
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "it said so while its entry was gone")
	list[1].Started = 1
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"), "it started anew")
	// What an earlier start had said does not hold for a later one that is not listed.
	f.step(InstancesChanged{Instances: list[2:]})
	earlier := list[1]
	earlier.Started = 0
	f.step(Advised{Instance: earlier, Leaving: true})
	f.step(Advised{Instance: list[1], HoldOff: time.Millisecond})
	f.now = f.now.Add(time.Second)
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"))
}

// TestUpstreamIsSparedAsLongAsItAsks, also when its entry lapses and comes back
// meanwhile. While all are spared for longer than a caller can wait, it is refused at
// once and told when one is back.
func TestHoldOffIsHonoured(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	list := instances(1)
	instance := list[1]
	arrive := func() Effect { return f.last[f.arrive(lookup, plain, 0)] }
	f.step(Advised{Instance: instance, HoldOff: 3 * time.Second})
	refusal, ok := arrive().(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
	f.advance(time.Second)
	f.step(InstancesChanged{Instances: list[:1]})
	f.step(InstancesChanged{Instances: list})
	g.Expect(arrive()).To(BeAssignableToTypeOf(Refuse{}))
	// A shorter time that comes later does not end the longer one.
	f.step(Advised{Instance: instance, HoldOff: time.Second})
	f.advance(1700 * time.Millisecond)
	waiting := f.arrive(lookup, plain, 0)
	g.Expect(f.last).NotTo(HaveKey(waiting), "it can wait for so long")
	f.advance(400 * time.Millisecond)
	g.Expect(f.last[waiting]).To(BeAssignableToTypeOf(Send{}))
}

// TestAllUpstreamsLeaving: what cannot be served is refused at once.
func TestRefusedWhenAllUpstreamsLeave(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	f.step(Advised{Instance: instances(1)[1], Leaving: true})
	refusal, ok := f.last[f.arrive(lookup, plain, 0)].(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
}
