package claims

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// rapidSeed is the default seed of the generators; -rapid.seed overrides it.
const rapidSeed = 20240501

// rapidChecks is the default number of histories that rapid runs; -rapid.checks
// overrides it.
const rapidChecks = 500

// stepsPerHistory is the number of random steps in a history.
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

// TestAtMostOnce searches random histories for an operation that ran twice, a
// request that was decided twice or never, a replay of an answer that was never
// given, and an outcome that was never recorded.
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

// runHistory runs one history from a seed and returns the violation that it
// found, nil if none.
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

// historyCount is the number of histories that the mutation tests run.
const historyCount = 1000

// TestMutationsAreCaught checks that the histories find a violation when any one
// mechanism is disabled, and none when all are enabled.
func TestMutationsAreCaught(t *testing.T) {
	for _, tc := range []struct {
		name      string
		mutations mutations
		caught    bool
	}{
		{name: "nonce not compared", mutations: mutations{ignoreNonce: true}, caught: true},
		{name: "late result accepted", mutations: mutations{acceptLateResult: true}, caught: true},
		{name: "taken over without a reply of the holder", mutations: mutations{takeOverUnconfirmed: true}, caught: true},
		{name: "record of another attempt released", mutations: mutations{releaseOtherRecord: true}, caught: true},
		{name: "all enabled"},
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
				t.Fatalf("seeds 1 to %d found no violation", historyCount)
			}
			t.Logf("seeds 1 to %d: %d grants, %d replays, %d takeovers", historyCount, proceeds, replays, takeovers)
		})
	}
}
