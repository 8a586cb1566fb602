package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// engineSim read prompts one after another, and then generate for a fixed time.
type engineSim struct {
	fixture   *fixture
	freeAt    map[string]time.Time
	dueEvents []engineEvent
	// asked, begun and refused count the requests of each organisation, by second.
	arrived, started, refused map[string][]int
	handled                   int
}

type engineEvent struct {
	at    time.Time
	event Event
}

const generationTime = 500 * time.Millisecond

func newEngineSim(w *fixture) *engineSim {
	return &engineSim{
		fixture: w, freeAt: make(map[string]time.Time),
		arrived: make(map[string][]int), started: make(map[string][]int), refused: make(map[string][]int),
	}
}

// countRequest adds one to an organisation's count of this second.
func (m *engineSim) countRequest(of map[string][]int, org string) {
	second := int(m.fixture.now.Sub(start) / time.Second)
	for len(of[org]) <= second {
		of[org] = append(of[org], 0)
	}
	of[org][second]++
}

// arrive lets a request of an organisation arrive.
func (m *engineSim) arrive(org string, tokens int) {
	m.countRequest(m.arrived, org)
	if _, no := m.fixture.last[m.fixture.arriveFor(org, chat, model, tokens)].(Refuse); no {
		m.countRequest(m.refused, org)
	}
}

// advance lets a time pass, with what the engines do meanwhile.
func (m *engineSim) advance(d time.Duration) {
	for end := m.fixture.now.Add(d); m.fixture.now.Before(end); {
		m.startSent()
		m.fixture.now = m.fixture.now.Add(tickBusy)
		later := m.dueEvents[:0]
		for _, x := range m.dueEvents {
			if x.at.After(m.fixture.now) {
				later = append(later, x)
				continue
			}
			m.fixture.step(x.event)
		}
		m.dueEvents = later
		m.fixture.step(Tick{})
	}
	m.startSent()
}

// startSent starts what was sent since the last call.
func (m *engineSim) startSent() {
	for ; m.handled < len(m.fixture.all); m.handled++ {
		send, ok := m.fixture.all[m.handled].(Send)
		if !ok {
			continue
		}
		r := m.fixture.requests[send.ID]
		if r == nil {
			continue
		}
		begin := m.freeAt[send.Upstream.ID]
		if begin.Before(m.fixture.now) {
			begin = m.fixture.now
		}
		read := begin.Add(time.Duration(float64(r.Prompt.Tokens) / m.fixture.options.PrefillRate * float64(time.Second)))
		m.freeAt[send.Upstream.ID] = read
		m.dueEvents = append(m.dueEvents,
			engineEvent{read, Answered{ID: send.ID, Attempt: send.Attempt}},
			engineEvent{read.Add(generationTime), Done{ID: send.ID, Attempt: send.Attempt}})
		m.countRequest(m.started, r.Organisation)
	}
}

// countAt is a count of one second.
func countAt(counts []int, second int) int {
	if second < len(counts) {
		return counts[second]
	}
	return 0
}

// firstUnderserved judges as the users do: an organisation that has a request refused in each of
// six seconds gets at least half of what it asked or of what the best served one got,
// whichever is less, but for three requests. It returns the first that does not.
func (m *engineSim) firstUnderserved(seconds int) (org string, from, got, least int) {
	const window, spared = 6, 3
	for from := range seconds - window {
		for _, org := range slices.Sorted(maps.Keys(m.arrived)) {
			got, owed, all := 0, 0, true
			for s := from; s < from+window; s++ {
				best := 0
				for other := range m.started {
					best = max(best, countAt(m.started[other], s))
				}
				got += countAt(m.started[org], s)
				owed += min(best, countAt(m.arrived[org], s))
				all = all && countAt(m.refused[org], s) > 0
			}
			if all && got < owed/2-spared {
				return org, from, got, owed / 2
			}
		}
	}
	return "", 0, 0, 0
}

// TestSharesStayFairWhenDemandShifts: what an organisation had while others asked for
// little is not held against it once they ask for more, and one whose demand jumps does
// not take what others have.
func TestSharesStayFairWhenDemandShifts(t *testing.T) {
	// Four engines read 100 such prompts a second.
	const tokens, seconds, shift = 2000, 20, 8
	for name, rates := range map[string]struct{ before, after map[string]float64 }{
		"others ask for more":    {map[string]float64{"a": 250, "b": 15, "c": 15}, map[string]float64{"a": 250, "b": 200, "c": 40}},
		"one asks for much more": {map[string]float64{"a": 15, "b": 60, "c": 60}, map[string]float64{"a": 400, "b": 60, "c": 60}},
		"they take turns":        {map[string]float64{"a": 300, "b": 30, "c": 30}, map[string]float64{"a": 60, "b": 300, "c": 60}},
	} {
		t.Run(name, func(t *testing.T) {
			g, w := NewWithT(t), newFixture(t, 4)
			services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
			w.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 200_000}, nil, services, nil)})
			m, due := newEngineSim(w), make(map[string]float64)
			for step := range 100 * seconds {
				rate := rates.before
				if step >= 100*shift {
					rate = rates.after
				}
				for _, org := range slices.Sorted(maps.Keys(rate)) {
					for due[org] += rate[org] / 100; due[org] >= 1; due[org]-- {
						m.arrive(org, tokens)
					}
				}
				m.advance(tickBusy)
			}
			all := 0
			for org, begun := range m.started {
				t.Log(org, begun)
				for _, n := range begun[shift:] {
					all += n
				}
			}
			org, from, got, least := m.firstUnderserved(seconds)
			g.Expect(org).To(BeEmpty(), "from second %d it got %d, and is owed %d", from, got, least)
			g.Expect(all).To(BeNumerically(">", 100*(seconds-shift)*8/10), "engines idle")
		})
	}
}
