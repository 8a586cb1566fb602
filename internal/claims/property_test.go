package claims

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// rapidSeed starts the generators; -rapid.seed overrides it.
const rapidSeed = 20240501

// rapidChecks is how many histories rapid tries.
const rapidChecks = 500

// stepsPerHistory is how long a history of the property tests is.
const stepsPerHistory = 120

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fmt.Sprint(rapidSeed))
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.checks").Value.String() == flag.Lookup("rapid.checks").DefValue {
		_ = flag.Set("rapid.checks", fmt.Sprint(rapidChecks))
	}
	fmt.Println("rapid.seed =", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// TestAtMostOnce searches histories for an operation that ran twice, a request
// decided twice, a false replay or a request that is never decided.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, mutations{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		sim.store.returnsIndex = sim.draw(2) == 1
		for range stepsPerHistory {
			sim.step()
		}
		sim.runToCompletion()
	})
}

// runHistory runs one history from a seed and returns what went wrong, if anything.
func runHistory(m mutations, seed uint64) (violation any, sim *simulation) {
	random := rand.New(rand.NewPCG(seed, seed))
	sim = newSimulation(3, m, random.IntN)
	sim.store.returnsIndex = seed%2 == 0
	defer func() { violation = recover() }()
	for range stepsPerHistory {
		sim.step()
	}
	sim.runToCompletion()
	return nil, sim
}

// historyCount is how many histories the mutation tests try.
const historyCount = 1000

// TestMutationsAreCaught shows that the histories find each mechanism's
// absence, and nothing when all are in place.
func TestMutationsAreCaught(t *testing.T) {
	for _, tc := range []struct {
		name      string
		mutations mutations
		caught    bool
	}{
		{name: "nonce not compared", mutations: mutations{ignoreNonce: true}, caught: true},
		{name: "late answer revives a nonce", mutations: mutations{acceptLateResult: true}, caught: true},
		{name: "taken over without the holder's word", mutations: mutations{takeOverUnconfirmed: true}, caught: true},
		{name: "another's record released", mutations: mutations{releaseOtherRecord: true}, caught: true},
		{name: "all in place"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			proceeds, replays, takeovers := 0, 0, 0
			for seed := uint64(1); seed <= historyCount; seed++ {
				violation, sim := runHistory(tc.mutations, seed)
				proceeds, replays, takeovers = proceeds+sim.proceeds, replays+sim.replays, takeovers+sim.store.takeovers
				if violation == nil {
					continue
				}
				if !tc.caught {
					t.Fatalf("seed %d: %v", seed, violation)
				}
				t.Logf("seed %d: %v", seed, violation)
				return
			}
			if tc.caught {
				t.Fatalf("seeds 1 to %d found nothing", historyCount)
			}
			t.Logf("seeds 1 to %d: %d grants, %d replays, %d takeovers", historyCount, proceeds, replays, takeovers)
		})
	}
}
