package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/pace"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// The same events must give the same effects in the same order, also if more attempts
// are silent than the retry budget covers.
func TestReplayIsDeterministic(t *testing.T) {
	first := runOverload(t)
	for range 5 {
		NewWithT(t).Expect(runOverload(t)).To(Equal(first))
	}
}

// runOverload sends more requests than three engines and three plain upstreams can serve,
// many of which get no answer, and returns all effects.
func runOverload(t *testing.T) []Effect {
	f := newFixture(t, 3)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 600 {
		org := fmt.Sprint("org", random.IntN(9))
		var id string
		switch random.IntN(3) {
		case 0:
			id = f.arriveFor(org, chat, model, 500+random.IntN(2000))
		case 1:
			id = f.arriveFor(org, draft, model, 4000+random.IntN(9000))
		default:
			id = f.arriveFor(org, []*routing.Route{booking, lookup}[random.IntN(2)], plain, 0)
		}
		if e, ok := f.last[id].(Send); ok {
			switch random.IntN(4) {
			case 0:
				f.step(FirstByteReceived{ID: id, Attempt: e.Attempt})
				f.step(Done{ID: id, Attempt: e.Attempt})
			case 1:
				f.step(Failed{ID: id, Attempt: e.Attempt, Kind: core.FailReset, MayHaveRun: true})
			}
		}
		if i%4 == 0 {
			f.advance(10 * time.Millisecond)
		}
	}
	f.advance(5 * time.Second)
	return f.all
}

// That holds too for upstreams that start, fall and become warm together.
func TestReplayOfStartsIsDeterministic(t *testing.T) {
	first := runStarts(t)
	for range 5 {
		NewWithT(t).Expect(runStarts(t)).To(Equal(first))
	}
}

// runStarts restarts all upstreams at once, lets those of the peers fail, and returns all effects.
func runStarts(t *testing.T) []Effect {
	f := newFixture(t, 8)
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{coldService, {Name: plain}}, nil)})
	list := instances(8)
	for i := range list {
		list[i].Started = 7
	}
	f.step(InstancesChanged{Instances: list})
	failures := make(map[uint32]pace.Report)
	for _, in := range list {
		failures[Key(in.ID)] = pace.Report{Failures: 9, FirstAge: 2 * time.Second, GoodAge: pace.Never}
	}
	f.advance(3 * time.Second)
	f.step(PeerReported{Peer: "a", Report: Report{Pace: failures}})
	f.advance(5 * time.Second)
	return f.all
}
