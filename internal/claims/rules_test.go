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

// newFaultFree returns a simulation of two routers without random faults.
func newFaultFree() *simulation { return newSimulation(2, mutations{}, func(int) int { return 0 }) }

// putRecord stores a record of the first incarnation of router r0.
func (sim *simulation) putRecord(state recordState, status int, answer *[]byte) {
	a := operation("", 0, 0)
	rec := record{Router: "r0.1", Nonce: "r0.1/1", Body: fmt.Sprintf("%x", a.Fingerprint), State: state, Status: status, Answer: answer}
	sim.store.execute(core.KVCAS{Key: Key(a.Organisation, a.Service, a.Key), Value: rec.encode()})
}

// refusal returns the decision that refuses r.
func refusal(r core.RequestID, status int, o core.Outcome, reason core.Reason, retryAfter time.Duration) Decision {
	return Decision{Request: r, Kind: Refuse, Status: status, Outcome: o, Reason: reason, RetryAfter: retryAfter}
}

// TestRecordDecides checks how a request is decided by the record in the store.
func TestRecordDecides(t *testing.T) {
	answer := []byte("booked")
	for _, tc := range []struct {
		name    string
		prepare func(sim *simulation)
		body    int
		want    Decision
	}{
		{"no record", func(*simulation) {}, 0, Decision{Request: "q1", Kind: Proceed}},
		{"finished", func(sim *simulation) { sim.executed["x"] = answer; sim.putRecord(stateDone, 201, &answer) }, 0,
			Decision{Request: "q1", Kind: Replay, Status: 201, Answer: answer, Outcome: core.Complete}},
		{"finished, answer not kept", func(sim *simulation) { sim.putRecord(stateDone, 201, nil) }, 0,
			refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonTooLarge, 0)},
		{"other body", func(sim *simulation) { sim.putRecord(stateDone, 201, &answer) }, 1,
			refusal("q1", http.StatusUnprocessableEntity, core.NotRun, core.ReasonKeyReused, 0)},
		{"failed after it was sent", func(sim *simulation) { sim.putRecord(stateMaybe, 0, nil) }, 0,
			refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
		{"claimed by an incarnation that does not know the nonce", func(sim *simulation) { sim.putRecord(stateClaimed, 0, nil) }, 0,
			refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
		{"unreadable", func(sim *simulation) {
			a := operation("", 0, 0)
			sim.store.execute(core.KVCAS{Key: Key(a.Organisation, a.Service, a.Key), Value: []byte("{")})
		}, 0, refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			tc.prepare(sim)
			r := sim.begin(sim.nodes[1], 0, tc.body)
			sim.drain()
			g.Expect(sim.decided[r]).To(Equal(tc.want))
		})
	}
}

// TestSameRouterDecides checks that a repeat at the router of the first request
// is decided from that router's own state, without a call to the store.
func TestSameRouterDecides(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	n := sim.nodes[0]
	sim.begin(n, 0, 0)
	repeat := func(body int) Decision { return sim.decided[sim.begin(n, 0, body)] }
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonInProgress))
	g.Expect(repeat(1).Reason).To(Equal(core.ReasonKeyReused))
	sim.drain()
	sim.sendGranted(0, true)
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonInProgress))
	sim.endGranted(0, false)
	g.Expect(repeat(0).Reason).To(Equal(core.ReasonClaimUnknown))
	g.Expect(sim.calls).To(HaveLen(1), "only the write of the outcome")
	sim.drain()
	g.Expect(n.state.GiveUp(sim.now, "q1")).To(BeEmpty())
}

// TestHolderDecides checks how a request is decided by the reply of the record's
// holder, and that replies of other incarnations or about other nonces are
// ignored.
func TestHolderDecides(t *testing.T) {
	unknownNow := refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, 0)
	unknownLater := refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, retryAfterUnknown)
	running := refusal("q1", http.StatusConflict, core.MayHaveRun, core.ReasonInProgress, retryAfterInProgress)
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
		{"reply of another incarnation", reply("r0.9", "r0.1/1", wire.ClaimState_CLAIM_NEVER_SENT), unknownLater},
		{"reply about another nonce", reply("r0.1", "r0.1/2", wire.ClaimState_CLAIM_NEVER_SENT), unknownLater},
		{"no reply", core.Tick{}, unknownLater},
		{"holder unreachable", core.PeerDown{Peer: "r0.1"}, unknownLater},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			sim.putRecord(stateClaimed, 0, nil)
			r := sim.begin(sim.nodes[1], 0, 0)
			sim.deliverResult(sim.calls[0], sim.store.execute(sim.calls[0].effect))
			sim.deliverResult(sim.calls[1], sim.store.execute(sim.calls[1].effect))
			sim.calls, sim.messages = nil, nil
			sim.process(sim.nodes[1])(sim.nodes[1].state.Step(sim.now, tc.ev))
			sim.serveCalls(sim.nodes[1])
			for range 20 {
				sim.advance(100 * time.Millisecond)
			}
			g.Expect(sim.decided[r]).To(Equal(tc.want))
		})
	}
}

