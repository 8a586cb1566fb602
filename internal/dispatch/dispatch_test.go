package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

var start = time.Unix(1000, 0)

// The services used by the tests: a model engine and a plain service.
const (
	model = "model"
	plain = "plain"
)

// fixture is a State with upstreams that records its effects, and the last one of
// each request.
type fixture struct {
	*State
	g    Gomega
	now  time.Time
	last map[string]Effect
	all  []Effect
	seq  int
}

var (
	chat    = &routing.Route{Name: "chat", Kind: routing.ResumableStream, LatencyTarget: 300 * time.Millisecond, Timeout: 15 * time.Second, MaxAttempts: 2}
	draft   = &routing.Route{Name: "draft", Kind: routing.Stream, LatencyTarget: 800 * time.Millisecond, Timeout: 15 * time.Second, MaxAttempts: 1}
	booking = &routing.Route{Name: "booking", Kind: routing.AtMostOnce, LatencyTarget: 300 * time.Millisecond, Timeout: 800 * time.Millisecond, MaxAttempts: 1}
	lookup  = &routing.Route{Name: "lookup", Kind: routing.Idempotent, LatencyTarget: 300 * time.Millisecond, Timeout: 800 * time.Millisecond, MaxAttempts: 2}
)

// newFixture returns a fixture with n engines and n plain upstreams.
func newFixture(t *testing.T, n int) *fixture {
	f := &fixture{State: New(DefaultOptions()), g: NewWithT(t), now: start, last: map[string]Effect{}}
	f.step(TableChanged{Table: routing.NewTable(1, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5}},
		{Name: plain},
	}, nil)})
	f.step(InstancesChanged{Instances: instances(n)})
	return f
}

// instances returns n engines and n plain upstreams, alternating.
func instances(n int) (list []Instance) {
	for i := range n {
		list = append(list,
			Instance{ID: fmt.Sprintf("m%02d", i), Service: model, Addr: fmt.Sprintf("10.0.0.%d:1", i), Slots: 64},
			Instance{ID: fmt.Sprintf("p%02d", i), Service: plain, Addr: fmt.Sprintf("10.0.1.%d:1", i), Slots: 6})
	}
	return list
}

// step applies an event and records its effects.
func (f *fixture) step(e Event) {
	for _, effect := range f.Step(f.now, e) {
		f.last[effect.RequestID()] = effect
		f.all = append(f.all, effect)
	}
}

// advance lets time pass in Ticks.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickBusy)
		f.step(Tick{})
	}
}

// setDraining makes an upstream's entry say that it is leaving.
func (f *fixture) setDraining(id string) {
	list := instances(len(f.upstreams) / 2)
	for i := range list {
		list[i].Draining = list[i].ID == id
	}
	f.step(InstancesChanged{Instances: list})
}

// arrive adds a request of the organisation "org" and returns its id.
func (f *fixture) arrive(r *routing.Route, service string, tokens int) string {
	return f.arriveFor("org", r, service, tokens)
}

// arriveFor adds a request of an organisation and returns its id.
func (f *fixture) arriveFor(org string, r *routing.Route, service string, tokens int) string {
	f.seq++
	id := fmt.Sprint("r", f.seq)
	f.step(Arrive{&Request{
		ID: id, Organisation: org, Route: r, Service: service, Deadline: f.now.Add(15 * time.Second),
		Prompt: Prompt{Tokens: tokens, MaxOutput: 300, Parts: []Part{{ID: uint64(f.seq) << 32, Tokens: tokens}}},
	}})
	return id
}

// lastSend returns the Send that is the last effect of a request.
func (f *fixture) lastSend(id string) Send {
	s, ok := f.last[id].(Send)
	f.g.Expect(ok).To(BeTrue(), "%s: %#v", id, f.last[id])
	return s
}

// fail reports the failure of a request's current attempt.
func (f *fixture) fail(id string, failure Failed) {
	s := f.lastSend(id)
	failure.ID, failure.Attempt = id, s.Attempt
	f.step(failure)
}

