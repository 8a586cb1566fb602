package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// clockStart is the initial time of the fake clocks.
var clockStart = time.Unix(1_000_000, 0)

// testGeneration returns generation n, a configuration whose only organisation has
// the share n.
func testGeneration(n uint64) core.ConfigHead {
	cfg, err := config.New("fleet").
		Service(config.ModelService("assistant", "m")).
		Organisation(config.NewOrganisation("atlanta", int(n)).WithKey("example-key-atlanta").Reaching("assistant")).
		Build()
	if err != nil {
		panic(err)
	}
	parts, err := cfg.Split()
	if err != nil {
		panic(err)
	}
	manifest := `{"parts":["` + parts[0].Digest + `","` + parts[1].Digest + `"]}`
	digest, err := cfg.Digest()
	if err != nil {
		panic(err)
	}
	head := fmt.Sprintf(`{"generation":%d,"digest":"%s","submission":"s","manifest":"%s"}`,
		n, digest, config.PartDigest([]byte(manifest)))
	decoded, err := configstore.Decode([]byte(head), [][]byte{[]byte(manifest), parts[0].Data, parts[1].Data})
	if err != nil {
		panic(err)
	}
	return decoded
}

// testRouter drives the State of one router with a fake clock.
type testRouter struct {
	*WithT
	state *State
	now   time.Time
	// effects are the effects of the last step or advance.
	effects []core.Effect
}

// newTestRouter returns a router without a configuration after its first step.
func newTestRouter(t *testing.T) *testRouter {
	r := &testRouter{WithT: NewWithT(t), state: New("self.1"), now: clockStart}
	r.step(core.Tick{})
	return r
}

func (r *testRouter) step(ev core.Event) { r.effects = r.state.Step(r.now, ev) }

// advance advances the clock by d and sends a Tick whenever one is due.
func (r *testRouter) advance(d time.Duration) {
	end := r.now.Add(d)
	var collected []core.Effect
	for !r.state.Wake().After(end) {
		r.now = r.state.Wake()
		before := r.state.Wake()
		r.step(core.Tick{})
		collected = append(collected, r.effects...)
		r.Expect(r.state.Wake().After(before)).To(BeTrue(), "a Tick at the wake time must move the wake time")
	}
	r.now, r.effects = end, collected
}

func (r *testRouter) connectPeer(id core.RouterID, generation uint64) {
	r.step(core.PeerUp{Member: &wire.Member{Id: string(id), Generation: generation}})
}

func (r *testRouter) receiveNotice(id core.RouterID, generation uint64) {
	r.step(core.PeerMessage{From: id, Message: &wire.Envelope{Body: &wire.Envelope_ConfigNotice{
		ConfigNotice: &wire.ConfigNotice{Generation: generation}}}})
}

func (r *testRouter) receiveParts(id core.RouterID, head core.ConfigHead) {
	r.step(core.PeerMessage{From: id, Message: partsMessage(head)})
}

func partsMessage(head core.ConfigHead) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{
		Generation: head.Generation, Digest: head.Digest, Head: head.Head, Parts: head.Parts}}}
}

// serveFetches responds to the fetches of the last step, and to those that follow,
// with the generations that the peers have, and completes each decoding.
func (r *testRouter) serveFetches(peerGenerations map[core.RouterID]uint64) {
	for queue := r.effects; len(queue) > 0; queue = append(queue[1:], r.effects...) {
		r.effects = nil
		switch e := queue[0].(type) {
		case core.DecodeConfig:
			r.step(testGeneration(e.Parts.GetGeneration()))
		case core.SendPeer:
			if e.Message.GetConfigFetch() == nil {
				break
			}
			if n := peerGenerations[e.To]; n == 0 {
				r.receiveParts(e.To, core.ConfigHead{})
			} else {
				r.receiveParts(e.To, testGeneration(n))
			}
		}
	}
}

