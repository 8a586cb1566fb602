package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// engines read prompts one after another, and then generate for a fixed time.
type engines struct {
	w    *world
	free map[string]time.Time
	due  []engineEvent
	// asked, begun and refused count the requests of each organisation, by second.
	asked, begun, refused map[string][]int
	seen                  int
}

type engineEvent struct {
	at time.Time
	e  Event
}

const generating = 500 * time.Millisecond

func newEngines(w *world) *engines {
	return &engines{
		w: w, free: make(map[string]time.Time),
		asked: make(map[string][]int), begun: make(map[string][]int), refused: make(map[string][]int),
	}
}

// count adds one to an organisation's count of this second.
func (m *engines) count(of map[string][]int, org string) {
	second := int(m.w.now.Sub(start) / time.Second)
	for len(of[org]) <= second {
		of[org] = append(of[org], 0)
	}
	of[org][second]++
}

// ask lets a request of an organisation arrive.
func (m *engines) ask(org string, tokens int) {
	m.count(m.asked, org)
	if _, no := m.w.last[m.w.arriveFor(org, chat, model, tokens)].(Refuse); no {
		m.count(m.refused, org)
	}
}

// pass lets a time pass, with what the engines do meanwhile.
func (m *engines) pass(d time.Duration) {
	for end := m.w.now.Add(d); m.w.now.Before(end); {
		m.take()
		m.w.now = m.w.now.Add(tickBusy)
		later := m.due[:0]
		for _, x := range m.due {
			if x.at.After(m.w.now) {
				later = append(later, x)
				continue
			}
			m.w.step(x.e)
		}
		m.due = later
		m.w.step(Tick{})
	}
	m.take()
}

// take starts what was sent since the last call.
func (m *engines) take() {
	for ; m.seen < len(m.w.all); m.seen++ {
		send, ok := m.w.all[m.seen].(Send)
		if !ok {
			continue
		}
		r := m.w.requests[send.ID]
		if r == nil {
			continue
		}
		begin := m.free[send.Upstream.ID]
		if begin.Before(m.w.now) {
			begin = m.w.now
		}
		read := begin.Add(time.Duration(float64(r.Prompt.Tokens) / m.w.options.PrefillRate * float64(time.Second)))
		m.free[send.Upstream.ID] = read
		m.due = append(m.due,
			engineEvent{read, Answered{ID: send.ID, Attempt: send.Attempt}},
			engineEvent{read.Add(generating), Done{ID: send.ID, Attempt: send.Attempt}})
		m.count(m.begun, r.Organisation)
	}
}

// at is a count of one second.
func at(counts []int, second int) int {
	if second < len(counts) {
		return counts[second]
	}
	return 0
}

// unfair judges as the users do: an organisation that has a request refused in each of
// six seconds gets at least half of what it asked or of what the best served one got,
// whichever is less, but for three requests. It returns the first that does not.
func (m *engines) unfair(seconds int) (org string, from, got, least int) {
	const window, spared = 6, 3
	for from := range seconds - window {
		for _, org := range slices.Sorted(maps.Keys(m.asked)) {
			got, owed, all := 0, 0, true
			for s := from; s < from+window; s++ {
				best := 0
				for other := range m.begun {
					best = max(best, at(m.begun[other], s))
				}
				got += at(m.begun[org], s)
				owed += min(best, at(m.asked[org], s))
				all = all && at(m.refused[org], s) > 0
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
			g, w := NewWithT(t), newWorld(t, 4)
			services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
			w.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 200_000}, nil, services, nil)})
			m, due := newEngines(w), make(map[string]float64)
			for step := range 100 * seconds {
				rate := rates.before
				if step >= 100*shift {
					rate = rates.after
				}
				for _, org := range slices.Sorted(maps.Keys(rate)) {
					for due[org] += rate[org] / 100; due[org] >= 1; due[org]-- {
						m.ask(org, tokens)
					}
				}
				m.pass(tickBusy)
			}
			all := 0
			for org, begun := range m.begun {
				t.Log(org, begun)
				for _, n := range begun[shift:] {
					all += n
				}
			}
			org, from, got, least := m.unfair(seconds)
			g.Expect(org).To(BeEmpty(), "from second %d it got %d, and is owed %d", from, got, least)
			g.Expect(all).To(BeNumerically(">", 100*(seconds-shift)*8/10), "engines idle")
		})
	}
}
