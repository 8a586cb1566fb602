package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// newMoveFixture returns a fixture with engines that support moving streams.
func newMoveFixture(t *testing.T, n int) *fixture {
	f := newFixture(t, n)
	f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5, Moves: true}},
	}, nil)})
	return f
}

// arriveAndMove adds a request whose prompt is read at once, and returns it with the
// resulting Move.
func (f *fixture) arriveAndMove(tokens int) (id string, m Move) {
	id = f.arrive(draft, model, tokens)
	f.step(FirstByteReceived{id, f.lastSend(id).Attempt})
	m, ok := f.last[id].(Move)
	f.g.Expect(ok).To(BeTrue(), "%#v", f.last[id])
	return id, m
}

// The stream of a long prompt is moved to an upstream that reads no long prompts, and
// continues after the last event that the caller received.
func TestLongPromptStreamMovesAfterPrefill(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.g.Expect(f.upstreams[m.From.ID].class).To(Equal(classPrefill))
	f.g.Expect(f.upstreams[m.To.ID].class).To(Equal(classDecode))
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEventID: "4"})
	s := f.lastSend(id)
	f.g.Expect(s.Upstream.ID).To(Equal(m.To.ID))
	f.g.Expect(s.ContinueFrom).To(Equal(m.From.Addr + "/h1"))
	f.g.Expect(s.ResumeAfter).To(Equal("4"))
	f.g.Expect(f.upstreams[m.From.ID].local).To(Equal(Load{}))
	f.step(FirstByteReceived{id, s.Attempt})
	f.g.Expect(f.last[id]).To(Equal(s), "the stream must not move again")
	f.step(Done{id, s.Attempt})
	f.g.Expect(f.upstreams[m.To.ID].local).To(Equal(Load{}))
	f.g.Expect(f.requests).To(BeEmpty())
}

// A moved stream that the target refuses returns to the source once and fails after that:
// the request must not run again.
func TestRefusedMoveReturnsToSourceOnce(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEventID: "4"})
	f.fail(id, Failed{Kind: core.FailRefused, ResponseStarted: true, LastEventID: "4"})
	s := f.lastSend(id)
	f.g.Expect(s.Upstream.ID).To(Equal(m.From.ID))
	f.g.Expect(s.ContinueFrom).To(Equal(m.From.Addr + "/h1"))
	f.fail(id, Failed{Kind: core.FailRefused, ResponseStarted: true, LastEventID: "4"})
	f.g.Expect(f.last[id]).To(Equal(Fail{ID: id, Reason: ReasonBroken}))
	for _, u := range f.upstreams {
		f.g.Expect(u.local).To(Equal(Load{}))
	}
}

// If the memory stayed at the source, the stream continues there.
func TestMoveContinuesAtSourceWhenTargetRefuses(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", AtSource: true, LastEventID: "4"})
	f.g.Expect(f.lastSend(id).Upstream.ID).To(Equal(m.From.ID))
}

// The load reserved at the target is released when a move fails or its request ends.
func TestEndedMovesReleaseTarget(t *testing.T) {
	for name, end := range map[string]func(f *fixture, id string, m Move){
		"move fails":         func(f *fixture, id string, m Move) { f.step(MoveFailed{id, m.Attempt}) },
		"stream ends":        func(f *fixture, id string, m Move) { f.step(Done{id, m.Attempt}) },
		"caller disconnects": func(f *fixture, id string, _ Move) { f.step(CallerLeft{id}) },
		"attempt breaks": func(f *fixture, id string, m Move) {
			f.step(Failed{ID: id, Attempt: m.Attempt, Kind: core.FailReset, MayHaveRun: true, ResponseStarted: true})
		},
		"request times out": func(f *fixture, _ string, _ Move) { f.advance(draft.Timeout + time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFixture(t, 6)
			id, m := f.arriveAndMove(12_000)
			end(f, id, m)
			f.g.Expect(f.upstreams[m.To.ID].local).To(Equal(Load{}))
			f.g.Expect(f.upstreams[m.To.ID].incomingMoves).To(BeZero())
			// The end of the move has no effect after that.
			before := f.last[id]
			f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1"})
			f.step(MoveFailed{id, m.Attempt})
			f.g.Expect(f.last[id]).To(Equal(before))
		})
	}
}

// Streams with few expected events are not moved.
func TestShortOutputsAreNotMoved(t *testing.T) {
	f := newMoveFixture(t, 6)
	f.seq++
	f.step(Arrive{&Request{ID: "r", Organisation: "org", Route: draft, Service: model, Deadline: f.now.Add(time.Second), Prompt: Prompt{Tokens: 1800, MaxOutput: 20}}})
	s := f.lastSend("r")
	f.step(FirstByteReceived{"r", s.Attempt})
	f.g.Expect(f.last["r"]).To(Equal(s))
}

