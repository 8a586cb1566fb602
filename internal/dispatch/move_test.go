package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// newMoveFixture has engines that hand streams over.
func newMoveFixture(t *testing.T, n int) *fixture {
	f := newFixture(t, n)
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5, Moves: true}},
	}, nil)})
	return f
}

// arriveAndMove is a stream whose prompt has been read, with the move that follows.
func (f *fixture) arriveAndMove(tokens int) (id string, m Move) {
	id = f.arrive(draft, model, tokens)
	f.step(Answered{id, f.lastSend(id).Attempt})
	m, ok := f.last[id].(Move)
	f.g.Expect(ok).To(BeTrue(), "%#v", f.last[id])
	return id, m
}

// TestLongPromptsMoveWhenRead: a stream of a long prompt goes on where no long
// prompts are read, after the event that its caller has.
func TestLongPromptStreamMovesAfterPrefill(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.g.Expect(f.upstreams[m.From.ID].class).To(Equal(classPrefill))
	f.g.Expect(f.upstreams[m.To.ID].class).To(Equal(classDecode))
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEvent: "4"})
	s := f.lastSend(id)
	f.g.Expect(s.Upstream.ID).To(Equal(m.To.ID))
	f.g.Expect(s.Continue).To(Equal(m.From.Addr + "/h1"))
	f.g.Expect(s.ResumeAfter).To(Equal("4"))
	f.g.Expect(f.upstreams[m.From.ID].local).To(Equal(Load{}))
	f.step(Answered{id, s.Attempt})
	f.g.Expect(f.last[id]).To(Equal(s), "moved again")
	f.step(Done{id, s.Attempt})
	f.g.Expect(f.upstreams[m.To.ID].local).To(Equal(Load{}))
	f.g.Expect(f.requests).To(BeEmpty())
}

// TestRefusedMoveReturnsToSourceOnce to the source, once, and then fails: the request
// must not run anew.
func TestRefusedMoveReturnsToSourceOnce(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEvent: "4"})
	f.fail(id, Failed{Kind: core.FailRefused, Began: true, LastEvent: "4"})
	s := f.lastSend(id)
	f.g.Expect(s.Upstream.ID).To(Equal(m.From.ID))
	f.g.Expect(s.Continue).To(Equal(m.From.Addr + "/h1"))
	f.fail(id, Failed{Kind: core.FailRefused, Began: true, LastEvent: "4"})
	f.g.Expect(f.last[id]).To(Equal(Fail{ID: id, Reason: ReasonBroken}))
	for _, u := range f.upstreams {
		f.g.Expect(u.local).To(Equal(Load{}))
	}
}

// TestMemoryThatStayedIsTakenUpThere.
func TestMoveContinuesAtSourceWhenTargetRefuses(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", AtSource: true, LastEvent: "4"})
	f.g.Expect(f.lastSend(id).Upstream.ID).To(Equal(m.From.ID))
}

// TestEndedMovesReleaseTarget at their target, however the request goes on.
func TestEndedMovesReleaseTarget(t *testing.T) {
	for name, end := range map[string]func(f *fixture, id string, m Move){
		"move failed": func(f *fixture, id string, m Move) { f.step(MoveFailed{id, m.Attempt}) },
		"stream done": func(f *fixture, id string, m Move) { f.step(Done{id, m.Attempt}) },
		"caller left": func(f *fixture, id string, _ Move) { f.step(Left{id}) },
		"broken": func(f *fixture, id string, m Move) {
			f.step(Failed{ID: id, Attempt: m.Attempt, Kind: core.FailReset, Ran: true, Began: true})
		},
		"timeout": func(f *fixture, _ string, _ Move) { f.advance(draft.Timeout + time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFixture(t, 6)
			id, m := f.arriveAndMove(12_000)
			end(f, id, m)
			f.g.Expect(f.upstreams[m.To.ID].local).To(Equal(Load{}))
			f.g.Expect(f.upstreams[m.To.ID].incomingMoves).To(BeZero())
			// A late end of the move changes nothing.
			before := f.last[id]
			f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1"})
			f.step(MoveFailed{id, m.Attempt})
			f.g.Expect(f.last[id]).To(Equal(before))
		})
	}
}

// TestShortOutputsAreNotMoved where they began.
func TestShortOutputsAreNotMoved(t *testing.T) {
	f := newMoveFixture(t, 6)
	f.seq++
	f.step(Arrive{&Request{ID: "r", Organisation: "org", Route: draft, Service: model, Deadline: f.now.Add(time.Second), Prompt: Prompt{Tokens: 1800, MaxOutput: 20}}})
	s := f.lastSend("r")
	f.step(Answered{"r", s.Attempt})
	f.g.Expect(f.last["r"]).To(Equal(s))
}
