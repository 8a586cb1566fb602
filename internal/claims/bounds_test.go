package claims

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// TestCallsPerOperation checks how many key-value reads and writes one operation
// takes.
func TestCallsPerOperation(t *testing.T) {
	for _, tc := range []struct {
		name          string
		returnsIndex  bool
		repeat        bool
		reads, writes int
	}{
		{name: "first request, store returns the index", returnsIndex: true, reads: 0, writes: 2},
		{name: "first request, store returns no index", reads: 1, writes: 2},
		{name: "repeat of a finished operation", repeat: true, returnsIndex: true, reads: 1, writes: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			sim.store.returnsIndex = tc.returnsIndex
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

// TestForgottenTombstoneIsUnknown checks that a nonce whose tombstone was evicted
// is reported as unknown, so that its record is not taken over.
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

// TestOutageLeavesNoTombstones checks that no tombstone is kept for a write that
// was certainly not carried out.
func TestOutageLeavesNoTombstones(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	for op := range 5 {
		sim.begin(sim.nodes[0], op, 0)
	}
	sim.refuseCalls(1)
	g.Expect(sim.decided).To(HaveLen(5))
	g.Expect(sim.nodes[0].state.neverSent.set).To(BeEmpty())
}

// TestKeysDiffer checks that a separator in a name cannot give two operations
// the same key.
func TestKeysDiffer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Key("a/b", "c", "k")).NotTo(Equal(Key("a", "b/c", "k")))
	g.Expect(Key("org", "booking", "k")).To(HavePrefix("jujubeford/claims/org/booking/"))
}

// TestInvariantsPanic checks that a second send, a send or finish out of order,
// and a grant or send of a nonce that was declared never sent panic.
func TestInvariantsPanic(t *testing.T) {
	for name, misuse := range map[string]func(sim *simulation){
		"not granted": func(sim *simulation) { sim.nodes[0].state.MarkSent(sim.now, "q1") },
		"sent twice": func(sim *simulation) {
			sim.drain()
			sim.nodes[0].state.MarkSent(sim.now, "q1")
			sim.nodes[0].state.MarkSent(sim.now, "q1")
		},
		"declared never sent": func(sim *simulation) {
			sim.drain()
			sim.nodes[0].state.neverSent.add("r0.1/1")
			sim.nodes[0].state.MarkSent(sim.now, "q1")
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

// refuseCalls fails all key-value calls with KVUnavailable for a number of
// rounds, each backoffMax long.
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

// TestOutcomeWaitsForTheStore checks that an outcome is recorded once the store
// is back. Until then the router itself replays it from memory, and a request at
// another router is refused as in progress.
func TestOutcomeWaitsForTheStore(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.refuseCalls(10)
	g.Expect(sim.nodes[0].state.PendingOutcomes()).To(Equal(1))
	sameRouter := sim.begin(sim.nodes[0], 0, 0)
	g.Expect(sim.decided[sameRouter].Kind).To(Equal(Replay))
	otherRouter := sim.begin(sim.nodes[1], 0, 0)
	sim.serveCalls(sim.nodes[1])
	sim.deliverMessage(sim.messages[0])
	sim.deliverMessage(sim.messages[1])
	g.Expect(sim.decided[otherRouter].Reason).To(Equal(core.ReasonInProgress))
	sim.runToCompletion()
	g.Expect(sim.nodes[0].state.PendingOutcomes()).To(BeZero())
}

// TestPendingAnswersAreBounded checks that pending outcomes beyond
// maxPendingAnswerBytes are kept without their answers.
func TestPendingAnswersAreBounded(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	s := sim.nodes[0].state
	answer := make([]byte, MaxAnswerBytes)
	for i := range maxPendingAnswerBytes/MaxAnswerBytes + 2 {
		r := core.RequestID(fmt.Sprint("held", i))
		effects, _ := s.Begin(sim.now, operation(r, i, 0))
		s.Step(sim.now, core.KVResult{Op: opOf(effects[0]), Status: core.KVOK, Index: 1})
		s.MarkSent(sim.now, r)
		s.Finish(sim.now, r, 200, answer)
	}
	g.Expect(s.pendingAnswerBytes).To(Equal(maxPendingAnswerBytes))
	g.Expect(s.PendingOutcomes()).To(Equal(maxPendingAnswerBytes/MaxAnswerBytes + 2))
}

// TestOutcomeUpdateExpires checks that an outcome that cannot be recorded within
// recordTimeout is dropped, and that its operation then counts as one that may
// have run.
func TestOutcomeUpdateExpires(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.refuseCalls(int(recordTimeout/backoffMax) + 20)
	g.Expect(sim.nodes[0].state.PendingOutcomes()).To(BeZero())
	g.Expect(sim.nodes[0].state.Wake()).To(Equal(time.Time{}))
	late := sim.begin(sim.nodes[1], 0, 0)
	sim.drain()
	g.Expect(sim.decided[late].Reason).To(Equal(core.ReasonClaimUnknown))
}
