package orders

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// pairSeed is the default seed of the generators and pairChecks the default
	// number of pairs; -rapid.seed and -rapid.checks override them.
	pairSeed   = "20261204"
	pairChecks = "300"
	// maxPairGap is the longest time between the two faults of a pair, in
	// milliseconds.
	maxPairGap = 180_000
)

// TestMain sets the default seed and number of checks, and prints the seed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": pairSeed, "rapid.checks": pairChecks, "rapid.nofailfile": "true",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// TestPairsOfFaults injects a second fault at one of the first two routers, at a
// random time after the first one.
func TestPairsOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom(rows()).Draw(t, "row")
		second := rapid.SampledFrom(allFaults).Draw(t, "second")
		router := rapid.IntRange(0, 1).Draw(t, "router")
		gap := time.Duration(rapid.IntRange(0, maxPairGap).Draw(t, "milliseconds")) * time.Millisecond
		leaseDuration := rapid.SampledFrom(leaseDurations).Draw(t, "lease")
		checksFencing := rapid.Bool().Draw(t, "checks")
		injectFirst := r.fault.inject
		r.fault.inject = func(sim *simulation, n *node) effectFault {
			sim.runAfter(gap, func() { sim.nodes[router].nextFault = second.inject(sim, sim.nodes[router]) })
			return injectFirst(sim, n)
		}
		sim := newSimulation(r, checksFencing, leaseDuration, mutations{})
		sim.advance(runTime)
		sim.leaveNewestCandidate()
		sim.advance(runTime)
		violations := sim.notConverged()
		if checksFencing || !r.fault.allowsLateOrder && !second.allowsLateOrder {
			violations = append(violations, sim.outOfOrder()...)
		}
		for _, v := range violations {
			t.Errorf("%s, and %s later %s at router %d: %s", r.name(checksFencing), gap, second.name, router, v)
		}
	})
}

// leaveNewestCandidate makes the newest running router the only candidate and
// configures the same desired state everywhere.
func (sim *simulation) leaveNewestCandidate() {
	last := sim.standby(nil)
	for _, n := range sim.nodes {
		n.setCandidate(n == last)
		n.configure("B")
	}
}
