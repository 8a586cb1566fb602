package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An engine of another failure domain that seems a little less loaded is used if its load
// is current, but not if reports arrive late: many routers have picked it by then.
func TestStaleDomainLoadsAreDiscounted(t *testing.T) {
	for _, c := range []struct {
		byDomain bool
		backlog  time.Duration
		domain   string
	}{
		{false, 60 * time.Millisecond, "b"},
		{true, 60 * time.Millisecond, "a"},
		{true, 190 * time.Millisecond, "b"},
	} {
		f := newFixture(t, 4)
		f.options.Domain = "a"
		list := instances(4)
		for i := range list {
			// Engines 0 and 1 are assigned to classDecode.
			list[i].Domain = []string{"a", "b"}[i/2%2]
		}
		f.step(InstancesChanged{Instances: list})
		f.step(FleetChanged{Routers: 88, AggregatedByDomain: c.byDomain})
		loads := make(map[uint32]Load)
		for _, u := range f.services[model] {
			if u.Domain == "a" {
				loads[u.key] = Load{Running: 1, Prefill: int(c.backlog.Seconds() * f.options.PrefillRate)}
			}
		}
		f.step(PeerReported{Peer: "x", Report: Report{Loads: loads}})
		sent := f.lastSend(f.arrive(draft, model, 12_000))
		f.g.Expect(sent.Upstream.Domain).To(Equal(c.domain), "%+v", c)
	}
}

// Routers with the same view of the loads send their next requests to different upstreams.
func TestTiesAreBrokenDifferentlyPerRequest(t *testing.T) {
	picked := make(map[string]bool)
	for i := range 20 {
		f := newFixture(t, 8)
		f.seq = i // another router's request
		picked[f.lastSend(f.arrive(draft, model, 12_000)).Upstream.ID] = true
	}
	NewWithT(t).Expect(len(picked)).To(BeNumerically(">=", 4), "%v", picked)
}

// Skipping the upstreams of other failure domains where they cannot be better never
// changes the choice.
func TestSkippingOtherDomainsKeepsBestChoice(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	own, elsewhere := 0, 0
	for round := range 200 {
		f := newFixture(t, 0)
		list := instances(12)
		for i := range list {
			list[i].Domain = []string{"a", "b", "c"}[i/2%3]
		}
		f.options.Domain = "a"
		f.step(InstancesChanged{Instances: list})
		f.step(FleetChanged{Routers: 30, AggregatedByDomain: round%2 == 0})
		for _, u := range f.upstreams {
			u.remote = Load{Running: random.IntN(60), Prefill: random.IntN(3) * random.IntN(12_000)}
		}
		for _, service := range []string{model, plain} {
			r := &request{Request: &Request{
				ID: fmt.Sprint(round), Route: chat, Service: service, Deadline: f.now.Add(time.Minute),
				Prompt: Prompt{Tokens: 500 + random.IntN(9000), MaxOutput: 300},
			}}
			r.class = classify(r.Prompt)
			got, ok := f.place(f.now, r)
			want, found := f.bestUpstream(f.now, r, f.services[service], prefixSource{}, func(*upstream) bool { return true })
			g.Expect(ok).To(Equal(found))
			g.Expect(got.score).To(Equal(want.score))
			g.Expect(got.upstream).To(BeIdenticalTo(want.upstream))
			switch {
			case ok && got.upstream.Domain == "a":
				own++
			case ok:
				elsewhere++
			}
		}
	}
	g.Expect(own).To(BeNumerically(">", 0))
	g.Expect(elsewhere).To(BeNumerically(">", 0))
}
