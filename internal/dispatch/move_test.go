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
	w := newFixture(t, n)
	w.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5, Moves: true}},
	}, nil)})
	return w
}

// arriveAndMove is a stream whose prompt has been read, with the move that follows.
func (w *fixture) arriveAndMove(tokens int) (id string, m Move) {
	id = w.arrive(draft, model, tokens)
	w.step(Answered{id, w.lastSend(id).Attempt})
	m, ok := w.last[id].(Move)
	w.g.Expect(ok).To(BeTrue(), "%#v", w.last[id])
	return id, m
}

// TestLongPromptsMoveWhenRead: a stream of a long prompt goes on where no long
// prompts are read, after the event that its caller has.
func TestLongPromptStreamMovesAfterPrefill(t *testing.T) {
	w := newMoveFixture(t, 6)
	id, m := w.arriveAndMove(12_000)
	w.g.Expect(w.upstreams[m.From.ID].class).To(Equal(classPrefill))
	w.g.Expect(w.upstreams[m.To.ID].class).To(Equal(classDecode))
	w.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEvent: "4"})
	s := w.lastSend(id)
	w.g.Expect(s.Upstream.ID).To(Equal(m.To.ID))
	w.g.Expect(s.Continue).To(Equal(m.From.Addr + "/h1"))
	w.g.Expect(s.ResumeAfter).To(Equal("4"))
	w.g.Expect(w.upstreams[m.From.ID].local).To(Equal(Load{}))
	w.step(Answered{id, s.Attempt})
	w.g.Expect(w.last[id]).To(Equal(s), "moved again")
	w.step(Done{id, s.Attempt})
	w.g.Expect(w.upstreams[m.To.ID].local).To(Equal(Load{}))
	w.g.Expect(w.requests).To(BeEmpty())
}

// TestRefusedMoveReturnsToSourceOnce to the source, once, and then fails: the request
// must not run anew.
func TestRefusedMoveReturnsToSourceOnce(t *testing.T) {
	w := newMoveFixture(t, 6)
	id, m := w.arriveAndMove(12_000)
	w.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEvent: "4"})
	w.fail(id, Failed{Kind: core.FailRefused, Began: true, LastEvent: "4"})
	s := w.lastSend(id)
	w.g.Expect(s.Upstream.ID).To(Equal(m.From.ID))
	w.g.Expect(s.Continue).To(Equal(m.From.Addr + "/h1"))
	w.fail(id, Failed{Kind: core.FailRefused, Began: true, LastEvent: "4"})
	w.g.Expect(w.last[id]).To(Equal(Fail{ID: id, Reason: ReasonBroken}))
	for _, u := range w.upstreams {
		w.g.Expect(u.local).To(Equal(Load{}))
	}
}

// TestMemoryThatStayedIsTakenUpThere.
func TestMoveContinuesAtSourceWhenTargetRefuses(t *testing.T) {
	w := newMoveFixture(t, 6)
	id, m := w.arriveAndMove(12_000)
	w.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", AtSource: true, LastEvent: "4"})
	w.g.Expect(w.lastSend(id).Upstream.ID).To(Equal(m.From.ID))
}

// TestEndedMovesReleaseTarget at their target, however the request goes on.
func TestEndedMovesReleaseTarget(t *testing.T) {
	for name, end := range map[string]func(w *fixture, id string, m Move){
		"move failed": func(w *fixture, id string, m Move) { w.step(MoveFailed{id, m.Attempt}) },
		"stream done": func(w *fixture, id string, m Move) { w.step(Done{id, m.Attempt}) },
		"caller left": func(w *fixture, id string, _ Move) { w.step(Left{id}) },
		"broken": func(w *fixture, id string, m Move) {
			w.step(Failed{ID: id, Attempt: m.Attempt, Kind: core.FailReset, Ran: true, Began: true})
		},
		"timeout": func(w *fixture, _ string, _ Move) { w.advance(draft.Timeout + time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newMoveFixture(t, 6)
			id, m := w.arriveAndMove(12_000)
			end(w, id, m)
			w.g.Expect(w.upstreams[m.To.ID].local).To(Equal(Load{}))
			w.g.Expect(w.upstreams[m.To.ID].incomingMoves).To(BeZero())
			// A late end of the move changes nothing.
			before := w.last[id]
			w.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1"})
			w.step(MoveFailed{id, m.Attempt})
			w.g.Expect(w.last[id]).To(Equal(before))
		})
	}
}

// TestShortOutputsAreNotMoved where they began.
func TestShortOutputsAreNotMoved(t *testing.T) {
	w := newMoveFixture(t, 6)
	w.seq++
	w.step(Arrive{&Request{ID: "r", Organisation: "org", Route: draft, Service: model, Deadline: w.now.Add(time.Second), Prompt: Prompt{Tokens: 1800, MaxOutput: 20}}})
	s := w.lastSend("r")
	w.step(Answered{"r", s.Attempt})
	w.g.Expect(w.last["r"]).To(Equal(s))
}
