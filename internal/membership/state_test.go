package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// testSeed is the random seed of the deterministic tests.
const testSeed = 7

// expectViews checks that every router counts exactly the running ones as alive.
func expectViews(g *WithT, n *network) {
	want := n.ids()
	for id, view := range n.views() {
		g.Expect(view).To(Equal(want), "view of %s", id)
	}
}

func TestTwoRoutersFindEachOther(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(2)
	n.advance(time.Second)
	expectViews(g, n)
	p, ok := n.states["r0.1"].ByAddr(newTestPeer("r1", 1).PeerAddr)
	g.Expect(ok).To(BeTrue())
	g.Expect(p.ID).To(Equal(core.RouterID("r1.1")))
	g.Expect(p.State).To(Equal(wire.MemberState_MEMBER_ALIVE))
}

// partitionAt separates the routers with a smaller id than first from the others.
func partitionAt(first core.RouterID) func(a, b core.RouterID) bool {
	return func(a, b core.RouterID) bool { return (a < first) != (b < first) }
}

func TestPartitionAndRejoin(t *testing.T) {
	for _, fault := range []struct {
		name   string
		closes bool
	}{
		{"connections drop messages", false},
		{"connections are closed", true},
	} {
		t.Run(fault.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(testSeed)
			n.startRouters(8)
			n.advance(5 * time.Second)
			expectViews(g, n)

			n.partitioned = partitionAt("r4.1")
			for _, a := range n.ids() {
				for _, b := range n.ids() {
					if fault.closes && n.partitioned(a, b) {
						n.disconnect(a, b)
					}
				}
			}
			n.advance(8 * time.Second)
			ids := n.ids()
			for id, view := range n.views() {
				want := ids[4:]
				if id < "r4.1" {
					want = ids[:4]
				}
				g.Expect(view).To(Equal(want), "view of %s", id)
			}

			n.advance(2 * time.Minute)
			n.partitioned = func(a, b core.RouterID) bool { return false }
			n.advance(15 * time.Second)
			expectViews(g, n)
		})
	}
}

func TestRestartIsANewIncarnation(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(4)
	n.advance(5 * time.Second)
	n.stop("r2.1")
	n.add(newTestPeer("r2", 2), []string{newTestPeer("r0", 1).PeerAddr})
	n.advance(3 * time.Second)
	expectViews(g, n)
	for _, id := range []core.RouterID{"r0.1", "r1.1", "r3.1"} {
		old, known := n.states[id].Peer("r2.1")
		g.Expect(known).To(BeTrue())
		g.Expect(old.State).To(Equal(wire.MemberState_MEMBER_DEAD))
	}
}

func TestStaleViewDoesNotResurrect(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(5)
	n.advance(5 * time.Second)
	// r0 stops while r4 is partitioned from the others. r4 rejoins with a newer
	// version of r0's record than the others ever saw.
	n.partitioned = partitionAt("r4.1")
	n.states["r0.1"].SetGeneration(9)
	stale := n.states["r0.1"].Self()
	n.stop("r0.1")
	n.advance(10 * time.Second)
	for _, id := range []core.RouterID{"r1.1", "r2.1", "r3.1"} {
		s := n.states[id]
		before := s.AliveVersion()
		s.Step(n.now, core.PeerUp{Member: n.states["r4.1"].Self()})
		s.Step(n.now, core.PeerMessage{From: "r4.1", Message: newGossip(true, stale)})
		g.Expect(aliveIDs(s)).NotTo(ContainElement(core.RouterID("r0.1")))
		g.Expect(s.AliveVersion()).To(Equal(before+1), "only r4 joins")
	}
}

func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(4)
	n.advance(5 * time.Second)
	leaver := n.states["r1.1"]
	n.applyEffects("r1.1", leaver.Leave(n.now))
	g.Expect(leaver.Leave(n.now)).To(BeEmpty())
	g.Expect(aliveIDs(leaver)).To(Equal([]core.RouterID{"r0.1", "r2.1", "r3.1"}))
	n.advance(10 * time.Millisecond)
	for _, id := range n.ids() {
		g.Expect(aliveIDs(n.states[id])).NotTo(ContainElement(core.RouterID("r1.1")), "view of %s", id)
	}
	n.advance(time.Minute)
	g.Expect(aliveIDs(n.states["r0.1"])).NotTo(ContainElement(core.RouterID("r1.1")))
}

func TestBlackholedConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(2)
	n.advance(5 * time.Second)
	// The existing connection drops all messages from now on; new ones work.
	n.blackholed[pair("r0.1", "r1.1")] = true
	before := n.states["r0.1"].AliveVersion()
	n.advance(5 * time.Second)
	g.Expect(n.blackholed).To(BeEmpty(), "the unresponsive connection is closed")
	expectViews(g, n)
	g.Expect(n.states["r0.1"].Connected("r1.1")).To(BeTrue())
	g.Expect(n.states["r0.1"].AliveVersion()).To(Equal(before), "never declared dead")
}

func TestOwnPauseCausesNoSuspicion(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(3)
	n.advance(5*time.Second + 10*time.Millisecond)
	s := n.states["r0.1"]
	s.Step(n.now.Add(time.Second), core.Tick{})
	before := s.AliveVersion()
	// The pings of that step are not answered, as if r0 were paused.
	s.Step(n.now.Add(30*time.Second), core.Tick{})
	g.Expect(s.AliveVersion()).To(Equal(before))
	for _, p := range s.Alive() {
		g.Expect(p.State).To(Equal(wire.MemberState_MEMBER_ALIVE), "%s", p.ID)
	}
}

func TestDirectContactOverridesGossip(t *testing.T) {
	g := NewWithT(t)
	s := New(newTestPeer("r0", 1), nil, testSeed)
	r1 := New(newTestPeer("r1", 1), nil, testSeed)
	r2 := New(newTestPeer("r2", 1), nil, testSeed)
	s.Step(epoch, core.PeerUp{Member: r1.Self()})
	s.Step(epoch, core.PeerUp{Member: r2.Self()})
	claim := withState(r2.Self(), wire.MemberState_MEMBER_DEAD)
	effects := s.Step(epoch, core.PeerMessage{From: "r1.1", Message: newGossip(false, claim)})
	g.Expect(aliveIDs(s)).To(HaveLen(3))
	// The claim is relayed to r2, which refutes it by raising its version.
	var relayed []*wire.Member
	for _, effect := range effects {
		if send, ok := effect.(core.SendPeer); ok && send.To == "r2.1" {
			relayed = append(relayed, send.Message.GetGossip().GetUpdates()...)
		}
	}
	g.Expect(relayed).To(ContainElement(claim))
	r2.Step(epoch, core.PeerUp{Member: s.Self()})
	r2.Step(epoch, core.PeerMessage{From: "r0.1", Message: newGossip(false, claim)})
	g.Expect(r2.Self().Version).To(Equal(claim.Version + 1))
	g.Expect(r2.Self().State).To(Equal(wire.MemberState_MEMBER_ALIVE))
}

func TestBadRecordsAreIgnored(t *testing.T) {
	long := string(make([]byte, maxRecordSize))
	for _, m := range []*wire.Member{
		nil, {}, {Id: "x.1"}, {Id: "x.1", Name: "x"},
		{Id: "x.1", Name: "x", PeerAddr: "10.0.0.9:1", State: 99},
		{Id: "x.1", Name: "x", PeerAddr: long},
		{Id: "x.1", Name: "x", PeerAddr: "10.0.0.9:1", State: wire.MemberState_MEMBER_DEAD},
	} {
		g := NewWithT(t)
		s := New(newTestPeer("r0", 1), nil, testSeed)
		s.Step(epoch, core.PeerUp{Member: New(newTestPeer("r1", 1), nil, testSeed).Self()})
		s.Step(epoch, core.PeerMessage{From: "r1.1", Message: newGossip(true, m)})
		if !isValidRecord(m) {
			s.Step(epoch, core.PeerUp{Member: m})
		}
		g.Expect(len(s.Alive())).To(BeNumerically("<=", 3))
		g.Expect(s.Step(epoch.Add(time.Second), core.Tick{})).NotTo(BeEmpty())
		_, known := s.Peer("x.1")
		g.Expect(known).To(BeFalse(), "%v", m)
	}
}
