package reducer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/orders"
)

// bootTime is the time until a first configuration is in force, in ticks of
// bootTick.
const (
	bootTime = 3 * time.Second
	bootTick = 100 * time.Millisecond
)

// bootStart is when the routers of these tests start.
var bootStart = time.Unix(1_000_000, 0)

// startPair starts two routers of one failure domain that know each other, and
// returns them with the leases that each requested.
func startPair(g *gomega.WithT, loads ...string) (routers []*State, requested [][]core.LeaseGrant) {
	c, err := config.New("fleet").
		Service(config.ModelService("assistant", "m").Loading(loads...)).
		Organisation(config.NewOrganisation("atlanta", 1).WithKey("example-key").Reaching("assistant")).
		Build()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	names := []string{"r1", "r2"}
	for i, name := range names {
		other := names[1-i]
		s := New(Options{
			Self: core.Peer{ID: core.RouterID(name + ".1"), Name: name, Domain: "a", PeerAddr: "127.0.0.1:1"}, Seed: 1,
		})
		events := []core.Event{
			core.PeerUp{Member: member(other+".1", other)},
			core.Instances{Upstreams: []core.Upstream{
				{ID: "e1", Service: "assistant", Domain: "a"}, {ID: "e2", Service: "assistant", Domain: "b"},
			}},
			core.ConfigHead{Generation: 1, Digest: "d", Config: c},
		}
		for range bootTime / bootTick {
			events = append(events, core.PeerMessage{From: core.RouterID(other + ".1"), Message: ping()}, core.Tick{})
		}
		routers, requested = append(routers, s), append(requested, leaseGrants(s, events))
	}
	return routers, requested
}

// leaseGrants steps a router through events and returns the leases that it
// requested.
func leaseGrants(s *State, events []core.Event) (out []core.LeaseGrant) {
	now := bootStart
	for _, ev := range events {
		if _, ok := ev.(core.Tick); ok {
			now = now.Add(bootTick)
		}
		for _, e := range s.Step(now, ev) {
			if grant, ok := e.(core.LeaseGrant); ok {
				out = append(out, grant)
			}
		}
	}
	return out
}

// Exactly one router per failure domain requests the lease, and a drain revokes
// it.
func TestOneRouterPerDomainAsksForTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	routers, requested := startPair(g, "model-2")
	all := append(requested[0], requested[1]...)
	g.Expect(all).To(gomega.HaveLen(1))
	g.Expect(all[0].TTL).To(gomega.Equal(orders.LeaseTTL))
	holder := routers[0]
	if len(requested[1]) > 0 {
		holder = routers[1]
	}
	now := bootStart.Add(bootTime)
	holder.Step(now, core.LeaseResult{Op: all[0].Op, Status: core.KVOK, Lease: "lease-1"})
	g.Expect(holder.Step(now, core.Drain{})).To(gomega.ContainElement(
		gomega.BeAssignableToTypeOf(core.LeaseRevoke{})))
}

// Without a wanted state no lease is requested, so that orders cause no load on
// the key-value service.
func TestNoLeaseWithoutAWantedState(t *testing.T) {
	g := gomega.NewWithT(t)
	_, requested := startPair(g)
	g.Expect(requested).To(gomega.Equal([][]core.LeaseGrant{nil, nil}))
}
