package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// playChecks plays many short checks and chats beside long prompts before twelve engines that
// serve streams more slowly while they read, at a load as a fraction of what they can read.
// Their streams may pause for gap.
func playChecks(load float64, gap time.Duration) map[string]outcomes {
	const engines, readRate, seeds, seconds = 12, 50_000, 4, 8
	route := func(name string, target time.Duration) *routing.Route {
		return &routing.Route{Name: name, Kind: routing.Stream, LatencyTarget: target, GapTarget: gap, Timeout: 3 * time.Second, MaxAttempts: 1}
	}
	kinds := []*simKind{
		{route: route("long", 800*time.Millisecond), perSecond: 335, shared: 5382, own: 6610, ownSpread: 1, output: 384, outSpread: 0.9, token: 5 * time.Millisecond},
		{route: route("chat", 400*time.Millisecond), perSecond: 398, shared: 198, own: 628, ownSpread: 1, output: 288, outSpread: 0.9, token: 5 * time.Millisecond},
		{route: route("check", 400*time.Millisecond), perSecond: 692, shared: 568, own: 1800, ownSpread: 1, output: 24, outSpread: 0.9, token: 5 * time.Millisecond},
	}
	table := routing.NewTable(3, routing.Limits{TokenRate: 0.6 * readRate * engines}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 24, CacheTokens: 523_000, EventTokens: 8}},
	}, nil)
	total := make(map[string]outcomes)
	for seed := range uint64(seeds) {
		sim := newFleetSim(seed, engines, 0)
		sim.readRate, sim.interleaved = readRate, true
		for i := range sim.routers {
			sim.step(i, TableChanged{table})
		}
		playKinds(sim, load*readRate*engines, seconds, kinds)
		for name, o := range sim.outcomes {
			sum := total[name]
			total[name] = outcomes{inTime: sum.inTime + o.inTime, late: sum.late + o.late, refused: sum.refused + o.refused}
		}
	}
	return total
}

// While long prompts leave no room, checks use the time that upstreams of streams have to
// spare: fewer of them are refused, and neither long prompts nor chats pay for it.
func TestChecksUseSpareTime(t *testing.T) {
	for _, load := range []float64{0.4, 0.55, 0.7, 0.85, 1.1} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			// Where streams may not pause at all, there is no time to spare.
			apart, spare := playChecks(load, 0), playChecks(load, 400*time.Millisecond)
			for name, o := range spare {
				t.Logf("%s: %.3f in time and %.3f refused, without spare time %.3f and %.3f", name,
					o.partInTime(), o.partRefused(), apart[name].partInTime(), apart[name].partRefused())
				g.Expect(o.partInTime()).To(BeNumerically(">=", apart[name].partInTime()-tolerance), name)
			}
			fewer := 0.9
			if load > 1 {
				// Whatever is placed where, callers are refused.
				fewer = 1
			}
			g.Expect(spare["check"].partRefused()).To(BeNumerically("<=", max(fewer*apart["check"].partRefused(), tolerance)))
		})
	}
}

func (o outcomes) all() float64         { return float64(o.inTime + o.late + o.refused) }
func (o outcomes) partInTime() float64  { return float64(o.inTime) / o.all() }
func (o outcomes) partRefused() float64 { return float64(o.refused) / o.all() }
