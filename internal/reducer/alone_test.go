package reducer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// A router that starts while it can reach no other router must still serve: it
// becomes the owner of the upstreams, here one in its failure domain.
func TestRouterWithoutPeersOwnsItsDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_000_000, 0)
	s := New(Options{Self: core.Peer{ID: "r1.1", Name: "r1", Domain: "a", PeerAddr: "127.0.0.1:1"}, Seed: 1})
	s.Step(start, core.Instances{Upstreams: []core.Upstream{{ID: "e1", Service: "assistant", Domain: "a"}}})

	s.Step(start.Add(isolatedAfter-time.Millisecond), core.Tick{})
	g.Expect(s.Status().Upstreams[0].Owner).To(gomega.BeEmpty(), "other routers may still be found")

	s.Step(start.Add(isolatedAfter), core.Tick{})
	g.Expect(s.Status().Upstreams[0].Owner).To(gomega.BeEquivalentTo("r1.1"))
	g.Expect(s.Status().Upstreams[0].Owned).NotTo(gomega.BeNil())
}

// The status must distinguish two incarnations of one name, and must not report
// a restart as a pause of the process.
func TestStatusDistinguishesRestartsFromPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_000_000, 0)
	s := New(Options{Self: core.Peer{ID: "r1.2", Name: "r1", Domain: "a", PeerAddr: "127.0.0.1:1"}, Seed: 1})
	s.Step(start, core.Tick{})
	for _, id := range []string{"r2.1", "r2.2"} {
		s.Step(start, core.PeerUp{Member: member(id, "r2")})
	}
	s.Step(start, core.PeerDown{Peer: "r2.1"})
	states := make(map[core.RouterID]RouterStatus)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Second) {
		s.Step(now, core.PeerMessage{From: "r2.2", Message: ping()})
		s.Step(now, core.Tick{})
	}
	for _, r := range s.Status().Routers {
		states[r.ID] = r
	}
	g.Expect(states).To(gomega.HaveLen(3))
	g.Expect(states["r2.1"].State).To(gomega.Equal(RouterDead))
	g.Expect(states["r2.1"].ReplacedBy).To(gomega.BeEquivalentTo("r2.2"))
	g.Expect(states["r2.2"].State).To(gomega.Equal(RouterAlive))
	g.Expect(states["r2.2"].ReplacedBy).To(gomega.BeEmpty())
	g.Expect(s.Status().Pause).To(gomega.BeNil())

	s.Step(start.Add(30*time.Second), core.Tick{})
	g.Expect(s.Status().Pause.ForMS).To(gomega.BeNumerically(">=", 20_000))
	g.Expect(s.Status().Router).To(gomega.BeEquivalentTo("r1.2"))
}

func member(id, name string) *wire.Member {
	return &wire.Member{Id: id, Name: name, Domain: "a", PeerAddr: "127.0.0.1:2", Version: 1}
}

func ping() *wire.Envelope { return &wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{}}} }
