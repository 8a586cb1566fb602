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
		again         bool
		reads, writes int
	}{
		{name: "first, store tells the index", tellsIndex: true, reads: 0, writes: 2},
		{name: "first, store tells no index", reads: 1, writes: 2},
		{name: "repeat of a finished one", again: true, tellsIndex: true, reads: 1, writes: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, w := NewWithT(t), calm()
			w.store.tellsIndex = tc.tellsIndex
			w.begin(w.nodes[0], 0, 0)
			w.drain()
			w.send(0, true)
			w.end(0, true)
			w.drain()
			if tc.again {
				w.store.reads, w.store.writes = 0, 0
				w.begin(w.nodes[1], 0, 0)
				w.drain()
				g.Expect(w.replays).To(Equal(1))
			}
			g.Expect([]int{w.store.reads, w.store.writes}).To(Equal([]int{tc.reads, tc.writes}))
			t.Logf("%d reads, %d writes", w.store.reads, w.store.writes)
		})
	}
}

// TestForgottenTombstoneIsUnknown: at the bound a nonce is refused, not taken
// over.
func TestForgottenTombstoneIsUnknown(t *testing.T) {
	g, s := NewWithT(t), New("r0.1")
	s.never = newTombstones(2)
	for i := range 3 {
		s.never.add(fmt.Sprint("r0.1/", i))
	}
	g.Expect(s.stateOf("k", "r0.1/0")).To(Equal(wire.ClaimState_CLAIM_UNKNOWN))
	g.Expect(s.stateOf("k", "r0.1/1")).To(Equal(wire.ClaimState_CLAIM_NEVER_SENT))
	g.Expect(s.stateOf("k", "r0.1/2")).To(Equal(wire.ClaimState_CLAIM_NEVER_SENT))
	g.Expect(s.never.set).To(HaveLen(2))
}

// TestOutageLeavesNoTombstones: a write that was certainly not carried out needs
// none.
func TestOutageLeavesNoTombstones(t *testing.T) {
	g, w := NewWithT(t), calm()
	for op := range 5 {
		w.begin(w.nodes[0], op, 0)
	}
	w.outage(1)
	g.Expect(w.decided).To(HaveLen(5))
	g.Expect(w.nodes[0].state.never.set).To(BeEmpty())
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
	for name, misuse := range map[string]func(w *world){
		"not granted": func(w *world) { w.nodes[0].state.Sent(w.now, "q1") },
		"sent twice": func(w *world) {
			w.drain()
			w.nodes[0].state.Sent(w.now, "q1")
			w.nodes[0].state.Sent(w.now, "q1")
		},
		"declared never sent": func(w *world) {
			w.drain()
			w.nodes[0].state.never.add("r0.1/1")
			w.nodes[0].state.Sent(w.now, "q1")
		},
		"granted after never sent": func(w *world) {
			w.nodes[0].state.never.add("r0.1/1")
			w.drain()
		},
		"finished unsent": func(w *world) {
			w.drain()
			w.nodes[0].state.Finish(w.now, "q1", 200, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := calm()
			w.begin(w.nodes[0], 0, 0)
			NewWithT(t).Expect(func() { misuse(w) }).To(Panic())
		})
	}
}

// outage refuses all calls for some time.
func (w *world) outage(rounds int) {
	for range rounds {
		calls := w.calls
		w.calls = nil
		for _, c := range calls {
			w.answer(c, core.KVResult{Status: core.KVUnavailable})
		}
		w.pass(backoffMax)
	}
}

// TestOutcomeWaitsForTheStore: an outcome is recorded when the store is back;
// until then it is answered from memory, and others are told to come again.
func TestOutcomeWaitsForTheStore(t *testing.T) {
	g, w := NewWithT(t), calm()
	w.begin(w.nodes[0], 0, 0)
	w.drain()
	w.send(0, true)
	w.end(0, true)
	w.outage(10)
	g.Expect(w.nodes[0].state.Pending()).To(Equal(1))
	here := w.begin(w.nodes[0], 0, 0)
	g.Expect(w.decided[here].Kind).To(Equal(Replay))
	there := w.begin(w.nodes[1], 0, 0)
	w.serve(w.nodes[1])
	w.deliver(w.mail[0])
	w.deliver(w.mail[1])
	g.Expect(w.decided[there].Reason).To(Equal(core.ReasonInProgress))
	w.settle()
	g.Expect(w.nodes[0].state.Pending()).To(BeZero())
}

// TestHeldAnswersAreBounded: beyond the bound outcomes wait without answers.
func TestHeldAnswersAreBounded(t *testing.T) {
	g, w := NewWithT(t), calm()
	s := w.nodes[0].state
	answer := make([]byte, MaxAnswer)
	for i := range maxHeldBytes/MaxAnswer + 2 {
		r := core.RequestID(fmt.Sprint("held", i))
		effects, _ := s.Begin(w.now, operation(r, i, 0))
		s.Step(w.now, core.KVResult{Op: opOf(effects[0]), Status: core.KVOK, Index: 1})
		s.Sent(w.now, r)
		s.Finish(w.now, r, 200, answer)
	}
	g.Expect(s.heldBytes).To(Equal(maxHeldBytes))
	g.Expect(s.Pending()).To(Equal(maxHeldBytes/MaxAnswer + 2))
}

// TestAmendmentsEnd: an outcome that cannot be recorded in time is dropped; its
// operation then counts as one that may have run.
func TestAmendmentsEnd(t *testing.T) {
	g, w := NewWithT(t), calm()
	w.begin(w.nodes[0], 0, 0)
	w.drain()
	w.send(0, true)
	w.end(0, true)
	w.outage(int(recordTimeout/backoffMax) + 20)
	g.Expect(w.nodes[0].state.Pending()).To(BeZero())
	g.Expect(w.nodes[0].state.Wake()).To(Equal(time.Time{}))
	late := w.begin(w.nodes[1], 0, 0)
	w.drain()
	g.Expect(w.decided[late].Reason).To(Equal(core.ReasonClaimUnknown))
}
