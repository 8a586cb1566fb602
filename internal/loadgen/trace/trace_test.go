package trace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

const text = `
name: test
seed: 7
kinds:
  - {name: short, service: assistant, load: 0.5, min_tokens: 10, max_tokens: 30}
  - {name: charge, service: booking, rate: 20, once: true, again: 0.5}
phases:
  - {name: calm, duration: 5s}
  - {name: crest, duration: 5s, factor: 8, ramp: 2s, only: [short]}
`

func parse(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Logf("seed %d", s.Seed)
	return s
}

func TestNewIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	site := Site{Routers: 4, TokenRate: 1000, Salt: "s"}
	first, err := New(parse(t, text), site)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := New(parse(t, text), site)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Requests).To(Equal(second.Requests))
}

func TestNewFollowsThePhases(t *testing.T) {
	g := NewWithT(t)
	tr, err := New(parse(t, text), Site{Routers: 4, TokenRate: 1000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	calm := tr.Offered(0, 5*time.Second)
	crest := tr.Offered(7*time.Second, 10*time.Second)
	g.Expect(calm).To(BeNumerically("~", 0.5*1000*5, 500))
	g.Expect(crest).To(BeNumerically("~", 8*0.5*1000*3, 1500))
	for i, r := range tr.Requests {
		g.Expect(r.ID).To(Equal(i))
		if r.Phase == 1 {
			g.Expect(r.Again || r.Kind == 0).To(BeTrue(), "only short requests in the crest")
		}
	}
}

func TestAgainGoesThroughAnotherRouterWithTheSameKey(t *testing.T) {
	g := NewWithT(t)
	tr, err := New(parse(t, text), Site{Routers: 4, TokenRate: 1000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	first := make(map[string]Request)
	again := 0
	for _, r := range tr.Requests {
		if r.Key == "" {
			continue
		}
		before, ok := first[r.Key]
		if !ok {
			first[r.Key] = r
			continue
		}
		again++
		g.Expect(r.Again).To(BeTrue())
		g.Expect(r.Router).NotTo(Equal(before.Router))
	}
	g.Expect(again).To(BeNumerically(">", 10))
}

func TestPinnedOrganisationsUseFewRouters(t *testing.T) {
	g := NewWithT(t)
	s := parse(t, text)
	s.Pinned = scenario.Pinned{Organisations: 14, Routers: 2}
	tr, err := New(s, Site{Routers: 8, TokenRate: 2000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	free := make(map[int]bool)
	for _, r := range tr.Requests {
		if r.Organisation >= 2 && !r.Again {
			g.Expect(r.Router).To(BeNumerically("<", 2))
		} else {
			free[r.Router] = true
		}
	}
	g.Expect(free).To(HaveLen(8))
}

func TestFloodAddsLoad(t *testing.T) {
	g := NewWithT(t)
	s := parse(t, text)
	site := Site{Routers: 2, TokenRate: 1000, Salt: "s"}
	plain, err := New(s, site)
	g.Expect(err).NotTo(HaveOccurred())
	s.Demand = map[string]float64{"org-0016": 32}
	flood, err := New(s, site)
	g.Expect(err).NotTo(HaveOccurred())
	end := s.Duration()
	g.Expect(flood.Offered(0, end) / plain.Offered(0, end)).To(BeNumerically("~", 2, 0.2))
}