// A short stream is not moved: its few events cost less beside prompts than the copy of
// its prompt. The two requests are those of which most are sent on the users' sites with
// fast and with slow engines.
func TestOnlyLongStreamsAreMoved(t *testing.T) {
	for _, x := range []struct {
		prompt, output, eventTokens int
		moved                       bool
	}{
		{9190, 51, 3, false},
		{11_992, 380, 5, true},
	} {
		f := newMoveFixture(t, 6)
		f.step(TableChanged{Table: routing.NewTable(3, routing.Limits{}, nil, []routing.Service{
			{Name: model, Engine: &routing.Engine{Slots: 48, CacheTokens: 380_000, TokenBytes: 190_000, LinkBytesPerSecond: 180e9, EventTokens: x.eventTokens, Moves: true}},
		}, nil)})
		f.step(Arrive{&Request{
			ID: "r", Organisation: "org", Route: draft, Service: model, Deadline: f.now.Add(15 * time.Second),
			Prompt: Prompt{Tokens: x.prompt, MaxOutput: x.output, Parts: []Part{{ID: 1, Tokens: x.prompt}}},
		}})
		f.step(FirstByteReceived{"r", f.lastSend("r").Attempt})
		_, moved := f.last["r"].(Move)
		f.g.Expect(moved).To(Equal(x.moved), "%d tokens out", x.output)
	}
}

// A moved stream whose source has been leaving for long goes on elsewhere, if it may.
func TestMovedStreamDoesNotReturnToSourceThatLeft(t *testing.T) {
	for name, x := range map[string]struct {
		leftFor  time.Duration
		resumes  bool
		expected string
	}{
		"leaving since a moment":   {leftFor: 100 * time.Millisecond, expected: "source"},
		"leaving for long":         {leftFor: maxSendAfterLeaving, expected: "none"},
		"leaving for long, resume": {leftFor: maxSendAfterLeaving, resumes: true, expected: "elsewhere"},
	} {
		for _, atSource := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", at source ", atSource), func(t *testing.T) {
				f := newMoveFixture(t, 6)
				route := *draft
				if x.resumes {
					route.Kind, route.MaxAttempts = routing.ResumableStream, 3
				}
				id := f.arrive(&route, model, 12_000)
				f.step(FirstByteReceived{id, f.lastSend(id).Attempt})
				m := f.last[id].(Move)
				f.setDraining(m.From.ID)
				f.now = f.now.Add(x.leftFor)
				f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", AtSource: atSource, LastEventID: "4"})
				if !atSource {
					f.fail(id, Failed{Kind: core.FailRefused, ResponseStarted: true, LastEventID: "4"})
				}
				switch x.expected {
				case "source":
					f.g.Expect(f.lastSend(id).Upstream.ID).To(Equal(m.From.ID))
				case "none":
					f.g.Expect(f.last[id]).To(Equal(Fail{ID: id, Reason: ReasonBroken}))
				case "elsewhere":
					s := f.lastSend(id)
					f.g.Expect(s.Upstream.ID).NotTo(BeElementOf(m.From.ID, ""))
					f.g.Expect(s.ResumeAfter).To(Equal("4"))
					f.g.Expect(s.ContinueFrom).To(BeEmpty())
				}
			})
		}
	}
}

func TestNoHandoverToTargetThatIsLeaving(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.g.Expect(f.MayHandOver(id, m.Attempt)).To(BeTrue())
	f.setDraining(m.To.ID)
	f.g.Expect(f.MayHandOver(id, m.Attempt)).To(BeFalse())
}

func TestStreamReturnsFromTargetThatLeft(t *testing.T) {
	f := newMoveFixture(t, 6)
	id, m := f.arriveAndMove(12_000)
	f.setDraining(m.To.ID)
	f.now = f.now.Add(maxSendAfterLeaving)
	f.step(Moved{ID: id, Attempt: m.Attempt, Handle: "h1", LastEventID: "4"})
	s := f.lastSend(id)
	f.g.Expect(s.Upstream.ID).To(Equal(m.From.ID))
	f.g.Expect(s.ContinueFrom).To(Equal(m.From.Addr + "/h1"))
}

func TestMaySendUntilUpstreamStopsServing(t *testing.T) {
	f := newFixture(t, 2)
	in := instances(1)[0]
	f.g.Expect(f.MaySend(f.now, in)).To(BeTrue())
	f.setDraining(in.ID)
	f.g.Expect(f.MaySend(f.now.Add(maxSendAfterLeaving-1), in)).To(BeTrue())
	f.g.Expect(f.MaySend(f.now.Add(maxSendAfterLeaving), in)).To(BeFalse())
	f.step(InstancesChanged{Instances: instances(2)})
	f.g.Expect(f.MaySend(f.now.Add(maxSendAfterLeaving), in)).To(BeTrue(), "it does not leave after all")
	f.step(InstancesChanged{Instances: instances(2)[1:]})
	f.g.Expect(f.MaySend(f.now, in)).To(BeFalse(), "its entry was deleted")
}
