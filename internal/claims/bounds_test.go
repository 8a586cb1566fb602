package claims

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// TestCallsPerOperation counts the key-value calls.
func TestCallsPerOperation(t *testing.T) {
	for _, tc := range []struct {
		name          string
		tellsIndex    bool
		repeat        bool
		reads, writes int
	}{
		{name: "first, store tells the index", tellsIndex: true, reads: 0, writes: 2},
		{name: "first, store tells no index", reads: 1, writes: 2},
		{name: "repeat of a finished one", repeat: true, tellsIndex: true, reads: 1, writes: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			sim.store.returnsIndex = tc.tellsIndex
			sim.begin(sim.nodes[0], 0, 0)
			sim.drain()
			sim.sendGranted(0, true)
			sim.endGranted(0, true)
			sim.drain()
			if tc.repeat {
				sim.store.reads, sim.store.writes = 0, 0
				sim.begin(sim.nodes[1], 0, 0)
				sim.drain()
				g.Expect(sim.replays).To(Equal(1))
			}
			g.Expect([]int{sim.store.reads, sim.store.writes}).To(Equal([]int{tc.reads, tc.writes}))
			t.Logf("%d reads, %d writes", sim.store.reads, sim.store.writes)
		})
	}
}

// TestForgottenTombstoneIsUnknown: at the bound a nonce is refused, not taken
// over.
func TestForgottenTombstoneIsUnknown(t *testing.T) {
	g, s := NewWithT(t), New("r0.1")
	s.neverSent = newTombstones(2)
	for i := range 3 {
		s.neverSent.add(fmt.Sprint("r0.1/", i))
	}
	g.Expect(s.nonceState("k", "r0.1/0")).To(Equal(wire.ClaimState_CLAIM_UNKNOWN))
	g.Expect(s.nonceState("k", "r0.1/1")).To(Equal(wire.ClaimState_CLAIM_NEVER_SENT))
	g.Expect(s.nonceState("k", "r0.1/2")).To(Equal(wire.ClaimState_CLAIM_NEVER_SENT))
	g.Expect(s.neverSent.set).To(HaveLen(2))
}

// TestOutageLeavesNoTombstones: a write that was certainly not carried out needs
// none.
func TestOutageLeavesNoTombstones(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	for op := range 5 {
		sim.begin(sim.nodes[0], op, 0)
	}
	sim.refuseCalls(1)
	g.Expect(sim.decided).To(HaveLen(5))
	g.Expect(sim.nodes[0].state.neverSent.set).To(BeEmpty())
}

// TestKeysDiffer: names cannot be chosen so that operations meet.
func TestKeysDiffer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Key("a/b", "c", "k")).NotTo(Equal(Key("a", "b/c", "k")))
	g.Expect(Key("org", "booking", "k")).To(HavePrefix("jujubeford/claims/org/booking/"))
}

// TestInvariantsPanic: a second send, or one that was not granted, stops the
// process.
func TestInvariantsPanic(t *testing.T) {
	for name, misuse := range map[string]func(sim *simulation){
		"not granted": func(sim *simulation) { sim.nodes[0].state.Sent(sim.now, "q1") },
		"sent twice": func(sim *simulation) {
			sim.drain()
			sim.nodes[0].state.Sent(sim.now, "q1")
			sim.nodes[0].state.Sent(sim.now, "q1")
		},
		"declared never sent": func(sim *simulation) {
			sim.drain()
			sim.nodes[0].state.neverSent.add("r0.1/1")
			sim.nodes[0].state.Sent(sim.now, "q1")
		},
		"granted after never sent": func(sim *simulation) {
			sim.nodes[0].state.neverSent.add("r0.1/1")
			sim.drain()
		},
		"finished unsent": func(sim *simulation) {
			sim.drain()
			sim.nodes[0].state.Finish(sim.now, "q1", 200, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFaultFree()
			sim.begin(sim.nodes[0], 0, 0)
			NewWithT(t).Expect(func() { misuse(sim) }).To(Panic())
		})
	}
}

// refuseCalls refuses all calls for some time.
func (sim *simulation) refuseCalls(rounds int) {
	for range rounds {
		calls := sim.calls
		sim.calls = nil
		for _, c := range calls {
			sim.deliverResult(c, core.KVResult{Status: core.KVUnavailable})
		}
		sim.advance(backoffMax)
	}
}

// TestOutcomeWaitsForTheStore: an outcome is recorded when the store is back;
// until then it is answered from memory, and others are told to come again.
func TestOutcomeWaitsForTheStore(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.refuseCalls(10)
	g.Expect(sim.nodes[0].state.Pending()).To(Equal(1))
	here := sim.begin(sim.nodes[0], 0, 0)
	g.Expect(sim.decided[here].Kind).To(Equal(Replay))
	there := sim.begin(sim.nodes[1], 0, 0)
	sim.serveCalls(sim.nodes[1])
	sim.deliverMessage(sim.messages[0])
	sim.deliverMessage(sim.messages[1])
	g.Expect(sim.decided[there].Reason).To(Equal(core.ReasonInProgress))
	sim.runToCompletion()
	g.Expect(sim.nodes[0].state.Pending()).To(BeZero())
}

// TestHeldAnswersAreBounded: beyond the bound outcomes wait without answers.
func TestHeldAnswersAreBounded(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	s := sim.nodes[0].state
	answer := make([]byte, MaxAnswerBytes)
	for i := range maxPendingAnswerBytes/MaxAnswerBytes + 2 {
		r := core.RequestID(fmt.Sprint("held", i))
		effects, _ := s.Begin(sim.now, operation(r, i, 0))
		s.Step(sim.now, core.KVResult{Op: opOf(effects[0]), Status: core.KVOK, Index: 1})
		s.Sent(sim.now, r)
		s.Finish(sim.now, r, 200, answer)
	}
	g.Expect(s.pendingAnswerBytes).To(Equal(maxPendingAnswerBytes))
	g.Expect(s.Pending()).To(Equal(maxPendingAnswerBytes/MaxAnswerBytes + 2))
}

// TestAmendmentsEnd: an outcome that cannot be recorded in time is dropped; its
// operation then counts as one that may have run.
func TestAmendmentsEnd(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.refuseCalls(int(recordTimeout/backoffMax) + 20)
	g.Expect(sim.nodes[0].state.Pending()).To(BeZero())
	g.Expect(sim.nodes[0].state.Wake()).To(Equal(time.Time{}))
	late := sim.begin(sim.nodes[1], 0, 0)
	sim.drain()
	g.Expect(sim.decided[late].Reason).To(Equal(core.ReasonClaimUnknown))
}
