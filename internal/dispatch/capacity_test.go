package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

func TestGrowth(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		backlog time.Duration
		growth  float64
	}{
		{0, maxGrowth}, {targetBacklog, 1}, {targetBacklog / 2, 1.25}, {10 * targetBacklog, minGrowth}, {time.Hour, minGrowth},
	} {
		g.Expect(growthFactor(c.backlog)).To(BeNumerically("~", c.growth, 0.001), "%s", c.backlog)
	}
}

// An organisation that has received twice as much as another one gets nothing more, while
// the other one is still served: both are over their share, no request waits and some
// engines are idle. Otherwise the largest sender gets all the room that becomes free.
func TestFarOverShareIsRefusedWithoutContention(t *testing.T) {
	f := newFixture(t, 4)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 2_000_000}, nil, services, nil)})
	loads := make(map[uint32]Load)
	list := f.services[model]
	for _, u := range list[:len(list)-1] {
		loads[u.key] = Load{Running: 2, Prefill: int(3 * targetBacklog.Seconds() * f.options.PrefillRate)}
	}
	// The total that was started, less the demand of small, divided by two.
	const level = 1_275_000.0
	f.step(PeerReported{Peer: "b", Report: Report{Loads: loads, Usage: map[uint32]Usage{
		Key("large"): {Demand: 5_000_000, Started: 1_700_000, Charged: 1_700_000 / level},
		Key("org"):   {Demand: 1_000_000, Started: 850_000, Charged: 850_000 / level},
		Key("small"): {Demand: 300_000, Started: 300_000, Charged: 300_000 / level},
	}}})
	large := f.arriveFor("large", draft, model, 12_000)
	f.g.Expect(f.last[large]).To(BeAssignableToTypeOf(Refuse{}))
	f.lastSend(f.arriveFor("org", draft, model, 12_000))
}

// The share of an organisation shrinks as the backlog at the engines grows, whatever
// throughput is configured.
func TestShareLevelFollowsBacklog(t *testing.T) {
	f := newFixture(t, 4)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 100_000}, nil, services, nil)})
	var levels []float64
	for _, backlog := range []time.Duration{0, targetBacklog, 3 * targetBacklog} {
		f.now = f.now.Add(levelInterval)
		loads := make(map[uint32]Load)
		for _, u := range f.services[model] {
			loads[u.key] = Load{Running: 2, Prefill: int(backlog.Seconds() * f.options.PrefillRate)}
		}
		f.step(PeerReported{Peer: "b", Report: Report{Loads: loads, Usage: map[uint32]Usage{
			Key("a"): {Demand: 900_000, Started: 100_000}, Key("b"): {Demand: 900_000, Started: 100_000},
		}}})
		share := f.shareOf(f.now, "a", model, classPrefill)
		levels = append(levels, share.Level)
	}
	f.g.Expect(levels[0]).To(BeNumerically("~", 150_000, 1000))
	f.g.Expect(levels[1]).To(BeNumerically("~", 100_000, 1000))
	f.g.Expect(levels[2]).To(BeNumerically("~", 70_000, 1000))
}
