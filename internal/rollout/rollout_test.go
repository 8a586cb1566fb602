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

// clockStart is when the fake clock starts.
var clockStart = time.Unix(1_000_000, 0)

// testGeneration is a stored configuration whose one organisation has the share n.
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

// testRouter drives one router.
type testRouter struct {
	*WithT
	state *State
	now   time.Time
	// effects are the effects of the last step.
	effects []core.Effect
}

func newTestRouter(t *testing.T) *testRouter {
	b := &testRouter{WithT: NewWithT(t), state: New("self.1"), now: clockStart}
	b.step(core.Tick{})
	return b
}

func (b *testRouter) step(ev core.Event) { b.effects = b.state.Step(b.now, ev) }

// advance lets time pass, with a Tick whenever one is due.
func (b *testRouter) advance(d time.Duration) {
	end := b.now.Add(d)
	var collected []core.Effect
	for !b.state.Wake().After(end) {
		b.now = b.state.Wake()
		before := b.state.Wake()
		b.step(core.Tick{})
		collected = append(collected, b.effects...)
		b.Expect(b.state.Wake().After(before)).To(BeTrue(), "a step at its wake must move it")
	}
	b.now, b.effects = end, collected
}

func (b *testRouter) connectPeer(id core.RouterID, generation uint64) {
	b.step(core.PeerUp{Member: &wire.Member{Id: string(id), Generation: generation}})
}

func (b *testRouter) receiveNotice(id core.RouterID, generation uint64) {
	b.step(core.PeerMessage{From: id, Message: &wire.Envelope{Body: &wire.Envelope_ConfigNotice{
		ConfigNotice: &wire.ConfigNotice{Generation: generation}}}})
}

func (b *testRouter) receiveParts(id core.RouterID, head core.ConfigHead) {
	b.step(core.PeerMessage{From: id, Message: partsMessage(head)})
}

func partsMessage(head core.ConfigHead) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{
		Generation: head.Generation, Digest: head.Digest, Head: head.Head, Parts: head.Parts}}}
}

// serveFetches answers each fetch of the last step, and those that follow, with
// what the peer has, and each decoding.
func (b *testRouter) serveFetches(peerGenerations map[core.RouterID]uint64) {
	for queue := b.effects; len(queue) > 0; queue = append(queue[1:], b.effects...) {
		b.effects = nil
		switch e := queue[0].(type) {
		case core.DecodeConfig:
			b.step(testGeneration(e.Parts.GetGeneration()))
		case core.SendPeer:
			if e.Message.GetConfigFetch() == nil {
				break
			}
			if n := peerGenerations[e.To]; n == 0 {
				b.receiveParts(e.To, core.ConfigHead{})
			} else {
				b.receiveParts(e.To, testGeneration(n))
			}
		}
	}
}

