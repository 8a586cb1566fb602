package claims

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// calm is a world of two routers in which nothing happens by chance.
func calm() *world { return newWorld(2, faults{}, func(int) int { return 0 }) }

// stands puts a record of router r0 in the store.
func (w *world) stands(state recordState, status int, answer *[]byte) {
	a := operation("", 0, 0)
	rec := record{Router: "r0.1", Nonce: "r0.1/1", Body: fmt.Sprintf("%x", a.Body), State: state, Status: status, Answer: answer}
	w.store.apply(core.KVCAS{Key: Key(a.Organisation, a.Service, a.Key), Value: rec.encode()})
}

// refused is a refusal of r in short.
func refused(r core.RequestID, status int, o core.Outcome, why core.Reason, wait time.Duration) Decision {
	return Decision{Request: r, Kind: Refuse, Status: status, Outcome: o, Reason: why, RetryAfter: wait}
}

// TestRecordDecides: a later request is decided by the record that it finds.
func TestRecordDecides(t *testing.T) {
	answer := []byte("booked")
	for _, tc := range []struct {
		name string
		put  func(w *world)
		body int
		want Decision
	}{
		{"no record", func(*world) {}, 0, Decision{Request: "q1", Kind: Proceed}},
		{"finished", func(w *world) { w.runs["x"] = answer; w.stands(stateDone, 201, &answer) }, 0,
			Decision{Request: "q1", Kind: Replay, Status: 201, Answer: answer, Outcome: core.Complete}},
		{"finished, answer not kept", func(w *world) { w.stands(stateDone, 201, nil) }, 0,
			refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonTooLarge, 0)},
		{"other body", func(w *world) { w.stands(stateDone, 201, &answer) }, 1,
			refused("q1", http.StatusUnprocessableEntity, core.NotRun, core.ReasonKeyReused, 0)},
		{"failed after it was sent", func(w *world) { w.stands(stateMaybe, 0, nil) }, 0,
			refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
		{"claimed by an incarnation that knows nothing of it", func(w *world) { w.stands(stateClaimed, 0, nil) }, 0,
			refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
		{"unreadable", func(w *world) {
			a := operation("", 0, 0)
			w.store.apply(core.KVCAS{Key: Key(a.Organisation, a.Service, a.Key), Value: []byte("{")})
		}, 0, refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, w := NewWithT(t), calm()
			tc.put(w)
			r := w.begin(w.nodes[1], 0, tc.body)
			w.drain()
			g.Expect(w.decided[r]).To(Equal(tc.want))
		})
	}
}

// TestSameRouterDecides: a repeat at the router of the first request is answered
// from what that router knows, without a call on the store.
func TestSameRouterDecides(t *testing.T) {
	g, w := NewWithT(t), calm()
	n := w.nodes[0]
	w.begin(n, 0, 0)
	repeat := func(body int) Decision { return w.decided[w.begin(n, 0, body)] }
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonInProgress))
	g.Expect(repeat(1).Reason).To(Equal(core.ReasonKeyReused))
	w.drain()
	w.send(0, true)
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonInProgress))
	w.end(0, false)
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonClaimUnknown))
	g.Expect(w.calls).To(HaveLen(1), "the outcome's record")
	w.drain()
	g.Expect(n.state.GiveUp(w.now, "q1")).To(BeEmpty())
}

// TestHolderDecides: a claim of a live router is decided by its holder's word,
// if that comes from the incarnation that holds it.
func TestHolderDecides(t *testing.T) {
	unknownNow := refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)
	unknownLater := refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, retryUnknown)
	running := refused("q1", http.StatusConflict, core.MayHaveRun, core.ReasonInProgress, retryInProgress)
	reply := func(from core.RouterID, nonce string, s wire.ClaimState) core.Event {
		key := Key("org", "booking", "op0")
		return core.PeerMessage{From: from, Message: &wire.Envelope{Body: &wire.Envelope_ClaimReply{
			ClaimReply: &wire.ClaimReply{Key: key, Nonce: nonce, State: s}}}}
	}
	for _, tc := range []struct {
		name string
		ev   core.Event
		want Decision
	}{
		{"never sent", reply("r0.1", "r0.1/1", wire.ClaimState_CLAIM_NEVER_SENT), Decision{Request: "q1", Kind: Proceed}},
		{"in flight", reply("r0.1", "r0.1/1", wire.ClaimState_CLAIM_IN_FLIGHT), running},
		{"sent", reply("r0.1", "r0.1/1", wire.ClaimState_CLAIM_SENT), unknownNow},
		{"unknown", reply("r0.1", "r0.1/1", wire.ClaimState_CLAIM_UNKNOWN), unknownNow},
		{"another incarnation's word", reply("r0.9", "r0.1/1", wire.ClaimState_CLAIM_NEVER_SENT), unknownLater},
		{"word on another nonce", reply("r0.1", "r0.1/2", wire.ClaimState_CLAIM_NEVER_SENT), unknownLater},
		{"no word", core.Tick{}, unknownLater},
		{"holder out of reach", core.PeerDown{Peer: "r0.1"}, unknownLater},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, w := NewWithT(t), calm()
			w.stands(stateClaimed, 0, nil)
			r := w.begin(w.nodes[1], 0, 0)
			w.answer(w.calls[0], w.store.apply(w.calls[0].effect))
			w.answer(w.calls[1], w.store.apply(w.calls[1].effect))
			w.calls, w.mail = nil, nil
			w.take(w.nodes[1])(w.nodes[1].state.Step(w.now, tc.ev))
			w.serve(w.nodes[1])
			for range 20 {
				w.pass(100 * time.Millisecond)
			}
			g.Expect(w.decided[r]).To(Equal(tc.want))
		})
	}
}