// effectsOf returns the effects of type T of the last step or advance.
func effectsOf[T core.Effect](r *testRouter) []T {
	var out []T
	for _, effect := range r.effects {
		if e, ok := effect.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// sentMessages returns "PEER KIND" for each message of the last step or advance.
func (r *testRouter) sentMessages() []string {
	var out []string
	for _, e := range effectsOf[core.SendPeer](r) {
		kind := "other"
		switch body := e.Message.GetBody().(type) {
		case *wire.Envelope_ConfigFetch:
			kind = fmt.Sprintf("fetch since %d", body.ConfigFetch.GetGeneration())
		case *wire.Envelope_ConfigNotice:
			kind = fmt.Sprintf("notice %d", body.ConfigNotice.GetGeneration())
		case *wire.Envelope_ConfigParts:
			kind = fmt.Sprintf("%d parts of %d", len(body.ConfigParts.GetParts()), body.ConfigParts.GetGeneration())
		}
		out = append(out, string(e.To)+" "+kind)
	}
	return out
}

// expectInForce checks that generation n is in force, or none if n is 0.
func (r *testRouter) expectInForce(n uint64) {
	r.Expect(r.state.Generation()).To(Equal(n))
	r.Expect(r.state.Ready()).To(Equal(n != 0))
	if n != 0 {
		r.Expect(r.state.Config().Organisations[0].Share).To(Equal(int(n)))
	}
}

// newRouterWith returns a router with generation n in force.
func newRouterWith(t *testing.T, n uint64) *testRouter {
	r := newTestRouter(t)
	r.step(testGeneration(n))
	r.advance(gatherWindow)
	r.Expect(effectsOf[core.ApplyConfig](r)).To(HaveLen(1))
	r.expectInForce(n)
	return r
}

func TestStartWithoutPeers(t *testing.T) {
	r := newTestRouter(t)
	r.Expect(effectsOf[core.FetchConfig](r)).To(HaveLen(1))
	r.expectInForce(0)
	r.step(testGeneration(3))
	r.expectInForce(0)
	r.advance(gatherWindow)
	r.expectInForce(3)
}

func TestStartAppliesHighestGeneration(t *testing.T) {
	tests := []struct {
		name     string
		platform uint64
		peers    []uint64
		want     uint64
	}{
		{"platform is ahead of a stale peer", 5, []uint64{4}, 5},
		{"platform returns a stale value", 4, []uint64{5}, 5},
		{"platform down, peers have different generations", 0, []uint64{3, 5, 4}, 5},
		{"platform down, no peer has a generation", 0, []uint64{0, 0}, 0},
		{"platform down, one peer has a generation", 0, []uint64{0, 2}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRouter(t)
			if test.platform != 0 {
				r.step(testGeneration(test.platform))
			}
			peerGenerations := map[core.RouterID]uint64{}
			for i, n := range test.peers {
				id := core.RouterID(fmt.Sprintf("peer-%d.1", i))
				peerGenerations[id] = n
				r.connectPeer(id, n)
				r.serveFetches(peerGenerations)
			}
			r.advance(gatherWindow)
			for _, e := range effectsOf[core.SendPeer](r) {
				r.Expect(e.Message.GetConfigFetch()).To(BeNil(), "nothing is left to fetch")
			}
			r.expectInForce(test.want)
		})
	}
}

func TestGenerationNeverDecreases(t *testing.T) {
	other := testGeneration(5)
	other.Digest = "sha256:other"
	tests := []struct {
		name  string
		event core.Event
	}{
		{"stale platform value", testGeneration(4)},
		{"same generation again", testGeneration(5)},
		{"same generation, other digest", other},
		{"platform lost the configuration", core.ConfigHead{}},
		{"stale parts from a peer", core.PeerMessage{From: "a.1", Message: partsMessage(testGeneration(4))}},
		{"stale notice from a peer", core.PeerMessage{From: "a.1", Message: &wire.Envelope{
			Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{Generation: 4}}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRouterWith(t, 5)
			r.connectPeer("a.1", 5)
			r.step(test.event)
			r.Expect(effectsOf[core.ApplyConfig](r)).To(BeEmpty())
			r.Expect(effectsOf[core.DecodeConfig](r)).To(BeEmpty())
			r.advance(time.Minute)
			r.Expect(effectsOf[core.ApplyConfig](r)).To(BeEmpty())
			r.expectInForce(5)
			r.Expect(r.state.Digest()).To(Equal(testGeneration(5).Digest))
		})
	}
}

func TestHigherNoticeIsFetchedAndApplied(t *testing.T) {
	r := newRouterWith(t, 5)
	r.connectPeer("a.1", 5)
	r.receiveNotice("a.1", 6)
	r.Expect(r.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	// The peer sends only the new parts; the router has the others.
	next := testGeneration(6)
	next.Parts = [][]byte{next.Parts[0], next.Parts[2]}
	r.receiveParts("a.1", next)
	decode := effectsOf[core.DecodeConfig](r)
	r.Expect(decode).To(HaveLen(1))
	r.Expect(decode[0].Parts.GetParts()).To(Equal(testGeneration(6).Parts))
	r.step(testGeneration(6))
	r.Expect(effectsOf[core.ApplyConfig](r)).To(HaveLen(1))
	r.Expect(r.sentMessages()).To(Equal([]string{"a.1 notice 6"}), "the peer that sent the notice is notified that the generation was applied")
	r.expectInForce(6)
}

func TestFetchTimeoutTriesAnotherPeer(t *testing.T) {
	r := newRouterWith(t, 5)
	r.connectPeer("a.1", 5)
	r.connectPeer("b.1", 5)
	r.receiveNotice("a.1", 6)
	r.Expect(r.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	r.receiveNotice("b.1", 6)
	r.Expect(r.sentMessages()).To(BeEmpty())
	r.advance(fetchTimeout)
	r.Expect(r.sentMessages()).To(ContainElement("b.1 fetch since 5"))
	r.step(core.PeerDown{Peer: "b.1"})
	r.advance(time.Minute)
	r.Expect(len(r.sentMessages())).To(BeNumerically("<", 10), "retries back off")
}

func TestBadAnswerIsNotDecoded(t *testing.T) {
	missingParts := testGeneration(6)
	missingParts.Parts = missingParts.Parts[:1]
	badHead := testGeneration(6)
	badHead.Head = []byte("{")
	mismatched := testGeneration(6)
	mismatched.Generation = 7
	for _, answer := range []core.ConfigHead{missingParts, badHead, mismatched} {
		r := newRouterWith(t, 5)
		r.connectPeer("a.1", 6)
		r.receiveParts("a.1", answer)
		r.Expect(effectsOf[core.DecodeConfig](r)).To(BeEmpty())
		r.advance(time.Minute)
		r.expectInForce(5)
	}
}

func TestGenerationSpreadsDuringPlatformOutage(t *testing.T) {
	// This router is the only one that read generation 6 before the outage.
	r := newRouterWith(t, 5)
	for i := range 20 {
		r.connectPeer(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 5)
	}
	r.step(testGeneration(6))
	r.Expect(r.sentMessages()).To(HaveLen(initialFanout))
	r.advance(2 * spreadInterval)
	r.Expect(r.sentMessages()).To(HaveLen(2 * repeatFanout))
	r.advance(spreadDuration)
	r.Expect(r.sentMessages()).To(ContainElement("peer-19.1 notice 6"), "all peers are notified in the end")
	r.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	r.Expect(r.sentMessages()).To(Equal([]string{"peer-0.1 2 parts of 6"}))
	r.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	r.Expect(r.sentMessages()).To(BeEmpty(), "responses to equal fetches are rate limited")
}

func TestPlatformRecoversAfterStart(t *testing.T) {
	r := newTestRouter(t)
	r.advance(time.Minute)
	r.expectInForce(0)
	r.step(testGeneration(3))
	r.expectInForce(3)
}

func TestRejoiningStalePeerIsNotifiedImmediately(t *testing.T) {
	r := newRouterWith(t, 5)
	for i := range 20 {
		r.connectPeer(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 4)
	}
	r.advance(time.Minute)
	r.connectPeer("stale.1", 4)
	r.Expect(r.sentMessages()).To(Equal([]string{"stale.1 notice 5"}))
}

func TestNoticesStopOncePeersAreCurrent(t *testing.T) {
	r := newRouterWith(t, 5)
	r.connectPeer("a.1", 4)
	r.Expect(r.sentMessages()).To(Equal([]string{"a.1 notice 5"}))
	r.receiveNotice("a.1", 5)
	r.advance(time.Minute)
	r.Expect(r.sentMessages()).To(BeEmpty())
	known, ok := r.state.PeerGeneration("a.1")
	r.Expect(ok).To(BeTrue())
	r.Expect(known).To(Equal(uint64(5)))
}

func TestMembershipMessagesCarryGenerations(t *testing.T) {
	r := newRouterWith(t, 5)
	r.connectPeer("a.1", 5)
	r.step(core.PeerMessage{From: "a.1", Message: &wire.Envelope{Body: &wire.Envelope_Ping{
		Ping: &wire.Ping{Updates: []*wire.Member{{Id: "a.1", Generation: 7}, {Id: "far.1", Generation: 9}}}}}})
	r.Expect(r.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	r.receiveNotice("a.1", 5)
	known, _ := r.state.PeerGeneration("a.1")
	r.Expect(known).To(Equal(uint64(7)), "a late message does not lower the known generation")
}

func TestLowerGenerationWaitsForHigherOne(t *testing.T) {
	for _, higherArrives := range []bool{true, false} {
		r := newRouterWith(t, 5)
		r.connectPeer("a.1", 7)
		r.step(testGeneration(6))
		r.Expect(effectsOf[core.ApplyConfig](r)).To(BeEmpty())
		want := uint64(6)
		if higherArrives {
			r.receiveParts("a.1", testGeneration(7))
			r.step(testGeneration(7))
			want = 7
		}
		r.advance(gatherWindow)
		r.expectInForce(want)
	}
}

func TestPlatformPollRateIsBounded(t *testing.T) {
	r := newTestRouter(t)
	r.advance(time.Minute)
	r.Expect(len(effectsOf[core.FetchConfig](r))).To(And(BeNumerically(">", 5), BeNumerically("<", 12)))
}
