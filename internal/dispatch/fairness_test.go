package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// engineSim simulates engines that read prompts one after another and generate output for
// a fixed time.
type engineSim struct {
	fixture   *fixture
	freeAt    map[string]time.Time
	dueEvents []engineEvent
	// arrived, started and refused count the requests by organisation and second.
	arrived, started, refused map[string][]int
	handled                   int
}

type engineEvent struct {
	at    time.Time
	event Event
}

const generationTime = 500 * time.Millisecond

func newEngineSim(f *fixture) *engineSim {
	return &engineSim{
		fixture: f, freeAt: make(map[string]time.Time),
		arrived: make(map[string][]int), started: make(map[string][]int), refused: make(map[string][]int),
	}
}

// countRequest adds one to the count of an organisation in the current second.
func (sim *engineSim) countRequest(counts map[string][]int, org string) {
	second := int(sim.fixture.now.Sub(start) / time.Second)
	for len(counts[org]) <= second {
		counts[org] = append(counts[org], 0)
	}
	counts[org][second]++
}

// arrive adds a request of an organisation.
func (sim *engineSim) arrive(org string, tokens int) {
	sim.countRequest(sim.arrived, org)
	if _, refused := sim.fixture.last[sim.fixture.arriveFor(org, chat, model, tokens)].(Refuse); refused {
		sim.countRequest(sim.refused, org)
	}
}

// advance lets time pass and delivers the events of the engines.
func (sim *engineSim) advance(d time.Duration) {
	for end := sim.fixture.now.Add(d); sim.fixture.now.Before(end); {
		sim.startSent()
		sim.fixture.now = sim.fixture.now.Add(tickBusy)
		pending := sim.dueEvents[:0]
		for _, due := range sim.dueEvents {
			if due.at.After(sim.fixture.now) {
				pending = append(pending, due)
				continue
			}
			sim.fixture.step(due.event)
		}
		sim.dueEvents = pending
		sim.fixture.step(Tick{})
	}
	sim.startSent()
}

// startSent starts the attempts sent since the last call.
func (sim *engineSim) startSent() {
	for ; sim.handled < len(sim.fixture.all); sim.handled++ {
		send, ok := sim.fixture.all[sim.handled].(Send)
		if !ok {
			continue
		}
		r := sim.fixture.requests[send.ID]
		if r == nil {
			continue
		}
		begin := sim.freeAt[send.Upstream.ID]
		if begin.Before(sim.fixture.now) {
			begin = sim.fixture.now
		}
		prefillEnd := begin.Add(time.Duration(float64(r.Prompt.Tokens) / sim.fixture.options.PrefillRate * float64(time.Second)))
		sim.freeAt[send.Upstream.ID] = prefillEnd
		sim.dueEvents = append(sim.dueEvents,
			engineEvent{prefillEnd, FirstByteReceived{ID: send.ID, Attempt: send.Attempt}},
			engineEvent{prefillEnd.Add(generationTime), Done{ID: send.ID, Attempt: send.Attempt}})
		sim.countRequest(sim.started, r.Organisation)
	}
}

// countAt returns the count of one second.
func countAt(counts []int, second int) int {
	if second < len(counts) {
		return counts[second]
	}
	return 0
}

// firstUnderserved applies the users' fairness criterion: an organisation with a refused
// request in each of six consecutive seconds must get at least half of its demand or of
// what the best served one got, whichever is less, with a tolerance of three requests. It
// returns the first organisation that does not.
func (sim *engineSim) firstUnderserved(seconds int) (org string, from, got, least int) {
	const window, tolerance = 6, 3
	for from := range seconds - window {
		for _, org := range slices.Sorted(maps.Keys(sim.arrived)) {
			got, entitled, refusedEverySecond := 0, 0, true
			for s := from; s < from+window; s++ {
				best := 0
				for other := range sim.started {
					best = max(best, countAt(sim.started[other], s))
				}
				got += countAt(sim.started[org], s)
				entitled += min(best, countAt(sim.arrived[org], s))
				refusedEverySecond = refusedEverySecond && countAt(sim.refused[org], s) > 0
			}
			if refusedEverySecond && got < entitled/2-tolerance {
				return org, from, got, entitled / 2
			}
		}
	}
	return "", 0, 0, 0
}

// Usage while others asked for little does not count against an organisation once they ask
// for more, and one whose demand jumps does not take what the others have.
func TestSharesStayFairWhenDemandShifts(t *testing.T) {
	// Four engines read 100 of these prompts per second.
	const tokens, seconds, shift = 2000, 20, 8
	for name, rates := range map[string]struct{ before, after map[string]float64 }{
		"demand of others grows":             {map[string]float64{"a": 250, "b": 15, "c": 15}, map[string]float64{"a": 250, "b": 200, "c": 40}},
		"demand of one jumps":                {map[string]float64{"a": 15, "b": 60, "c": 60}, map[string]float64{"a": 400, "b": 60, "c": 60}},
		"demand moves between organisations": {map[string]float64{"a": 300, "b": 30, "c": 30}, map[string]float64{"a": 60, "b": 300, "c": 60}},
	} {
		t.Run(name, func(t *testing.T) {
			g, f := NewWithT(t), newFixture(t, 4)
			services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
			f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 200_000}, nil, services, nil)})
			sim, dueRequests := newEngineSim(f), make(map[string]float64)
			for step := range 100 * seconds {
				rate := rates.before
				if step >= 100*shift {
					rate = rates.after
				}
				for _, org := range slices.Sorted(maps.Keys(rate)) {
					for dueRequests[org] += rate[org] / 100; dueRequests[org] >= 1; dueRequests[org]-- {
						sim.arrive(org, tokens)
					}
				}
				sim.advance(tickBusy)
			}
			started := 0
			for org, perSecond := range sim.started {
				t.Log(org, perSecond)
				for _, n := range perSecond[shift:] {
					started += n
				}
			}
			org, from, got, least := sim.firstUnderserved(seconds)
			g.Expect(org).To(BeEmpty(), "from second %d it got %d requests and is entitled to %d", from, got, least)
			g.Expect(started).To(BeNumerically(">", 100*(seconds-shift)*8/10), "engines must not idle")
		})
	}
}
