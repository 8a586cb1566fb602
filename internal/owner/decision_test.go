package owner

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newOneSlotOwner returns an owner of one upstream with one slot, for two
// organisations with equal shares.
func newOneSlotOwner() *State {
	s := New("r1.1", 7)
	s.Configure(noon, &config.Config{
		Services:      []config.Service{{Name: "assistant", Kind: config.Model, Slots: 1}},
		Organisations: []config.Organisation{{Name: "drummers", Share: 1}, {Name: "fiddlers", Share: 1}},
	})
	s.SetOwned(noon, []core.Upstream{{ID: "e1", Service: "assistant"}})
	return s
}

func demandOf(org string, waiting, cost uint32) *wire.Demand {
	return &wire.Demand{Services: []*wire.ServiceDemand{{Service: "assistant", Queues: []*wire.Queue{{
		Organisation: org, Class: core.ClassShort, Waiting: waiting, Cost: cost,
	}}}}}
}

// grantOf returns the first grant among the effects.
func grantOf(t *testing.T, effects []core.Effect) *wire.Grant {
	t.Helper()
	for _, e := range effects {
		if m, ok := e.(core.SendPeer); ok && m.Message.GetGrant() != nil {
			return m.Message.GetGrant()
		}
	}
	t.Fatal("no grant among the effects")
	return nil
}

func TestExplainReportsServedOrganisationsAndLead(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newOneSlotOwner()
	// Fiddlers hold the slot and have been charged 100 when drummers arrive.
	first := grantOf(t, s.HandleDemand(noon, "r2.1", demandOf("fiddlers", 1, 100)))
	at := noon.Add(time.Second)
	s.HandleDemand(at, "r3.1", demandOf("drummers", 1, 40))
	s.HandleDemand(at, "r2.1", demandOf("fiddlers", 1, 100))

	at = noon.Add(2 * time.Second)
	second := grantOf(t, s.HandleRelease(at, "r2.1", &wire.Release{Settled: []*wire.Settled{{Id: first.Id, Cost: 100}}}))
	g.Expect(second.Organisation).To(gomega.Equal("drummers"))
	at = noon.Add(3 * time.Second)
	third := grantOf(t, s.HandleRelease(at, "r3.1", &wire.Release{Settled: []*wire.Settled{{Id: second.Id, Cost: 40}}}))

	reply := s.Explain(noon.Add(4*time.Second), ExplainRequest{
		Service: "assistant", Organisation: "fiddlers", FromMS: 3000, ToMS: 1000,
		Grants: []core.GrantID{core.GrantID(third.Id)},
	})
	g.Expect(reply.Granted).To(gomega.HaveLen(1))
	g.Expect(reply.Granted[0].Entry).To(gomega.BeEquivalentTo("r2.1"))
	g.Expect(reply.Granted[0].AgeMS).To(gomega.BeEquivalentTo(1000))
	g.Expect(reply.Granted[0].Considered).To(gomega.HaveLen(1))
	g.Expect(reply.Granted[0].Considered[0].Upstream).To(gomega.Equal("e1"))
	g.Expect(reply.Granted[0].Considered[0].Free).To(gomega.Equal(1))
	g.Expect(reply.ServedMeanwhile).To(gomega.HaveLen(1), "the first grant was made before the wait")
	g.Expect(reply.ServedMeanwhile[0].Organisation).To(gomega.Equal("drummers"))
	g.Expect(*reply.ServedMeanwhile[0].Lead).To(gomega.BeNumerically("~", 100, 1e-9))
}

func TestBacklogsReportGapToNextOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newOneSlotOwner()
	grantOf(t, s.HandleDemand(noon, "r2.1", demandOf("fiddlers", 1, 100)))
	s.HandleDemand(noon, "r3.1", demandOf("drummers", 3, 40))
	s.HandleDemand(noon, "r2.1", demandOf("fiddlers", 1, 100))
	list := s.Backlogs(noon.Add(time.Second))
	g.Expect(list).To(gomega.HaveLen(2))
	g.Expect([]string{list[0].Organisation, list[1].Organisation}).To(gomega.Equal([]string{"drummers", "fiddlers"}))
	g.Expect(list[0].VirtualTimeGap).To(gomega.BeZero(), "drummers are served next")
	g.Expect(list[1].VirtualTimeGap).To(gomega.BeNumerically("~", 100, 1e-9))
	g.Expect([]uint32{list[0].Waiting, list[1].Waiting}).To(gomega.Equal([]uint32{3, 1}))
	g.Expect(list[1].OldestMS).To(gomega.BeEquivalentTo(1000))
}

func TestDecisionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var d decisionLog
	for i := range maxDecisions + 5 {
		d.add(Decision{Grant: core.GrantID(i)})
	}
	g.Expect(d.ring).To(gomega.HaveLen(maxDecisions))
	g.Expect(d.ring[d.next].Grant).To(gomega.BeEquivalentTo(5), "the oldest decision that is kept")
}
