package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// Chats arrive beside long prompts, as on a heavy day. No long prompt may be sent to an
// upstream that serves chats.
func TestWorkloadClassesAreKeptApart(t *testing.T) {
	f := newFixture(t, 12)
	chats := map[string]bool{}
	for range 40 {
		for range 4 {
			id := f.arrive(chat, model, 600)
			if s, ok := f.last[id].(Send); ok {
				chats[s.Upstream.ID] = true
				f.step(FirstByteReceived{id, s.Attempt})
			}
		}
		id := f.arrive(draft, model, 12_000)
		f.advance(50 * time.Millisecond)
		if s, ok := f.last[id].(Send); ok {
			f.g.Expect(f.upstreams[s.Upstream.ID].class).To(Equal(classPrefill))
			f.step(FirstByteReceived{id, s.Attempt})
			f.step(Done{id, s.Attempt})
		}
	}
	f.g.Expect(len(chats)).To(BeNumerically("<=", 7))
	for id := range chats {
		f.g.Expect(f.upstreams[id].running()).To(BeNumerically(">", 0))
	}
}

// The classDecode partition grows at once with the number of streams and shrinks slowly.
func TestPartitionFollowsStreamCount(t *testing.T) {
	g := NewWithT(t)
	g.Expect(decodePartitionSize(0, 12, 64)).To(Equal(1))
	g.Expect(decodePartitionSize(100, 12, 64)).To(Equal(4))
	g.Expect(decodePartitionSize(1000, 12, 64)).To(Equal(6))
	g.Expect(decodePartitionSize(1000, 1, 64)).To(Equal(0))
	var d partition
	d.recordStreams(start, 100)
	d.recordStreams(start.Add(time.Second), 0)
	g.Expect(d.peakStreams).To(BeNumerically(">", 75))
	d.recordStreams(start.Add(2*time.Second), 120)
	g.Expect(d.peakStreams).To(BeNumerically("==", 120))
}

// A single upstream serves both classes.
func TestSingleUpstreamServesBothClasses(t *testing.T) {
	f := newFixture(t, 1)
	f.lastSend(f.arrive(draft, model, 12_000))
}

// The first upstreams in the order are spread over the failure domains.
func TestUpstreamOrderAlternatesDomains(t *testing.T) {
	g := NewWithT(t)
	var list []*upstream
	for _, in := range []Instance{{ID: "a", Domain: "1"}, {ID: "b", Domain: "1"}, {ID: "c", Domain: "2"}, {ID: "d", Domain: "3"}} {
		list = append(list, &upstream{Instance: in})
	}
	sortUpstreams(list)
	domains := map[string]bool{}
	for _, u := range list[:3] {
		domains[u.Domain] = true
	}
	g.Expect(domains).To(HaveLen(3))
}

// An organisation over its share is refused while requests wait at another router, even if
// this router has room. Without contention it is served.
func TestOverShareYieldsToContentionAtPeers(t *testing.T) {
	f := newFixture(t, 4)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 10_000}, nil, services, nil)})
	// Half of the total that was started.
	const level = 5000
	usage := map[uint32]Usage{
		Key("small"): {Demand: 9000, Started: 1000, Charged: 1000.0 / level},
		Key("org"):   {Demand: 50_000, Started: 9000, Charged: 9000.0 / level},
	}
	f.step(PeerReported{Peer: "b", Report: Report{Usage: usage}})
	f.lastSend(f.arrive(draft, model, 6000))
	f.now = f.now.Add(levelInterval)
	key := queueKey{model, classPrefill}.wireKey()
	f.step(PeerReported{Peer: "b", Report: Report{Usage: usage, Contended: []uint32{key}}})
	refusal, ok := f.last[f.arrive(draft, model, 6000)].(Refuse)
	f.g.Expect(ok).To(BeTrue())
	f.g.Expect(refusal.Reason).To(Equal(ReasonOverShare))
}

