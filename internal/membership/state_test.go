package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// seed fixes the choices of the tests in this file.
const seed = 7

// expectViews checks that every router counts exactly those running as alive.
func expectViews(g *WithT, n *network) {
	want := n.ids()
	for id, view := range n.views() {
		g.Expect(view).To(Equal(want), "view of %s", id)
	}
}

func TestTwoRoutersFindEachOther(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(seed)
	n.start(2)
	n.run(time.Second)
	expectViews(g, n)
	p, ok := n.states["r0.1"].ByAddr(peerNamed("r1", 1).PeerAddr)
	g.Expect(ok).To(BeTrue())
	g.Expect(p.ID).To(Equal(core.RouterID("r1.1")))
	g.Expect(p.State).To(Equal(wire.MemberState_MEMBER_ALIVE))
}
