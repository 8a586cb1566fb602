package dispatch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// newMemoryFixture returns a fixture with engines whose memory is short, and not their time.
func newMemoryFixture(t *testing.T, engines int) *fixture {
	f := newFixture(t, engines)
	f.options.PrefillRate = 1e8
	return f
}

func (f *fixture) arriveLarge(org string, tokens int) string {
	id := f.arriveFor(org, draft, model, tokens)
	if send, ok := f.last[id].(Send); ok {
		f.step(FirstByteReceived{ID: id, Attempt: send.Attempt})
	}
	return id
}

// What is reserved for a request is used by it, whoever else waits for memory before it.
func TestReservedMemoryIsUsed(t *testing.T) {
	f := newMemoryFixture(t, 1)
	first := f.arriveLarge("o", 300_000)
	f.arriveLarge("o", 200_000)
	large := f.arriveLarge("p", 300_000)
	f.arriveLarge("a", 100_000)
	f.g.Expect(f.Waiting()).To(Equal(2))
	f.step(Done{ID: first, Attempt: f.lastSend(first).Attempt})
	f.g.Expect(f.last[large]).To(BeAssignableToTypeOf(Send{}))
}

// A request keeps no reservation at an upstream that takes it no more.
func TestReservationEndsWithItsUpstream(t *testing.T) {
	engines := inDomains(instances(3), "x", "y", "z")
	for name, end := range map[string]func(f *fixture, id string){
		"gone": func(f *fixture, id string) {
			var list []Instance
			for _, in := range engines {
				if in.ID != id {
					list = append(list, in)
				}
			}
			f.step(InstancesChanged{Instances: list})
		},
		"leaving": func(f *fixture, id string) {
			f.step(InstanceReported{Instance: f.upstreams[id].Instance, Leaving: true})
		},
		"evacuated": func(f *fixture, id string) { f.evacuate(engines, f.upstreams[id].Domain) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newMemoryFixture(t, 3)
			f.step(InstancesChanged{Instances: engines})
			for range 2 {
				f.arriveLarge("o", 400_000)
			}
			large := f.arriveLarge("o", 300_000)
			before := f.requests[large].reserved
			f.g.Expect(before).NotTo(BeNil())
			end(f, before.ID)
			f.step(Tick{})
			f.g.Expect(f.requests[large].reserved).NotTo(BeIdenticalTo(before))
			f.g.Expect(before.local.Memory).To(BeNumerically("<=", 410_000))
			f.step(CallerLeft{ID: large})
			f.g.Expect(f.reservations[model]).To(Equal(0))
			for _, u := range f.upstreams {
				f.g.Expect(u.reservedFor).To(BeNil())
			}
		})
	}
}

// Memory is reserved where it is short, and not where it is free and something else keeps the
// request waiting.
func TestMemoryIsReservedWhereItIsShort(t *testing.T) {
	f := newMemoryFixture(t, 3)
	f.step(InstanceReported{Instance: f.upstreams["m01"].Instance, Limit: 0.1})
	f.upstreams["m01"].limit.take(f.now)
	f.step(PeerReported{Peer: "a", Report: Report{Loads: map[uint32]Load{Key("m02"): {Running: 8, Memory: 500_000}}}})
	large := f.arriveLarge("o", 100_000)
	f.g.Expect(f.last[large]).To(BeNil())
	f.g.Expect(f.requests[large].reserved != nil && f.requests[large].reserved.ID == "m02").To(BeTrue())
}

// Routers with the same view of the loads do not all reserve memory of the same engine: together
// they would keep so much there that none of them has room.
func TestRoutersReserveMemoryApart(t *testing.T) {
	const engines, routers = 12, 24
	reserved := make(map[string]int)
	g := NewWithT(t)
	for i := range routers {
		f := newMemoryFixture(t, engines)
		loads := make(map[uint32]Load)
		for n := range engines {
			loads[Key(fmt.Sprintf("m%02d", n))] = Load{Running: 8, Memory: 520_000 + n}
		}
		f.step(PeerReported{Peer: "a", Report: Report{Loads: loads}})
		f.step(Arrive{&Request{ID: fmt.Sprint("router", i), Organisation: "o", Route: draft, Service: model, Deadline: f.now.Add(draft.Timeout), Prompt: Prompt{Tokens: 69_000, MaxOutput: 100}}})
		r := f.requests[fmt.Sprint("router", i)]
		g.Expect(r.reserved).NotTo(BeNil())
		reserved[r.reserved.ID] += r.reservedMemory
	}
	for id, tokens := range reserved {
		g.Expect(tokens).To(BeNumerically("<=", 540_000), id)
	}
}