// effectsOf returns the effects of the last step of one type.
func effectsOf[T core.Effect](b *testRouter) []T {
	var out []T
	for _, effect := range b.effects {
		if e, ok := effect.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// sentMessages lists "peer kind" of the messages of the last step.
func (b *testRouter) sentMessages() []string {
	var out []string
	for _, e := range effectsOf[core.SendPeer](b) {
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

// expectInForce checks what is in force.
func (b *testRouter) expectInForce(n uint64) {
	b.Expect(b.state.Generation()).To(Equal(n))
	b.Expect(b.state.Ready()).To(Equal(n != 0))
	if n != 0 {
		b.Expect(b.state.Config().Organisations[0].Share).To(Equal(int(n)))
	}
}

// newRouterWith returns a router with a generation in force.
func newRouterWith(t *testing.T, n uint64) *testRouter {
	b := newTestRouter(t)
	b.step(testGeneration(n))
	b.advance(gatherWindow)
	b.Expect(effectsOf[core.Apply](b)).To(HaveLen(1))
	b.expectInForce(n)
	return b
}

func TestStartWithoutPeers(t *testing.T) {
	b := newTestRouter(t)
	b.Expect(effectsOf[core.FetchConfig](b)).To(HaveLen(1))
	b.expectInForce(0)
	b.step(testGeneration(3))
	b.expectInForce(0)
	b.advance(gatherWindow)
	b.expectInForce(3)
}

func TestStartAppliesHighestGeneration(t *testing.T) {
	tests := []struct {
		name     string
		platform uint64
		peers    []uint64
		want     uint64
	}{
		{"platform ahead of a stale peer", 5, []uint64{4}, 5},
		{"platform serves an old value", 4, []uint64{5}, 5},
		{"platform down, peers differ", 0, []uint64{3, 5, 4}, 5},
		{"platform down, no peer has one", 0, []uint64{0, 0}, 0},
		{"platform down, one of the peers has one", 0, []uint64{0, 2}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestRouter(t)
			if test.platform != 0 {
				b.step(testGeneration(test.platform))
			}
			peerGenerations := map[core.RouterID]uint64{}
			for i, n := range test.peers {
				id := core.RouterID(fmt.Sprintf("peer-%d.1", i))
				peerGenerations[id] = n
				b.connectPeer(id, n)
				b.serveFetches(peerGenerations)
			}
			b.advance(gatherWindow)
			for _, e := range effectsOf[core.SendPeer](b) {
				b.Expect(e.Message.GetConfigFetch()).To(BeNil(), "nothing is left to fetch")
			}
			b.expectInForce(test.want)
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
		{"platform lost everything", core.ConfigHead{}},
		{"stale parts from a peer", core.PeerMessage{From: "a.1", Message: partsMessage(testGeneration(4))}},
		{"stale notice from a peer", core.PeerMessage{From: "a.1", Message: &wire.Envelope{
			Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{Generation: 4}}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRouterWith(t, 5)
			b.connectPeer("a.1", 5)
			b.step(test.event)
			b.Expect(effectsOf[core.Apply](b)).To(BeEmpty())
			b.Expect(effectsOf[core.DecodeConfig](b)).To(BeEmpty())
			b.advance(time.Minute)
			b.Expect(effectsOf[core.Apply](b)).To(BeEmpty())
			b.expectInForce(5)
			b.Expect(b.state.Digest()).To(Equal(testGeneration(5).Digest))
		})
	}
}

func TestHigherNoticeIsFetchedAndApplied(t *testing.T) {
	b := newRouterWith(t, 5)
	b.connectPeer("a.1", 5)
	b.receiveNotice("a.1", 6)
	b.Expect(b.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	// The peer sends only what is new; the rest is here.
	next := testGeneration(6)
	next.Parts = [][]byte{next.Parts[0], next.Parts[2]}
	b.receiveParts("a.1", next)
	decode := effectsOf[core.DecodeConfig](b)
	b.Expect(decode).To(HaveLen(1))
	b.Expect(decode[0].Parts.GetParts()).To(Equal(testGeneration(6).Parts))
	b.step(testGeneration(6))
	b.Expect(effectsOf[core.Apply](b)).To(HaveLen(1))
	b.Expect(b.sentMessages()).To(Equal([]string{"a.1 notice 6"}), "the peer that told us hears that it arrived")
	b.expectInForce(6)
}

func TestFetchTimeoutTriesAnotherPeer(t *testing.T) {
	b := newRouterWith(t, 5)
	b.connectPeer("a.1", 5)
	b.connectPeer("b.1", 5)
	b.receiveNotice("a.1", 6)
	b.Expect(b.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	b.receiveNotice("b.1", 6)
	b.Expect(b.sentMessages()).To(BeEmpty())
	b.advance(fetchTimeout)
	b.Expect(b.sentMessages()).To(ContainElement("b.1 fetch since 5"))
	b.step(core.PeerDown{Peer: "b.1"})
	b.advance(time.Minute)
	b.Expect(len(b.sentMessages())).To(BeNumerically("<", 10), "retries back off")
}

func TestBadAnswerIsNotDecoded(t *testing.T) {
	missingParts := testGeneration(6)
	missingParts.Parts = missingParts.Parts[:1]
	badHead := testGeneration(6)
	badHead.Head = []byte("{")
	mismatched := testGeneration(6)
	mismatched.Generation = 7
	for _, answer := range []core.ConfigHead{missingParts, badHead, mismatched} {
		b := newRouterWith(t, 5)
		b.connectPeer("a.1", 6)
		b.receiveParts("a.1", answer)
		b.Expect(effectsOf[core.DecodeConfig](b)).To(BeEmpty())
		b.advance(time.Minute)
		b.expectInForce(5)
	}
}

func TestGenerationSpreadsDuringPlatformOutage(t *testing.T) {
	// One router saw generation 6 before the platform went away.
	b := newRouterWith(t, 5)
	for i := range 20 {
		b.connectPeer(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 5)
	}
	b.step(testGeneration(6))
	b.Expect(b.sentMessages()).To(HaveLen(initialFanout))
	b.advance(2 * spreadInterval)
	b.Expect(b.sentMessages()).To(HaveLen(2 * repeatFanout))
	b.advance(spreadDuration)
	b.Expect(b.sentMessages()).To(ContainElement("peer-19.1 notice 6"), "all are told in the end")
	b.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	b.Expect(b.sentMessages()).To(Equal([]string{"peer-0.1 2 parts of 6"}))
	b.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	b.Expect(b.sentMessages()).To(BeEmpty(), "equal answers are rationed")
}

func TestPlatformRecoversAfterStart(t *testing.T) {
	b := newTestRouter(t)
	b.advance(time.Minute)
	b.expectInForce(0)
	b.step(testGeneration(3))
	b.expectInForce(3)
}

func TestRejoiningStalePeerIsNotifiedImmediately(t *testing.T) {
	b := newRouterWith(t, 5)
	for i := range 20 {
		b.connectPeer(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 4)
	}
	b.advance(time.Minute)
	b.connectPeer("stale.1", 4)
	b.Expect(b.sentMessages()).To(Equal([]string{"stale.1 notice 5"}))
}

func TestNoticesStopOncePeersAreCurrent(t *testing.T) {
	b := newRouterWith(t, 5)
	b.connectPeer("a.1", 4)
	b.Expect(b.sentMessages()).To(Equal([]string{"a.1 notice 5"}))
	b.receiveNotice("a.1", 5)
	b.advance(time.Minute)
	b.Expect(b.sentMessages()).To(BeEmpty())
	known, ok := b.state.PeerGeneration("a.1")
	b.Expect(ok).To(BeTrue())
	b.Expect(known).To(Equal(uint64(5)))
}

func TestMembershipMessagesCarryGenerations(t *testing.T) {
	b := newRouterWith(t, 5)
	b.connectPeer("a.1", 5)
	b.step(core.PeerMessage{From: "a.1", Message: &wire.Envelope{Body: &wire.Envelope_Ping{
		Ping: &wire.Ping{Updates: []*wire.Member{{Id: "a.1", Generation: 7}, {Id: "far.1", Generation: 9}}}}}})
	b.Expect(b.sentMessages()).To(Equal([]string{"a.1 fetch since 5"}))
	b.receiveNotice("a.1", 5)
	known, _ := b.state.PeerGeneration("a.1")
	b.Expect(known).To(Equal(uint64(7)), "a late message does not take back what is known")
}

func TestLowerGenerationWaitsForHigherOne(t *testing.T) {
	for _, higherArrives := range []bool{true, false} {
		b := newRouterWith(t, 5)
		b.connectPeer("a.1", 7)
		b.step(testGeneration(6))
		b.Expect(effectsOf[core.Apply](b)).To(BeEmpty())
		want := uint64(6)
		if higherArrives {
			b.receiveParts("a.1", testGeneration(7))
			b.step(testGeneration(7))
			want = 7
		}
		b.advance(gatherWindow)
		b.expectInForce(want)
	}
}

func TestPlatformPollRateIsBounded(t *testing.T) {
	b := newTestRouter(t)
	b.advance(time.Minute)
	b.Expect(len(effectsOf[core.FetchConfig](b))).To(And(BeNumerically(">", 5), BeNumerically("<", 12)))
}
