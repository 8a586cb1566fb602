package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// memoryLoad plays requests of two sizes, a tenth of them large, whose memory together exceeds
// that of the engines by a factor, and returns the parts of both that were served. It checks
// that no engine holds more than it has.
func memoryLoad(t *testing.T, seed uint64, excess float64) (small, large float64) {
	const engines, memory, smallTokens, largeTokens = 3, 433_000, 8_000, 69_000
	const runs, seconds, output = 1500 * time.Millisecond, 12, 100
	f := newFixture(t, 0)
	f.options.PrefillRate = 2e6 // Memory runs short, not reading.
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 512, CacheTokens: memory, EventTokens: 5}},
	}, nil)})
	f.step(InstancesChanged{Instances: instances(engines)})
	held, counted := make(map[string]int), make(map[string]bool)
	sizes, asked, served := make(map[string]int), make(map[int]int), make(map[int]int)
	last := start.Add((seconds - 2) * time.Second)
	random := rand.New(rand.NewPCG(seed, 2))
	var events simEvents
	drain := func(from int) {
		for i := from; i < len(f.all); i++ {
			send, ok := f.all[i].(Send)
			if !ok {
				continue
			}
			id, tokens := send.ID, sizes[send.ID]
			held[send.Upstream.ID] += tokens + output
			f.g.Expect(held[send.Upstream.ID]).To(BeNumerically("<=", memory), send.Upstream.ID)
			heap.Push(&events, simEvent{f.now.Add(50 * time.Millisecond), len(f.all) + i, func() {
				f.step(FirstByteReceived{ID: id, Attempt: send.Attempt})
			}})
			heap.Push(&events, simEvent{f.now.Add(runs), len(f.all) + i, func() {
				held[send.Upstream.ID] -= tokens + output
				if counted[id] {
					served[tokens]++
				}
				f.step(Done{ID: id, Attempt: send.Attempt})
			}})
		}
	}
	mean := 0.9*smallTokens + 0.1*largeTokens + output
	perSecond := excess * engines * memory / (mean * runs.Seconds())
	for n := 0; f.now.Before(start.Add(seconds * time.Second)); {
		before := len(f.all)
		f.now = f.now.Add(tickBusy)
		for len(events) > 0 && !events[0].at.After(f.now) {
			heap.Pop(&events).(simEvent).run()
		}
		for k := poisson(random, perSecond*tickBusy.Seconds()); k > 0; k-- {
			n++
			id, tokens := fmt.Sprint("r", n), smallTokens
			if random.IntN(10) == 0 {
				tokens = largeTokens
			}
			sizes[id] = tokens
			if counted[id] = f.now.Before(last); counted[id] {
				asked[tokens]++
			}
			f.step(Arrive{&Request{ID: id, Organisation: "o", Route: draft, Service: model, Deadline: f.now.Add(draft.Timeout), Prompt: Prompt{Tokens: tokens, MaxOutput: output}}})
		}
		f.step(Tick{})
		drain(before)
	}
	return float64(served[smallTokens]) / float64(asked[smallTokens]), float64(served[largeTokens]) / float64(asked[largeTokens])
}

// The largest requests are served at least half as often as all, and the small ones are not
// held up by them, however short memory is.
func TestMemoryIsSharedBySizes(t *testing.T) {
	for _, excess := range []float64{0.6, 1, 1.5, 2.5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("excess ", excess, ", seed ", seed), func(t *testing.T) {
				small, large := memoryLoad(t, seed, excess)
				t.Logf("served: %.2f of the small ones, %.2f of the large ones", small, large)
				g := NewWithT(t)
				all := 0.9*small + 0.1*large
				g.Expect(large).To(BeNumerically(">=", all/2))
				g.Expect(small).To(BeNumerically(">=", all/2))
			})
		}
	}
}

// A request that needs more than any engine has is refused at once.
func TestRequestLargerThanAnyEngineIsRefused(t *testing.T) {
	f := newFixture(t, 2)
	id := f.arrive(draft, model, 700_000)
	f.g.Expect(f.last[id].(Refuse).Reason).To(Equal(ReasonTooLarge))
}
