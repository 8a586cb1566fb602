package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLeavingUpstreamGetsNothing until it starts anew, also when its entry lapses and
// comes back meanwhile.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2)
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
}

// TestAllUpstreamsLeaving: what cannot be served is refused at once.
func TestAllUpstreamsLeaving(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1)
	w.step(Advised{Instance: instances(1)[1], Leaving: true})
	refusal, ok := w.last[w.arrive(lookup, plain, 0)].(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
}