// A stream that breaks long after its latency target is resumed on another upstream: the
// target applies to the first event only.
func TestBrokenStreamIsResumedAfterLatencyTarget(t *testing.T) {
	f := newFixture(t, 1)
	id := f.arrive(chat, model, 600)
	first := f.lastSend(id)
	f.step(FirstByteReceived{id, first.Attempt})
	f.advance(2 * time.Second)
	f.fail(id, Failed{Kind: core.FailReset, MayHaveRun: true, ResponseStarted: true, LastEventID: "7"})
	f.advance(200 * time.Millisecond)
	f.step(InstancesChanged{Instances: instances(2)})
	second := f.lastSend(id)
	f.g.Expect(second.Upstream.ID).NotTo(Equal(first.Upstream.ID))
	f.g.Expect(second.ResumeAfter).To(Equal("7"))
}

// An instance that another one has replaced at its address gets no requests until its
// entry changes.
func TestReplacedInstanceGetsNoRequests(t *testing.T) {
	f := newFixture(t, 1)
	id := f.arrive(lookup, plain, 0)
	f.fail(id, Failed{Kind: core.FailRefused, Replaced: true})
	f.g.Expect(f.last[id]).To(BeAssignableToTypeOf(Refuse{}))
	for range 10 {
		f.advance(500 * time.Millisecond)
		f.g.Expect(f.last[f.arrive(lookup, plain, 0)]).To(BeAssignableToTypeOf(Refuse{}))
	}
	list := instances(1)
	list[1].Started = 5
	f.step(InstancesChanged{Instances: list})
	f.lastSend(f.arrive(lookup, plain, 0))
}

// After one refused connection an upstream gets no requests for a while, since nothing
// listens at its address.
func TestRefusedConnectionSuspendsUpstream(t *testing.T) {
	f := newFixture(t, 2)
	id := f.arrive(booking, plain, 0)
	dead := f.lastSend(id).Upstream.ID
	f.fail(id, Failed{Kind: core.FailDial, Unreachable: true})
	for range 6 {
		f.g.Expect(f.lastSend(f.arrive(booking, plain, 0)).Upstream.ID).NotTo(Equal(dead))
	}
}

// A request that must not run twice fails once it may have reached an upstream. If it did
// not run, it is sent to another upstream.
func TestAtMostOnceIsNeverRetriedAfterSend(t *testing.T) {
	f := newFixture(t, 3)
	for _, r := range []*routing.Route{booking, draft} {
		service := map[*routing.Route]string{booking: plain, draft: model}[r]
		id := f.arrive(r, service, 600)
		f.fail(id, Failed{Kind: core.FailReset, MayHaveRun: true})
		f.g.Expect(f.last[id]).To(Equal(Fail{ID: id, Reason: ReasonMayHaveRun}))
		id = f.arrive(r, service, 600)
		f.fail(id, Failed{Kind: core.FailRefused})
		f.g.Expect(f.lastSend(id).Attempt).To(Equal(2))
	}
}

// An attempt fails at the route's timeout and its load is released.
func TestTimeoutEndsAttempt(t *testing.T) {
	f := newFixture(t, 1)
	id := f.arrive(booking, plain, 0)
	f.advance(booking.Timeout + tickBusy)
	f.g.Expect(f.last[id]).To(Equal(Fail{ID: id, Reason: ReasonTimeout, Timeout: true}))
	f.g.Expect(f.requests).To(BeEmpty())
	f.g.Expect(f.upstreams["p00"].local).To(Equal(Load{}))
}

// A request is refused immediately if its service has no upstream, with a Retry-After
// within the caller's remaining time.
func TestNoUpstreamIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, 0)
	refusal, ok := f.last[f.arrive(chat, model, 600)].(Refuse)
	f.g.Expect(ok).To(BeTrue())
	f.g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
	f.g.Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 5*time.Second)))
}

// A prompt whose shared parts were read on a busy upstream is sent elsewhere and copies
// them.
func TestSharedPartsAreCopied(t *testing.T) {
	f := newFixture(t, 2)
	request := func(id string) {
		f.step(Arrive{&Request{ID: id, Organisation: "org", Route: draft, Service: model, Deadline: f.now.Add(15 * time.Second), Prompt: Prompt{
			Tokens: 12_000, MaxOutput: 300,
			Parts: []Part{{1, 500}, {2, 4900}, {uint64(100 + len(id)), 6600}},
		}}})
	}
	request("a")
	first := f.lastSend("a")
	f.g.Expect(first.FetchFrom).To(BeEmpty())
	f.step(FirstByteReceived{"a", first.Attempt})
	request("bb")
	f.g.Expect(f.upstreams[f.lastSend("bb").Upstream.ID].local.Prefill).To(Equal(6600))
	request("ccc")
	third := f.lastSend("ccc")
	if third.Upstream.ID != first.Upstream.ID {
		f.g.Expect(third.FetchFrom).To(Equal(first.Upstream.Addr))
	}
}

