package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// newRegionFixture returns a fixture with six engines and six plain upstreams: two domains are
// in the region north and one in south. The organisation "southern" is allowed only there.
func newRegionFixture(t *testing.T) (f *fixture, list []Instance) {
	f, list = newMoveFixture(t, 6), inDomains(instances(6), "n1", "n2", "s1")
	f.options.Domain, f.options.Regions = "n1", map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	f.step(TableChanged{Table: routing.NewTable(3, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5, Moves: true}},
		{Name: plain},
	}, []routing.Organisation{{Name: "southern", Regions: []string{"south"}}, {Name: "org"}})})
	f.step(InstancesChanged{Instances: list})
	return f, list
}

// allowedIn returns a copy of a route that is allowed in some regions only.
func allowedIn(r *routing.Route, regions ...string) *routing.Route {
	restricted := *r
	restricted.Regions = regions
	return &restricted
}

func TestRequestsStayInAllowedRegions(t *testing.T) {
	f, list := newRegionFixture(t)
	for range 5 {
		f.g.Expect(f.lastSend(f.arrive(allowedIn(draft, "south"), model, 600)).Upstream.Domain).To(Equal("s1"))
		f.g.Expect(f.lastSend(f.arriveFor("southern", booking, plain, 0)).Upstream.Domain).To(Equal("s1"))
		f.g.Expect(f.lastSend(f.arrive(allowedIn(draft, "north"), model, 600)).Upstream.Domain).NotTo(Equal("s1"))
		f.g.Expect(f.lastSend(f.arrive(draft, model, 600)).Upstream.Domain).To(Equal("n1"))
	}
	f.evacuate(list, "s1")
	for reason, id := range map[Reason]string{
		ReasonEvacuated: f.arrive(allowedIn(draft, "south"), model, 600),
		ReasonRegion:    f.arrive(allowedIn(draft, "west"), model, 600),
	} {
		f.g.Expect(f.last[id]).To(HaveField("Reason", reason))
	}
	f.g.Expect(f.last[f.arriveFor("southern", allowedIn(draft, "north"), model, 600)]).To(HaveField("Reason", ReasonRegion), "both bind")
}

// Requests that find no room in their region do not hold up those that may go elsewhere.
func TestRestrictedRequestsDoNotHoldUpOthers(t *testing.T) {
	f, list := newRegionFixture(t)
	for range 6 * (6 + plainOvercommit) {
		f.arrive(booking, plain, 0)
	}
	restricted := f.arrive(allowedIn(booking, "south"), plain, 0)
	free := f.arriveFor("other", booking, plain, 0)
	f.g.Expect(f.Waiting()).To(Equal(2))
	more := append(list, Instance{ID: "p99", Service: plain, Addr: "10.0.9.9:1", Slots: 6, Domain: "n2"})
	f.step(InstancesChanged{Instances: more})
	f.g.Expect(f.lastSend(free).Upstream.ID).To(Equal("p99"))
	f.g.Expect(f.last[restricted]).To(BeNil())
}

// Whatever happens, no request, move or copy of cached parts leaves the allowed regions.
func TestNothingLeavesTheAllowedRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, list := newRegionFixture(t)
		routes := []*routing.Route{draft, allowedIn(draft, "south"), allowedIn(draft, "north", "south"), allowedIn(draft, "north"), allowedIn(chat, "north")}
		addr := make(map[string]string)
		for _, in := range list {
			addr[in.Addr] = in.Domain
		}
		type sent struct {
			route *routing.Route
			org   string
		}
		requests := make(map[string]sent)
		var ids []string
		check := func() {
			for _, effect := range f.all {
				r, known := requests[effect.RequestID()]
				if !known {
					continue
				}
				allowed := f.table.AllowedRegions(r.route, r.org)
				switch e := effect.(type) {
				case Send:
					f.g.Expect(allowed.Allows(f.options.Regions[e.Upstream.Domain])).To(BeTrue())
					if e.FetchFrom != "" {
						f.g.Expect(allowed.Allows(f.options.Regions[addr[e.FetchFrom]])).To(BeTrue())
					}
				case Move:
					f.g.Expect(allowed.Allows(f.options.Regions[e.To.Domain])).To(BeTrue())
				}
			}
			f.all = f.all[:0]
		}
		parts := []Part{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 600}}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				r := sent{rapid.SampledFrom(routes).Draw(rt, "route"), rapid.SampledFrom([]string{"org", "southern"}).Draw(rt, "org")}
				f.seq++
				id := rapid.StringMatching("q[a-z]{12}").Draw(rt, "id")
				requests[id], ids = r, append(ids, id)
				f.step(Arrive{&Request{ID: id, Organisation: r.org, Route: r.route, Service: model, Deadline: f.now.Add(15 * time.Second),
					Prompt: Prompt{Tokens: 5600, MaxOutput: 300, Parts: parts}}})
			},
			"answer": func(rt *rapid.T) {
				if len(ids) == 0 {
					rt.Skip("no request")
				}
				if s, ok := f.last[rapid.SampledFrom(ids).Draw(rt, "id")].(Send); ok {
					f.step(FirstByteReceived{s.ID, s.Attempt})
				}
			},
			"fail": func(rt *rapid.T) {
				if len(ids) == 0 {
					rt.Skip("no request")
				}
				if s, ok := f.last[rapid.SampledFrom(ids).Draw(rt, "id")].(Send); ok {
					f.step(Failed{ID: s.ID, Attempt: s.Attempt, Kind: core.FailReset, MayHaveRun: true})
				}
			},
			"time": func(*rapid.T) { f.advance(100 * time.Millisecond) },
			"":     func(*rapid.T) { check() },
		})
	})
}