// serveCalls executes the key-value calls of one router and leaves those of
// others queued.
func (sim *simulation) serveCalls(n *node) {
	var others []*kvCall
	for len(sim.calls) > 0 {
		c := sim.calls[0]
		sim.calls = sim.calls[1:]
		if c.from != n {
			others = append(others, c)
			continue
		}
		sim.deliverResult(c, sim.store.execute(c.effect))
	}
	sim.calls = others
}

// TestStoreFaults checks how a first request is decided when its write fails or
// its answer is lost.
func TestStoreFaults(t *testing.T) {
	down := refusal("q1", http.StatusServiceUnavailable, core.NotRun, core.ReasonStoreDown, retryAfterStoreDown)
	for _, tc := range []struct {
		name          string
		applied       bool
		status        core.KVStatus
		storeRecovers bool
		want          Decision
	}{
		{name: "not carried out", status: core.KVUnavailable, want: down},
		{name: "answer lost, written", applied: true, status: core.KVUnknown, storeRecovers: true, want: Decision{Request: "q1", Kind: Proceed}},
		{name: "answer lost, not written", status: core.KVUnknown, storeRecovers: true, want: Decision{Request: "q1", Kind: Proceed}},
		{name: "answer lost, then no further answers", applied: true, status: core.KVUnknown, want: down},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			r := sim.begin(sim.nodes[0], 0, 0)
			c := sim.calls[0]
			sim.calls = nil
			if tc.applied {
				sim.store.execute(c.effect)
			}
			sim.deliverResult(c, core.KVResult{Status: tc.status})
			if tc.storeRecovers {
				sim.drain()
			}
			sim.advance(decisionTimeout)
			g.Expect(sim.decided[r]).To(Equal(tc.want))
		})
	}
}

// TestLateWriteIsRemoved checks that a write that takes effect after its
// request was refused runs nothing and does not block the next request.
func TestLateWriteIsRemoved(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	first := sim.begin(sim.nodes[0], 0, 0)
	late := sim.calls[0]
	sim.calls = nil
	sim.advance(decisionTimeout)
	g.Expect(sim.decided[first].Reason).To(Equal(core.ReasonStoreDown))
	result := sim.store.execute(late.effect)

	second := sim.begin(sim.nodes[1], 0, 0)
	sim.drain()
	g.Expect(sim.decided[second].Kind).To(Equal(Proceed))
	g.Expect(sim.store.takeovers).To(Equal(1))

	sim.deliverResult(late, result)
	sim.drain()
	g.Expect(sim.proceeds).To(Equal(1))
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.runToCompletion()
	third := sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	g.Expect(sim.decided[third].Kind).To(Equal(Replay))
}

// TestPausedHolderKeepsClaim checks that no router takes over the claim of a router
// that was paused for hours between grant and send, and that the paused router can
// still send.
func TestPausedHolderKeepsClaim(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	g.Expect(sim.granted).To(HaveLen(1))
	sim.now = sim.now.Add(6 * time.Hour)
	other := sim.begin(sim.nodes[1], 0, 0)
	for range 20 {
		sim.serveCalls(sim.nodes[1])
		sim.messages = nil
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.wake(sim.nodes[1])
	}
	g.Expect(sim.decided[other].Reason).To(Equal(core.ReasonClaimUnknown))
	g.Expect(sim.decided[other].Outcome).To(Equal(core.MayHaveRun))
	sim.sendGranted(0, true)
	sim.endGranted(0, true)
	sim.runToCompletion()
	again := sim.begin(sim.nodes[1], 0, 0)
	sim.drain()
	g.Expect(sim.decided[again].Kind).To(Equal(Replay))
}

// TestUnsentRequestFreesOperation checks that after a request that failed unsent or
// was given up, the next request may run the operation.
func TestUnsentRequestFreesOperation(t *testing.T) {
	for name, endUnsent := range map[string]func(sim *simulation){
		"failed": func(sim *simulation) { sim.sendGranted(0, false); sim.endGranted(0, true) },
		"given up": func(sim *simulation) {
			sim.process(sim.nodes[0])(sim.nodes[0].state.GiveUp(sim.now, sim.granted[0].request), nil)
			sim.granted = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, sim := NewWithT(t), newFaultFree()
			sim.begin(sim.nodes[0], 0, 0)
			sim.drain()
			endUnsent(sim)
			sim.drain()
			g.Expect(sim.store.entries).To(BeEmpty())
			next := sim.begin(sim.nodes[1], 0, 0)
			sim.drain()
			g.Expect(sim.decided[next].Kind).To(Equal(Proceed))
		})
	}
}

// TestUnsentRequestClaimsAgain checks that after a failed dial the same request
// can claim again at once, under a new nonce, although its old record has not
// been removed yet.
func TestUnsentRequestClaimsAgain(t *testing.T) {
	g, sim := NewWithT(t), newFaultFree()
	r := sim.begin(sim.nodes[0], 0, 0)
	sim.drain()
	sim.sendGranted(0, false)
	sim.endGranted(0, true)
	release := sim.calls
	sim.calls = nil
	delete(sim.decided, r)
	sim.process(sim.nodes[0])(sim.nodes[0].state.Begin(sim.now, operation(r, 0, 0)))
	sim.drain()
	g.Expect(sim.decided[r].Kind).To(Equal(Proceed))
	g.Expect(sim.store.takeovers).To(Equal(1))
	sim.calls = release
	sim.drain()
	g.Expect(sim.store.entries).To(HaveLen(1))
}