// The load of each upstream is zero after requests have ended in different ways.
func TestLoadIsSumOfAttempts(t *testing.T) {
	f := newFixture(t, 3)
	for i := range 200 {
		id := f.arrive(chat, model, 300+i)
		s, ok := f.last[id].(Send)
		if !ok {
			continue
		}
		switch i % 5 {
		case 0:
			f.step(CallerLeft{id})
		case 1:
			f.step(FirstByteReceived{id, s.Attempt})
			f.step(Done{id, s.Attempt})
		case 2:
			f.fail(id, Failed{Kind: core.FailRefused})
			f.step(CallerLeft{id})
		case 3:
			f.fail(id, Failed{Kind: core.FailReset, MayHaveRun: true})
			f.step(CallerLeft{id})
		case 4:
			f.step(FirstByteReceived{id, s.Attempt})
			f.fail(id, Failed{Kind: core.FailTruncated, MayHaveRun: true, ResponseStarted: true, LastEventID: "1"})
			f.step(CallerLeft{id})
		}
		f.advance(tickBusy)
	}
	f.advance(20 * time.Second)
	f.g.Expect(f.requests).To(BeEmpty())
	for _, u := range f.upstreams {
		f.g.Expect(u.local).To(Equal(Load{}), u.ID)
	}
}

// maxMinLevel divides a capacity max-min fairly.
func TestMaxMinLevel(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxMinLevel([]float64{10, 20, 30}, 100)).To(BeNumerically(">", 1e9))
	g.Expect(maxMinLevel([]float64{10, 50, 60}, 100)).To(BeNumerically("~", 45))
	g.Expect(maxMinLevel([]float64{50, 60, 70}, 90)).To(BeNumerically("~", 30))
}

// A router that lacks file descriptors refuses requests immediately and does not count
// this as a failure of its upstreams.
func TestLocalResourceFailureIsNotCountedAgainstUpstream(t *testing.T) {
	f := newFixture(t, 1)
	for range 20 {
		id := f.arrive(chat, model, 1000)
		f.step(Failed{ID: id, Attempt: f.lastSend(id).Attempt, Kind: core.FailDial, Local: true})
		f.g.Expect(f.last[id]).To(HaveField("Reason", ReasonResources))
	}
	f.g.Expect(f.last[f.arrive(chat, model, 1000)]).To(BeAssignableToTypeOf(Send{}))
}

// TestStreamWithoutAPositionIsNotResumed guards against a stream that goes on after the event that
// its caller named, although the caller has got more since, at an uncertain position.
func TestStreamWithoutAPositionIsNotResumed(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed Failed
		resume string
	}{
		{"nothing delivered", Failed{Kind: core.FailReset, MayHaveRun: true}, "4"},
		{"more delivered", Failed{Kind: core.FailReset, MayHaveRun: true, ResponseStarted: true, LastEventID: "6"}, "6"},
		{"no position", Failed{Kind: core.FailReset, MayHaveRun: true, ResponseStarted: true}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3)
			f.step(Arrive{&Request{
				ID: "r", Organisation: "org", Route: chat, Service: model, Deadline: f.now.Add(15 * time.Second), ResumeAfter: "4",
				Prompt: Prompt{Tokens: 600, MaxOutput: 300, Parts: []Part{{ID: 1 << 32, Tokens: 600}}},
			}})
			f.g.Expect(f.lastSend("r").ResumeAfter).To(Equal("4"))
			f.fail("r", c.failed)
			if c.resume == "" {
				f.g.Expect(f.last["r"]).To(Equal(Fail{ID: "r", Reason: ReasonBroken}))
				return
			}
			f.g.Expect(f.lastSend("r").ResumeAfter).To(Equal(c.resume))
		})
	}
}
