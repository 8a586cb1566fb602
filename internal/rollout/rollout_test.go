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

// start is when the fake clock starts.
var start = time.Unix(1_000_000, 0)

// generation is a stored configuration whose one organisation has the share n.
func generation(n uint64) core.ConfigHead {
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

// bench drives one router.
type bench struct {
	*WithT
	state *State
	now   time.Time
	// out are the effects of the last step.
	out []core.Effect
}

func newBench(t *testing.T) *bench {
	b := &bench{WithT: NewWithT(t), state: New("self.1"), now: start}
	b.step(core.Tick{})
	return b
}

func (b *bench) step(ev core.Event) { b.out = b.state.Step(b.now, ev) }

// pass lets time pass, with a Tick whenever one is due.
func (b *bench) pass(d time.Duration) {
	end := b.now.Add(d)
	var all []core.Effect
	for !b.state.Wake().After(end) {
		b.now = b.state.Wake()
		before := b.state.Wake()
		b.step(core.Tick{})
		all = append(all, b.out...)
		b.Expect(b.state.Wake().After(before)).To(BeTrue(), "a step at its wake must move it")
	}
	b.now, b.out = end, all
}

func (b *bench) up(id core.RouterID, generation uint64) {
	b.step(core.PeerUp{Member: &wire.Member{Id: string(id), Generation: generation}})
}

func (b *bench) notice(id core.RouterID, generation uint64) {
	b.step(core.PeerMessage{From: id, Message: &wire.Envelope{Body: &wire.Envelope_ConfigNotice{
		ConfigNotice: &wire.ConfigNotice{Generation: generation}}}})
}

func (b *bench) answer(id core.RouterID, head core.ConfigHead) {
	b.step(core.PeerMessage{From: id, Message: partsMessage(head)})
}

func partsMessage(head core.ConfigHead) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{
		Generation: head.Generation, Digest: head.Digest, Head: head.Head, Parts: head.Parts}}}
}

// serveFetches answers each fetch of the last step, and those that follow, with
// what the peer has, and each decoding.
func (b *bench) serveFetches(has map[core.RouterID]uint64) {
	for queue := b.out; len(queue) > 0; queue = append(queue[1:], b.out...) {
		b.out = nil
		switch e := queue[0].(type) {
		case core.DecodeConfig:
			b.step(generation(e.Parts.GetGeneration()))
		case core.SendPeer:
			if e.Message.GetConfigFetch() == nil {
				break
			}
			if n := has[e.To]; n == 0 {
				b.answer(e.To, core.ConfigHead{})
			} else {
				b.answer(e.To, generation(n))
			}
		}
	}
}

