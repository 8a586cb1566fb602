package faults

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// pairSeed seeds the generators, and pairChecks is the number of pairs that each
	// of the pairGroups groups of steps tries. The flags -rapid.seed and
	// -rapid.checks override them.
	pairSeed   = "20261204"
	pairChecks = "15"
	pairGroups = 4
	// maxPairGap is the longest time between the two faults, in milliseconds.
	maxPairGap = 6000
	// gcPercent reduces the cost of collecting the many short-lived fleets.
	gcPercent = 400
)

// TestMain sets the defaults of rapid's flags and prints the seed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": pairSeed, "rapid.checks": pairChecks, "rapid.nofailfile": "true", "rapid.shrinktime": "1s",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	debug.SetGCPercent(gcPercent)
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// TestPairsOfFaults injects a random fault at a random step, and a second one into
// a random router up to maxPairGap later.
func TestPairsOfFaults(t *testing.T) {
	for group := range pairGroups {
		t.Run(fmt.Sprintf("group %d", group), func(t *testing.T) {
			t.Parallel()
			tryPairs(t, group)
		})
	}
}

// tryPairs tries pairs whose step is one of every pairGroups-th step, starting at
// group.
func tryPairs(t *testing.T, group int) {
	rapid.Check(t, func(t *rapid.T) {
		r := &row{
			step:  steps[group+pairGroups*rapid.IntRange(0, len(steps)/pairGroups-1).Draw(t, "step")],
			fault: faults[rapid.IntRange(0, len(faults)-1).Draw(t, "first")],
		}
		second := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "second")]
		at := rapid.IntRange(0, routerCount-1).Draw(t, "router")
		gap := time.Duration(rapid.IntRange(0, maxPairGap).Draw(t, "milliseconds")) * time.Millisecond
		first := r.fault.inject
		r.fault.inject = func(f *fleet, n *node) {
			first(f, n)
			f.faultLasts(gap)
			f.after(gap, func() { second.inject(f, f.nodes[at]) })
		}
		r.run(rapid.Uint64Range(1, 1<<32).Draw(t, "seed"), 0)
		for _, b := range r.violations {
			t.Errorf("%s, and %s later %s at %s: %s", r, gap, second.name, fmt.Sprintf("r%d", at), b)
		}
	})
}
