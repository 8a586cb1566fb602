package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An upstream that is leaving gets no requests until it restarts, also if its entry is
// removed from the list and returns, or the notice arrives while the entry is gone.
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
	f.step(InstanceReported{Instance: list[1], Leaving: true})
	g.Expect(sentTo()).NotTo(HaveKey("p00"))
	f.step(InstancesChanged{Instances: list[2:]})
	f.now = f.now.Add(10 * time.Second)
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "the entry returned to the list")
	f.step(InstancesChanged{Instances: list[2:]})
	f.step(InstanceReported{Instance: list[1], Leaving: true})
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).NotTo(HaveKey("p00"), "the notice arrived while the entry was gone")
	list[1].Started = 1
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"), "the instance restarted")
	// Advice of an earlier run does not apply to a later run that is not listed.
	f.step(InstancesChanged{Instances: list[2:]})
	earlier := list[1]
	earlier.Started = 0
	f.step(InstanceReported{Instance: earlier, Leaving: true})
	f.step(InstanceReported{Instance: list[1], HoldOff: time.Millisecond})
	f.now = f.now.Add(time.Second)
	f.step(InstancesChanged{Instances: list})
	g.Expect(sentTo()).To(HaveKey("p00"))
}

// A router whose caller got its answer by way of another router, or that has not asked the
// upstream itself, hears from the reports that it is leaving, also as part of a sum.
func TestPeersHearThatAnUpstreamIsLeaving(t *testing.T) {
	g := NewWithT(t)
	here, there := newFixture(t, 2), newFixture(t, 2)
	list := instances(2)
	before := here.UnreportedTokens()
	here.step(InstanceReported{Instance: list[1], Leaving: true})
	g.Expect(here.UnreportedTokens() - before).To(Equal(leavingTokens))
	sum := NewReport()
	for range 2 {
		sum.Add(here.Report(here.now))
	}
	g.Expect(sum.Leaving).To(HaveLen(1))
	there.step(PeerReported{Peer: "here", Report: sum})
	sends := func() map[string]int {
		to := make(map[string]int)
		for range 20 {
			send, ok := there.last[there.arrive(lookup, plain, 0)].(Send)
			g.Expect(ok).To(BeTrue())
			to[send.Upstream.ID]++
			there.step(Done{ID: send.ID, Attempt: send.Attempt})
		}
		return to
	}
	g.Expect(sends()).NotTo(HaveKey("p00"))
	list[1].Started = 1
	there.step(InstancesChanged{Instances: list})
	there.step(PeerReported{Peer: "here", Report: sum})
	g.Expect(sends()).To(HaveKey("p00"), "the instance restarted")
}

// An upstream gets no requests during its hold-off, also if its entry is removed from the
// list and returns. If the hold-off of all upstreams ends too late for a request, it is
// refused immediately with a matching Retry-After.
func TestHoldOffIsHonoured(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	list := instances(1)
	instance := list[1]
	arrive := func() Effect { return f.last[f.arrive(lookup, plain, 0)] }
	f.step(InstanceReported{Instance: instance, HoldOff: 3 * time.Second})
	refusal, ok := arrive().(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
	f.advance(time.Second)
	f.step(InstancesChanged{Instances: list[:1]})
	f.step(InstancesChanged{Instances: list})
	g.Expect(arrive()).To(BeAssignableToTypeOf(Refuse{}))
	// A shorter hold-off that arrives later does not end a longer one.
	f.step(InstanceReported{Instance: instance, HoldOff: time.Second})
	f.advance(1700 * time.Millisecond)
	waiting := f.arrive(lookup, plain, 0)
	g.Expect(f.last).NotTo(HaveKey(waiting), "the hold-off ends before the queue deadline")
	f.advance(400 * time.Millisecond)
	g.Expect(f.last[waiting]).To(BeAssignableToTypeOf(Send{}))
}

// Requests are refused immediately if all upstreams are leaving.
func TestRefusedWhenAllUpstreamsLeave(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	f.step(InstanceReported{Instance: instances(1)[1], Leaving: true})
	refusal, ok := f.last[f.arrive(lookup, plain, 0)].(Refuse)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
}

// A restored store lists an instance as ready that was leaving and is gone.
func TestOlderEntryDoesNotTakeBackThatAnInstanceLeft(t *testing.T) {
	f := newFixture(t, 1)
	list := instances(2)
	for i := range list {
		list[i].Started = 1
	}
	leaving := slices.Clone(list)
	leaving[0].Draining = true
	for _, l := range [][]Instance{list, leaving, list[1:], list} {
		f.step(InstancesChanged{Instances: l})
	}
	for range 8 {
		f.g.Expect(f.lastSend(f.arrive(chat, model, 100)).Upstream.ID).NotTo(Equal(list[0].ID))
	}
	list[0].Started = 2
	f.step(InstancesChanged{Instances: list})
	f.g.Expect(f.upstreams[list[0].ID].acceptsWork(f.now)).To(BeTrue())
}

// An upstream that left before the store was restored gets nothing, also from a router that
// hears of it from a peer, until its entry is written anew.
func TestDepartedUpstreamGetsNothingUntilItsEntryIsWrittenAnew(t *testing.T) {
	here, there := newFixture(t, 2), newFixture(t, 2)
	list := instances(2)
	for i := range list {
		list[i].Entry = 1
	}
	departed := append([]Instance(nil), list...)
	departed[1].Departed = true
	before := here.UnreportedTokens()
	here.step(InstancesChanged{Instances: departed})
	here.g.Expect(here.UnreportedTokens() - before).To(Equal(leavingTokens))
	there.step(InstancesChanged{Instances: list})
	sum := NewReport()
	sum.Add(here.Report(here.now))
	there.step(PeerReported{Peer: "here", Report: sum})
	sends := func(f *fixture) map[string]int {
		to := make(map[string]int)
		for range 10 {
			send := f.lastSend(f.arrive(lookup, plain, 0))
			to[send.Upstream.ID]++
			f.step(Done{ID: send.ID, Attempt: send.Attempt})
		}
		return to
	}
	for _, f := range []*fixture{here, there} {
		f.g.Expect(sends(f)).NotTo(HaveKey("p00"))
	}
	there.now = there.now.Add(departedHold)
	there.g.Expect(sends(there)).To(HaveKey("p00"), "the peer does not repeat it")
	there.step(PeerReported{Peer: "here", Report: sum})
	list[1].Entry = 2
	for _, f := range []*fixture{here, there} {
		f.step(InstancesChanged{Instances: list})
		f.g.Expect(sends(f)).To(HaveKey("p00"), "the entry was written anew")
		f.g.Expect(f.MaySend(f.now, list[1])).To(BeTrue())
	}
	there.step(PeerReported{Peer: "here", Report: sum})
	there.g.Expect(sends(there)).To(HaveKey("p00"), "the report is about the entry before")
}
