package trace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

const scenarioText = `
name: test
seed: 7
kinds:
  - {name: short, service: assistant, load: 0.5, min_tokens: 10, max_tokens: 30}
  - {name: charge, service: booking, rate: 20, once: true, again: 0.5}
phases:
  - {name: calm, duration: 5s}
  - {name: crest, duration: 5s, factor: 8, ramp: 2s, only: [short]}
`

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Logf("seed %d", s.Seed)
	return s
}

func TestNewIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	params := Params{Routers: 4, TokenRate: 1000, Salt: "s"}
	first, err := New(parseScenario(t, scenarioText), params)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := New(parseScenario(t, scenarioText), params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Requests).To(Equal(second.Requests))
}

func TestNewFollowsThePhases(t *testing.T) {
	g := NewWithT(t)
	tr, err := New(parseScenario(t, scenarioText), Params{Routers: 4, TokenRate: 1000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	calm := tr.OfferedTokens(0, 5*time.Second)
	// The ramp of the crest phase ends at 7 s; from then on the load has the factor 8.
	crest := tr.OfferedTokens(7*time.Second, 10*time.Second)
	g.Expect(calm).To(BeNumerically("~", 0.5*1000*5, 500))
	g.Expect(crest).To(BeNumerically("~", 8*0.5*1000*3, 1500))
	for i, r := range tr.Requests {
		g.Expect(r.ID).To(Equal(i))
		if r.Phase == 1 {
			g.Expect(r.Duplicate || r.Kind == 0).To(BeTrue(), "the crest phase sends only short requests")
		}
	}
}

func TestDuplicatesGoThroughAnotherRouterWithTheSameKey(t *testing.T) {
	g := NewWithT(t)
	tr, err := New(parseScenario(t, scenarioText), Params{Routers: 4, TokenRate: 1000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	first := make(map[string]Request)
	duplicates := 0
	for _, r := range tr.Requests {
		if r.Key == "" {
			continue
		}
		original, ok := first[r.Key]
		if !ok {
			first[r.Key] = r
			continue
		}
		duplicates++
		g.Expect(r.Duplicate).To(BeTrue())
		g.Expect(r.Router).NotTo(Equal(original.Router))
	}
	g.Expect(duplicates).To(BeNumerically(">", 10))
}

func TestPinnedOrganisationsUseFewRouters(t *testing.T) {
	g := NewWithT(t)
	s := parseScenario(t, scenarioText)
	s.Pinned = scenario.Pinned{Organisations: 14, Routers: 2}
	tr, err := New(s, Params{Routers: 8, TokenRate: 2000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	unpinnedRouters := make(map[int]bool)
	for _, r := range tr.Requests {
		if r.Organisation >= 2 && !r.Duplicate {
			g.Expect(r.Router).To(BeNumerically("<", 2))
		} else {
			unpinnedRouters[r.Router] = true
		}
	}
	g.Expect(unpinnedRouters).To(HaveLen(8))
}

func TestFloodAddsLoad(t *testing.T) {
	g := NewWithT(t)
	s := parseScenario(t, scenarioText)
	params := Params{Routers: 2, TokenRate: 1000, Salt: "s"}
	base, err := New(s, params)
	g.Expect(err).NotTo(HaveOccurred())
	s.Demand = map[string]float64{"org-0016": 32}
	flood, err := New(s, params)
	g.Expect(err).NotTo(HaveOccurred())
	// The 16 organisations have shares of 31 in total, 3 of them 6 and 13 of them 1.
	// Multiplying one share of 1 by 32 adds 31, which doubles the demand.
	end := s.Duration()
	g.Expect(flood.OfferedTokens(0, end) / base.OfferedTokens(0, end)).To(BeNumerically("~", 2, 0.2))
}