// Two organisations over their share, one of which asks for twice as much, share engines
// that have room only from time to time. Neither may get less than half of what it asked
// for or of what the other one got, whichever is less; this is the users' criterion.
func TestSharesHoldWhenRoomIsIntermittent(t *testing.T) {
	f := newFixture(t, 2)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 100_000}, nil, services, nil)})
	served := map[string]int{}
	type attemptEnd struct {
		at time.Time
		id string
	}
	var ends []attemptEnd
	arrive := func(org string) {
		f.seq++
		id := fmt.Sprint(org, f.seq)
		f.step(Arrive{&Request{
			ID: id, Organisation: org, Route: draft, Service: model, Deadline: f.now.Add(15 * time.Second),
			Prompt: Prompt{Tokens: 12_000, MaxOutput: 300, Parts: []Part{{ID: uint64(f.seq), Tokens: 12_000}}},
		}})
	}
	for step := range 3000 {
		f.now = f.now.Add(tickBusy)
		f.step(Tick{})
		if step%8 == 0 {
			arrive("large")
		}
		if step%16 == 0 {
			arrive("small")
		}
		for _, e := range f.all {
			if s, ok := e.(Send); ok {
				served[s.ID[:5]]++
				ends = append(ends, attemptEnd{f.now.Add(240 * time.Millisecond), s.ID})
			}
		}
		f.all = f.all[:0]
		for len(ends) > 0 && !f.now.Before(ends[0].at) {
			if s, ok := f.last[ends[0].id].(Send); ok {
				f.step(FirstByteReceived{s.ID, s.Attempt})
				f.step(Done{s.ID, s.Attempt})
			}
			ends = ends[1:]
		}
	}
	t.Logf("served: %v", served)
	const asked = 3000 / 16
	f.g.Expect(2 * served["small"]).To(BeNumerically(">=", min(asked, served["large"])))
	f.g.Expect(served["small"]+served["large"]).To(BeNumerically(">", 100), "engines must not idle")
}

// If all upstreams for long prompts have failed, the others serve them.
func TestLongPromptsUseAnyUpstreamAfterFailures(t *testing.T) {
	f := newFixture(t, 2)
	id := f.arrive(draft, model, 12_000)
	f.fail(id, Failed{Kind: core.FailRefused, Replaced: true})
	f.step(FirstByteReceived{id, f.lastSend(id).Attempt})
	f.advance(2 * partitionInterval)
	f.lastSend(f.arrive(draft, model, 12_000))
}

// The share of the engines does not apply to a plain service: an organisation over it may
// use the plain service while others wait for it.
func TestEngineSharesDoNotApplyToPlainServices(t *testing.T) {
	f := newFixture(t, 1)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}, {Name: plain}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 1000}, nil, services, nil)})
	usage := map[uint32]Usage{Key("org"): {Demand: 50_000, Started: 9000, Charged: 9}, Key("small"): {Demand: 900, Started: 100}}
	f.step(PeerReported{Peer: "b", Report: Report{Usage: usage, Contended: []uint32{queueKey{plain, classify(Prompt{MaxOutput: 300})}.wireKey()}}})
	f.lastSend(f.arrive(booking, plain, 0))
}

// A router that receives no reports from its peers must not take the little throughput
// that it measures for the capacity of all engines.
func TestIsolatedRouterUsesMinimumCapacity(t *testing.T) {
	f := newFixture(t, 4)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 200_000}, nil, services, nil)})
	// The router has started 60,000 tokens per second over the window, less than a third
	// of the configured throughput, for an organisation that asked for more. Its load is
	// older than the window.
	f.shares.since = f.now.Add(-time.Minute)
	f.shares.recordDemand(f.now, "org", 1_000_000)
	f.shares.recordDemand(f.now, "other", 100_000)
	f.shareOf(f.now, "org", model, classPrefill)
	f.shares.recordStart(f.now, "org", 240_000)
	f.now = f.now.Add(levelInterval)
	share := f.shareOf(f.now, "org", model, classPrefill)
	f.g.Expect(share.Excess).To(BeNumerically(">", 0))
	f.g.Expect(share.Excess).To(BeNumerically("<=", 1))
}

// Chats of an organisation far over its share are refused while long prompts of others
// wait.
func TestFarOverShareYieldsToOtherClass(t *testing.T) {
	f := newFixture(t, 4)
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 10_000}, nil, services, nil)})
	for _, c := range []struct {
		started float64
		// level is half of the total that was started, or of 0.6 of the configured throughput.
		level float64
		sent  bool
	}{{4000, 3000, true}, {9500, 5250, false}} {
		f.now = f.now.Add(levelInterval)
		usage := map[uint32]Usage{
			Key("small"): {Demand: 9000, Started: 1000, Charged: 1000 / c.level},
			Key("org"):   {Demand: 50_000, Started: c.started, Charged: c.started / c.level},
		}
		f.step(PeerReported{Peer: "b", Report: Report{Usage: usage, Contended: []uint32{queueKey{model, classPrefill}.wireKey()}}})
		_, sent := f.last[f.arrive(chat, model, 600)].(Send)
		f.g.Expect(sent).To(Equal(c.sent), "%v", c.started)
	}
}