// effects returns the effects of the last step of one type.
func effects[T core.Effect](b *bench) []T {
	var out []T
	for _, effect := range b.out {
		if e, ok := effect.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// sent lists "peer kind" of the messages of the last step.
func (b *bench) sent() []string {
	var out []string
	for _, e := range effects[core.SendPeer](b) {
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

// expectForce checks what is in force.
func (b *bench) expectForce(n uint64) {
	b.Expect(b.state.Generation()).To(Equal(n))
	b.Expect(b.state.Ready()).To(Equal(n != 0))
	if n != 0 {
		b.Expect(b.state.Config().Organisations[0].Share).To(Equal(int(n)))
	}
}

// started returns a router with a generation in force.
func started(t *testing.T, n uint64) *bench {
	b := newBench(t)
	b.step(generation(n))
	b.pass(gatherFor)
	b.Expect(effects[core.Apply](b)).To(HaveLen(1))
	b.expectForce(n)
	return b
}

func TestStartWithThePlatformAlone(t *testing.T) {
	b := newBench(t)
	b.Expect(effects[core.FetchConfig](b)).To(HaveLen(1))
	b.expectForce(0)
	b.step(generation(3))
	b.expectForce(0)
	b.pass(gatherFor)
	b.expectForce(3)
}

func TestStartTakesTheHighest(t *testing.T) {
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
			b := newBench(t)
			if test.platform != 0 {
				b.step(generation(test.platform))
			}
			has := map[core.RouterID]uint64{}
			for i, n := range test.peers {
				id := core.RouterID(fmt.Sprintf("peer-%d.1", i))
				has[id] = n
				b.up(id, n)
				b.serveFetches(has)
			}
			b.pass(gatherFor)
			for _, e := range effects[core.SendPeer](b) {
				b.Expect(e.Message.GetConfigFetch()).To(BeNil(), "nothing is left to fetch")
			}
			b.expectForce(test.want)
		})
	}
}

func TestGenerationsOnlyGrow(t *testing.T) {
	other := generation(5)
	other.Digest = "sha256:other"
	tests := []struct {
		name  string
		event core.Event
	}{
		{"stale platform value", generation(4)},
		{"same generation again", generation(5)},
		{"same generation, other digest", other},
		{"platform lost everything", core.ConfigHead{}},
		{"stale parts from a peer", core.PeerMessage{From: "a.1", Message: partsMessage(generation(4))}},
		{"stale notice from a peer", core.PeerMessage{From: "a.1", Message: &wire.Envelope{
			Body: &wire.Envelope_ConfigNotice{ConfigNotice: &wire.ConfigNotice{Generation: 4}}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := started(t, 5)
			b.up("a.1", 5)
			b.step(test.event)
			b.Expect(effects[core.Apply](b)).To(BeEmpty())
			b.Expect(effects[core.DecodeConfig](b)).To(BeEmpty())
			b.pass(time.Minute)
			b.Expect(effects[core.Apply](b)).To(BeEmpty())
			b.expectForce(5)
			b.Expect(b.state.Digest()).To(Equal(generation(5).Digest))
		})
	}
}

func TestHigherNoticeIsFetchedAndApplied(t *testing.T) {
	b := started(t, 5)
	b.up("a.1", 5)
	b.notice("a.1", 6)
	b.Expect(b.sent()).To(Equal([]string{"a.1 fetch since 5"}))
	// The peer sends only what is new; the rest is here.
	next := generation(6)
	next.Parts = [][]byte{next.Parts[0], next.Parts[2]}
	b.answer("a.1", next)
	decode := effects[core.DecodeConfig](b)
	b.Expect(decode).To(HaveLen(1))
	b.Expect(decode[0].Parts.GetParts()).To(Equal(generation(6).Parts))
	b.step(generation(6))
	b.Expect(effects[core.Apply](b)).To(HaveLen(1))
	b.Expect(b.sent()).To(Equal([]string{"a.1 notice 6"}), "the peer that told us hears that it arrived")
	b.expectForce(6)
}

func TestSilentPeerIsLeftForAnother(t *testing.T) {
	b := started(t, 5)
	b.up("a.1", 5)
	b.up("b.1", 5)
	b.notice("a.1", 6)
	b.Expect(b.sent()).To(Equal([]string{"a.1 fetch since 5"}))
	b.notice("b.1", 6)
	b.Expect(b.sent()).To(BeEmpty())
	b.pass(fetchTimeout)
	b.Expect(b.sent()).To(ContainElement("b.1 fetch since 5"))
	b.step(core.PeerDown{Peer: "b.1"})
	b.pass(time.Minute)
	b.Expect(len(b.sent())).To(BeNumerically("<", 10), "retries back off")
}

func TestBadAnswerIsNotDecoded(t *testing.T) {
	damaged := generation(6)
	damaged.Parts = damaged.Parts[:1]
	wrong := generation(6)
	wrong.Head = []byte("{")
	other := generation(6)
	other.Generation = 7
	for _, answer := range []core.ConfigHead{damaged, wrong, other} {
		b := started(t, 5)
		b.up("a.1", 6)
		b.answer("a.1", answer)
		b.Expect(effects[core.DecodeConfig](b)).To(BeEmpty())
		b.pass(time.Minute)
		b.expectForce(5)
	}
}

func TestOutageRightAfterAcceptance(t *testing.T) {
	// One router saw generation 6 before the platform went away.
	b := started(t, 5)
	for i := range 20 {
		b.up(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 5)
	}
	b.step(generation(6))
	b.Expect(b.sent()).To(HaveLen(fanout))
	b.pass(2 * spreadEvery)
	b.Expect(b.sent()).To(HaveLen(2 * trickle))
	b.pass(spreadFor)
	b.Expect(b.sent()).To(ContainElement("peer-19.1 notice 6"), "all are told in the end")
	b.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	b.Expect(b.sent()).To(Equal([]string{"peer-0.1 2 parts of 6"}))
	b.step(core.PeerMessage{From: "peer-0.1", Message: &wire.Envelope{
		Body: &wire.Envelope_ConfigFetch{ConfigFetch: &wire.ConfigFetch{Generation: 5}}}})
	b.Expect(b.sent()).To(BeEmpty(), "equal answers are rationed")
}

func TestOutageEndsAfterTheStart(t *testing.T) {
	b := newBench(t)
	b.pass(time.Minute)
	b.expectForce(0)
	b.step(generation(3))
	b.expectForce(3)
}

func TestStalePeerThatRejoinsIsToldAtOnce(t *testing.T) {
	b := started(t, 5)
	for i := range 20 {
		b.up(core.RouterID(fmt.Sprintf("peer-%d.1", i)), 4)
	}
	b.pass(time.Minute)
	b.up("stale.1", 4)
	b.Expect(b.sent()).To(Equal([]string{"stale.1 notice 5"}))
}

func TestNoticesEndWhenPeersHaveIt(t *testing.T) {
	b := started(t, 5)
	b.up("a.1", 4)
	b.Expect(b.sent()).To(Equal([]string{"a.1 notice 5"}))
	b.notice("a.1", 5)
	b.pass(time.Minute)
	b.Expect(b.sent()).To(BeEmpty())
	known, ok := b.state.PeerGeneration("a.1")
	b.Expect(ok).To(BeTrue())
	b.Expect(known).To(Equal(uint64(5)))
}

func TestGossipTellsGenerations(t *testing.T) {
	b := started(t, 5)
	b.up("a.1", 5)
	b.step(core.PeerMessage{From: "a.1", Message: &wire.Envelope{Body: &wire.Envelope_Ping{
		Ping: &wire.Ping{Updates: []*wire.Member{{Id: "a.1", Generation: 7}, {Id: "far.1", Generation: 9}}}}}})
	b.Expect(b.sent()).To(Equal([]string{"a.1 fetch since 5"}))
	b.notice("a.1", 5)
	known, _ := b.state.PeerGeneration("a.1")
	b.Expect(known).To(Equal(uint64(7)), "a late message does not take back what is known")
}

func TestLowerGenerationWaitsForTheHigher(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		b := started(t, 5)
		b.up("a.1", 7)
		b.step(generation(6))
		b.Expect(effects[core.Apply](b)).To(BeEmpty())
		want := uint64(6)
		if arrives {
			b.answer("a.1", generation(7))
			b.step(generation(7))
			want = 7
		}
		b.pass(gatherFor)
		b.expectForce(want)
	}
}

func TestPlatformIsAskedAtABoundedRate(t *testing.T) {
	b := newBench(t)
	b.pass(time.Minute)
	b.Expect(len(effects[core.FetchConfig](b))).To(And(BeNumerically(">", 5), BeNumerically("<", 12)))
}
