package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// inDomains puts the upstreams into failure domains in turn.
func inDomains(list []Instance, domains ...string) []Instance {
	for i := range list {
		list[i].Domain = domains[i/2%len(domains)]
	}
	return list
}

// evacuate makes the given domains the evacuated ones, from now on.
func (f *fixture) evacuate(list []Instance, domains ...string) {
	since := make(map[string]time.Time)
	for _, d := range domains {
		if since[d] = f.now; !f.evacuated.since[d].IsZero() {
			since[d] = f.evacuated.since[d]
		}
	}
	f.step(InstancesChanged{Instances: list, Evacuated: since})
}

// Requests that come during the evacuation of a domain are served in the others at once, those
// that are bound to it may be sent for a moment, and afterwards it takes work again.
func TestEvacuatedDomainGetsNothingNew(t *testing.T) {
	f, list := newFixture(t, 4), inDomains(instances(4), "a", "b")
	f.options.Domain = "a"
	f.step(InstancesChanged{Instances: list})
	bound := f.lastSend(f.arrive(draft, model, 600))
	f.g.Expect(bound.Upstream.Domain).To(Equal("a"))
	f.evacuate(list, "a")
	for range 10 {
		f.g.Expect(f.lastSend(f.arrive(draft, model, 600)).Upstream.Domain).To(Equal("b"))
		f.g.Expect(f.lastSend(f.arrive(booking, plain, 0)).Upstream.Domain).To(Equal("b"))
		f.now = f.now.Add(50 * time.Millisecond)
	}
	f.g.Expect(f.MaySend(f.now, bound.Upstream)).To(BeTrue())
	f.now = f.evacuated.since["a"].Add(maxSendAfterEvacuation)
	f.g.Expect(f.MaySend(f.now, bound.Upstream)).To(BeFalse())
	f.fail(bound.ID, Failed{Kind: core.FailDial})
	f.g.Expect(f.lastSend(bound.ID).Upstream.Domain).To(Equal("b"), "it was not sent")
	f.evacuate(list)
	f.g.Expect(f.lastSend(f.arrive(draft, model, 600)).Upstream.Domain).To(Equal("a"))
}

// An upstream that starts in an evacuated domain gets nothing either, also where requests of an
// earlier run were bound to it.
func TestUpstreamThatStartsInEvacuatedDomainGetsNothing(t *testing.T) {
	f, list := newFixture(t, 2), inDomains(instances(2), "a", "b")
	f.evacuate(list, "a")
	f.now = f.now.Add(time.Minute)
	restarted := inDomains(instances(2), "a", "b")
	restarted[0].Started = 5
	f.evacuate(restarted, "a")
	f.g.Expect(f.MaySend(f.now, restarted[0])).To(BeFalse())
	f.g.Expect(f.lastSend(f.arrive(draft, model, 600)).Upstream.Domain).To(Equal("b"))
}

func TestRefusedAtOnceWhenAllDomainsAreEvacuated(t *testing.T) {
	f, list := newFixture(t, 2), inDomains(instances(2), "a", "b")
	f.step(InstancesChanged{Instances: list})
	for range 30 {
		f.arrive(booking, plain, 0)
	}
	f.g.Expect(f.Waiting()).NotTo(BeZero())
	f.evacuate(list, "a", "b")
	f.g.Expect(f.Waiting()).To(BeZero(), "those that wait are refused too")
	r, ok := f.last[f.arrive(booking, plain, 0)].(Refuse)
	f.g.Expect(ok).To(BeTrue())
	f.g.Expect(r.Reason).To(Equal(ReasonEvacuated))
	f.evacuate(list, "a")
	f.lastSend(f.arrive(draft, model, 600))
}

// A stream that may have to return to an evacuated domain is not stopped for a move.
func TestNoHandoverFromOrToEvacuatedDomain(t *testing.T) {
	for _, evacuated := range []string{"source", "target"} {
		t.Run(evacuated, func(t *testing.T) {
			f := newMoveFixture(t, 6)
			id, m := f.arriveAndMove(12_000)
			f.g.Expect(f.MayHandOver(id, m.Attempt)).To(BeTrue())
			list := instances(6)
			for i := range list {
				if list[i].ID == map[string]string{"source": m.From.ID, "target": m.To.ID}[evacuated] {
					list[i].Domain = "a"
				}
			}
			f.evacuate(list, "a")
			f.g.Expect(f.MayHandOver(id, m.Attempt)).To(BeFalse())
		})
	}
}