// serve carries out the calls of one router; those of others wait.
func (w *world) serve(n *node) {
	var others []*kvCall
	for len(w.calls) > 0 {
		c := w.calls[0]
		w.calls = w.calls[1:]
		if c.from != n {
			others = append(others, c)
			continue
		}
		w.answer(c, w.store.apply(c.effect))
	}
	w.calls = others
}

// TestStoreFaults: what a first request is told when the store fails it.
func TestStoreFaults(t *testing.T) {
	down := refused("q1", http.StatusServiceUnavailable, core.NotRun, core.ReasonStoreDown, retryStoreDown)
	for _, tc := range []struct {
		name    string
		applied bool
		status  core.KVStatus
		heals   bool
		want    Decision
	}{
		{name: "not carried out", status: core.KVUnavailable, want: down},
		{name: "answer lost, written", applied: true, status: core.KVUnknown, heals: true, want: Decision{Request: "q1", Kind: Proceed}},
		{name: "answer lost, not written", status: core.KVUnknown, heals: true, want: Decision{Request: "q1", Kind: Proceed}},
		{name: "answer lost, then silence", applied: true, status: core.KVUnknown, want: down},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, w := NewWithT(t), calm()
			r := w.begin(w.nodes[0], 0, 0)
			c := w.calls[0]
			w.calls = nil
			if tc.applied {
				w.store.apply(c.effect)
			}
			w.answer(c, core.KVResult{Status: tc.status})
			if tc.heals {
				w.drain()
			}
			w.pass(settleTimeout)
			g.Expect(w.decided[r]).To(Equal(tc.want))
		})
	}
}

// TestLateWriteIsTakenBack: a write that lands after its claim was refused lets
// nothing run, and the next request goes ahead.
func TestLateWriteIsTakenBack(t *testing.T) {
	g, w := NewWithT(t), calm()
	first := w.begin(w.nodes[0], 0, 0)
	late := w.calls[0]
	w.calls = nil
	w.pass(settleTimeout)
	g.Expect(w.decided[first].Reason).To(Equal(core.ReasonStoreDown))
	result := w.store.apply(late.effect)

	second := w.begin(w.nodes[1], 0, 0)
	w.drain()
	g.Expect(w.decided[second].Kind).To(Equal(Proceed))
	g.Expect(w.store.takeovers).To(Equal(1))

	w.answer(late, result)
	w.drain()
	g.Expect(w.proceeds).To(Equal(1))
	w.send(0, true)
	w.end(0, true)
	w.settle()
	third := w.begin(w.nodes[0], 0, 0)
	w.drain()
	g.Expect(w.decided[third].Kind).To(Equal(Replay))
}

// TestPauseDoesNoHarm: a router that slept for hours still holds its claim, and
// nobody took it meanwhile.
func TestPauseDoesNoHarm(t *testing.T) {
	g, w := NewWithT(t), calm()
	w.begin(w.nodes[0], 0, 0)
	w.drain()
	g.Expect(w.ready).To(HaveLen(1))
	w.now = w.now.Add(6 * time.Hour)
	other := w.begin(w.nodes[1], 0, 0)
	for range 20 {
		w.serve(w.nodes[1])
		w.mail = nil
		w.now = w.now.Add(100 * time.Millisecond)
		w.wake(w.nodes[1])
	}
	g.Expect(w.decided[other].Reason).To(Equal(core.ReasonClaimUnknown))
	g.Expect(w.decided[other].Outcome).To(Equal(core.MayHaveRun))
	w.send(0, true)
	w.end(0, true)
	w.settle()
	again := w.begin(w.nodes[1], 0, 0)
	w.drain()
	g.Expect(w.decided[again].Kind).To(Equal(Replay))
}

// TestUnsentIsFree: a request that failed unsent, or was given up, leaves its
// operation to the next one.
func TestUnsentIsFree(t *testing.T) {
	for name, leave := range map[string]func(w *world){
		"failed": func(w *world) { w.send(0, false); w.end(0, true) },
		"given up": func(w *world) {
			w.take(w.nodes[0])(w.nodes[0].state.GiveUp(w.now, w.ready[0].request), nil)
			w.ready = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, w := NewWithT(t), calm()
			w.begin(w.nodes[0], 0, 0)
			w.drain()
			leave(w)
			w.drain()
			g.Expect(w.store.entries).To(BeEmpty())
			next := w.begin(w.nodes[1], 0, 0)
			w.drain()
			g.Expect(w.decided[next].Kind).To(Equal(Proceed))
		})
	}
}

// TestUnsentRequestTriesAgain: after a failed dial the same request claims again
// at once, under a new nonce, though its old record still stands.
func TestUnsentRequestTriesAgain(t *testing.T) {
	g, w := NewWithT(t), calm()
	r := w.begin(w.nodes[0], 0, 0)
	w.drain()
	w.send(0, false)
	w.end(0, true)
	release := w.calls
	w.calls = nil
	delete(w.decided, r)
	w.take(w.nodes[0])(w.nodes[0].state.Begin(w.now, operation(r, 0, 0)))
	w.drain()
	g.Expect(w.decided[r].Kind).To(Equal(Proceed))
	g.Expect(w.store.takeovers).To(Equal(1))
	w.calls = release
	w.drain()
	g.Expect(w.store.entries).To(HaveLen(1))
}
