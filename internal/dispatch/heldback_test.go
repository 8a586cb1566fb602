package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// While long prompts wait, short ones behind them use the time that upstreams of streams have
// to spare.
func TestWaitingLongPromptsDoNotHoldUpShortOnes(t *testing.T) {
	f := newFixture(t, 2)
	f.step(Tick{})
	for id, u := range f.upstreams {
		if u.Service == model && u.class == classPrefill {
			f.step(PeerReported{Peer: "a", Report: Report{Loads: map[uint32]Load{Key(id): {Running: 8, Prefill: 60_000}}}})
		}
	}
	check := &routing.Route{Name: "check", Kind: routing.Stream, LatencyTarget: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 1}
	arrive := func(id string, tokens int) {
		f.step(Arrive{&Request{ID: id, Organisation: "o", Route: check, Service: model, Deadline: f.now.Add(3 * time.Second), Prompt: Prompt{Tokens: tokens, MaxOutput: 24}}})
	}
	arrive("long", 12_000)
	arrive("short", 1_000)
	f.g.Expect(f.last["long"]).To(BeNil())
	f.g.Expect(f.last["short"]).To(BeAssignableToTypeOf(Send{}))
}

// Requests that are all allowed in the same regions are not each tried when one found no room.
func TestRequestsOfOneRegionAreTriedOnce(t *testing.T) {
	f, list := newRegionFixture(t)
	f.step(TableChanged{Table: routing.NewTable(4, routing.Limits{}, nil, []routing.Service{
		{Name: plain, Cold: &routing.ColdStart{Duration: 10 * time.Second, PerSecond: 1}},
	}, nil)})
	for _, in := range list {
		f.step(InstanceReported{Instance: in, Cold: 10 * time.Second})
	}
	slow := *booking
	slow.Timeout = 15 * time.Second
	for range 20 {
		f.arrive(allowedIn(&slow, "south"), plain, 0)
	}
	f.g.Expect(f.Waiting()).To(BeNumerically(">=", 18))
	before := f.Held()
	f.step(Tick{})
	f.g.Expect(f.Held() - before).To(BeNumerically("<=", len(list)))
}

// A request that may run only once waits until an upstream is known to be back, and does not hold
// up one that finds out.
func TestWaitingRequestDoesNotHoldUpOneThatFindsOut(t *testing.T) {
	f := newFixture(t, 1)
	f.options.Pace = true
	f.recordEnd(f.now, f.upstreams["p00"])
	f.arriveFor("a", booking, plain, 0)
	found := f.arriveFor("b", lookup, plain, 0)
	f.g.Expect(f.Waiting()).To(Equal(1))
	f.g.Expect(f.last[found]).To(BeAssignableToTypeOf(Send{}))
}
