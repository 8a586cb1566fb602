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
	// pairSeed starts the generators and pairChecks is how many pairs are tried;
	// -rapid.seed and -rapid.checks override them.
	pairSeed   = "20261204"
	pairChecks = "300"
	// pairGap is the longest time between the two faults, in milliseconds.
	pairGap = 180_000
)

// TestMain fixes and prints the seed.
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

// TestPairsOfFaults lets a second fault strike one of the first two routers at a
// random moment after the first one.
func TestPairsOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom(rows()).Draw(t, "row")
		second := rapid.SampledFrom(troubles).Draw(t, "second")
		at := rapid.IntRange(0, 1).Draw(t, "router")
		gap := time.Duration(rapid.IntRange(0, pairGap).Draw(t, "milliseconds")) * time.Millisecond
		stretch := rapid.SampledFrom(stretches).Draw(t, "lease")
		checks := rapid.Bool().Draw(t, "checks")
		first := r.trouble.strike
		r.trouble.strike = func(w *world, n *node) treatment {
			w.after(gap, func() { w.nodes[at].pending = second.strike(w, w.nodes[at]) })
			return first(w, n)
		}
		w := newWorld(r, checks, stretch, faults{})
		w.run(longRun)
		w.calm()
		w.run(longRun)
		broken := w.unsettled()
		if checks || !r.trouble.residual && !second.residual {
			broken = append(broken, w.disordered()...)
		}
		for _, b := range broken {
			t.Errorf("%s, and %s later %s at router %d: %s", r.name(checks), gap, second.name, at, b)
		}
	})
}

// calm makes the newest router that is left the only candidate.
func (w *world) calm() {
	last := w.other(nil)
	for _, n := range w.nodes {
		n.setCandidate(n == last)
		n.configure("B")
	}
}
