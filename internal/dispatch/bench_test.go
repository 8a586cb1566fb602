package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// BenchmarkOverload measures the cost of reports and Ticks at one router while 90
// engines have no room and 60 requests wait.
func BenchmarkOverload(b *testing.B) {
	s := New(DefaultOptions())
	s.Step(start, TableChanged{routing.NewTable(1, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 16, CacheTokens: 400_000, EventTokens: 8, Moves: true}},
	}, nil)})
	s.Step(start, InstancesChanged{Instances: instances(90)})
	loads := map[uint32]Load{}
	for id := range s.upstreams {
		loads[Key(id)] = Load{Running: 16, Prefill: 30_000}
	}
	report := Report{Loads: loads}
	for i := range 60 {
		s.Step(start, PeerReported{Peer: "a", Report: report})
		s.Step(start, Arrive{&Request{
			ID: fmt.Sprint("w", i), Organisation: fmt.Sprint("o", i%20), Route: draft, Service: model, Deadline: start.Add(time.Hour),
			Prompt: Prompt{Tokens: 12_000, MaxOutput: 300, Parts: []Part{{1, 500}, {2, 4900}, {3, 6600}}},
		}})
	}
	b.ResetTimer()
	for i := range b.N {
		s.Step(start.Add(time.Duration(i%50)*time.Millisecond), PeerReported{Peer: fmt.Sprint(i % 24), Report: report})
		if i%3 == 0 {
			s.Step(start.Add(time.Duration(i%50)*time.Millisecond), Tick{})
		}
	}
}

// BenchmarkArrive measures the cost of admitting, sending and ending a request while the
// engines have room.
func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{12, 145, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(DefaultOptions())
			s.Step(start, TableChanged{routing.NewTable(1, routing.Limits{TokenRate: 3_000_000}, nil, []routing.Service{
				{Name: model, Engine: &routing.Engine{Slots: 12, CacheTokens: 300_000, EventTokens: 10, Moves: true}},
			}, nil)})
			list := instances(n)
			for j := range list {
				list[j].Domain = []string{"a", "b", "c", "d"}[j/2%4]
			}
			s.options.Domain = "a"
			s.Step(start, FleetChanged{Routers: 60, AggregatedByDomain: true})
			s.Step(start, InstancesChanged{Instances: list})
			now := start
			for i := range b.N {
				now = now.Add(2 * time.Millisecond)
				id := fmt.Sprint("r", i)
				for _, e := range s.Step(now, Arrive{&Request{
					ID: id, Organisation: fmt.Sprint("o", i%20), Route: chat, Service: model, Deadline: now.Add(time.Hour),
					Prompt: Prompt{Tokens: 2000, MaxOutput: 300, Parts: []Part{{uint64(i % 16), 500}, {uint64(100 + i%500), 900}, {uint64(1000 + i), 600}}},
				}}) {
					if send, ok := e.(Send); ok {
						s.Step(now, FirstByteReceived{ID: id, Attempt: send.Attempt})
						s.Step(now, Done{ID: id, Attempt: send.Attempt})
					}
				}
				if i%5 == 0 {
					s.Step(now, Tick{})
				}
			}
		})
	}
}
