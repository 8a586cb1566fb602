package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Engines that take long to set up answers, and read other prompts meanwhile, serve nearly as
// many callers as those that do not.
func TestLongSetupRefusesNobody(t *testing.T) {
	const seconds, engines, fewer = 8, 12, 0.03
	for _, load := range []float64{0.7, 0.9, 1.1} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			t.Parallel()
			served := func(setup time.Duration) float64 {
				served, all := 0, 0
				for seed := range uint64(4) {
					sim := newFleetSim(seed, engines, 0.9*simReadRate*engines)
					sim.setup = setup
					playSteady(sim, load*simReadRate*engines, seconds)
					served += sim.inTime + sim.late
					all += sim.inTime + sim.late + sim.refused
				}
				return float64(served) / float64(all)
			}
			long, usual := served(60*time.Millisecond), served(DefaultOptions().FirstToken)
			t.Logf("served %.3f with a long setup, %.3f with the usual one", long, usual)
			NewWithT(t).Expect(long).To(BeNumerically(">=", usual-fewer))
		})
	}
}