// A stream that was stopped for a move before the evacuation goes on at its source within the
// time for bound requests, and not there later.
func TestStoppedStreamReturnsToEvacuatedSourceForAMoment(t *testing.T) {
	for _, x := range []struct {
		after time.Duration
		sent  bool
	}{{maxSendAfterEvacuation - 1, true}, {maxSendAfterEvacuation, false}} {
		f := newMoveFixture(t, 6)
		id, m := f.arriveAndMove(12_000)
		f.evacuate(instances(6), "")
		f.now = f.now.Add(x.after)
		f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", AtSource: true, LastEventID: "4"})
		_, sent := f.last[id].(Send)
		f.g.Expect(sent).To(Equal(x.sent))
	}
}

// The share of the organisations is measured on the domains that are left.
func TestEvacuatedEnginesDoNotCountAsCapacity(t *testing.T) {
	f, list := newFixture(t, 4), inDomains(instances(4), "a", "b", "c", "d")
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 1000}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000}}, {Name: plain},
	}, nil)})
	f.step(InstancesChanged{Instances: list})
	whole := f.scaledThroughput(f.now, 1)
	f.evacuate(list, "a", "b")
	f.g.Expect(f.scaledThroughput(f.now, 1)).To(BeNumerically("~", whole/2))
}

// An operator is told once that a domain is empty, and what runs there until then.
func TestEmptiedDomainIsReported(t *testing.T) {
	f, list := newFixture(t, 1), inDomains(instances(1), "a")
	f.step(InstancesChanged{Instances: list})
	id := f.arrive(draft, model, 600)
	f.evacuate(list, "a")
	f.advance(5 * time.Second)
	f.g.Expect(f.RunningInEvacuated()).To(Equal(map[string]int{"a": 1}))
	f.g.Expect(f.last[""]).To(BeNil())
	f.step(FirstByteReceived{id, 1})
	f.step(Done{id, 1})
	f.advance(time.Second)
	f.g.Expect(f.last[""]).To(BeAssignableToTypeOf(DomainEmptied{}))
	f.last[""] = nil
	f.advance(time.Second)
	f.g.Expect(f.last[""]).To(BeNil())
}

// Whatever happens, nothing is sent to a domain while it is evacuated, except for what was
// bound to it before.
func TestNothingIsSentToEvacuatedDomains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, list := newFixture(t, 6), inDomains(instances(6), "a", "b", "c")
		f.options.Domain = "a"
		f.step(InstancesChanged{Instances: list})
		domains := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string])
		route := rapid.SampledFrom([]*routing.Route{chat, draft, booking, lookup})
		var ids []string
		step := func(act func()) {
			f.all = f.all[:0]
			act()
			for _, effect := range f.all {
				switch e := effect.(type) {
				case Send:
					f.g.Expect(f.evacuated.since).NotTo(HaveKey(e.Upstream.Domain))
				case Move:
					f.g.Expect(f.evacuated.since).NotTo(HaveKey(e.To.Domain))
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"evacuate": func(rt *rapid.T) {
				d := domains.Draw(rt, "domains")
				step(func() { f.evacuate(list, d...) })
			},
			"arrive": func(rt *rapid.T) {
				r := route.Draw(rt, "route")
				service := model
				if !r.Kind.Streaming() {
					service = plain
				}
				step(func() { ids = append(ids, f.arrive(r, service, rapid.IntRange(1, 12_000).Draw(rt, "tokens"))) })
			},
			"fail": func(rt *rapid.T) {
				if len(ids) == 0 {
					rt.Skip("no request")
				}
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				if _, ok := f.last[id].(Send); !ok {
					rt.Skip("not at an upstream")
				}
				step(func() { f.fail(id, Failed{Kind: core.FailReset, MayHaveRun: rapid.Bool().Draw(rt, "ran")}) })
			},
			"time": func(*rapid.T) { step(func() { f.advance(200 * time.Millisecond) }) },
		})
	})
}
