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

// The services of the tests: a model engine and a plain service.
const (
	model = "model"
	plain = "plain"
)

// fixture is a State with upstreams, and the last effect of each request.
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

// newFixture has n engines and n plain upstreams.
func newFixture(t *testing.T, n int) *fixture {
	w := &fixture{State: New(DefaultOptions()), g: NewWithT(t), now: start, last: map[string]Effect{}}
	w.step(TableChanged{Table: routing.NewTable(1, routing.Limits{}, nil, []routing.Service{
		{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, TokenBytes: 160_000, LinkBytesPerSecond: 22e9, EventTokens: 5}},
		{Name: plain},
	}, nil)})
	w.step(InstancesChanged{Instances: instances(n)})
	return w
}

func instances(n int) (list []Instance) {
	for i := range n {
		list = append(list,
			Instance{ID: fmt.Sprintf("m%02d", i), Service: model, Addr: fmt.Sprintf("10.0.0.%d:1", i), Slots: 64},
			Instance{ID: fmt.Sprintf("p%02d", i), Service: plain, Addr: fmt.Sprintf("10.0.1.%d:1", i), Slots: 6})
	}
	return list
}

func (w *fixture) step(e Event) {
	for _, effect := range w.Step(w.now, e) {
		w.last[effect.RequestID()] = effect
		w.all = append(w.all, effect)
	}
}

// advance lets time pass in ticks.
func (w *fixture) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickBusy)
		w.step(Tick{})
	}
}

// arrive takes in a request and returns its id.
func (w *fixture) arrive(r *routing.Route, service string, tokens int) string {
	return w.arriveFor("org", r, service, tokens)
}

func (w *fixture) arriveFor(org string, r *routing.Route, service string, tokens int) string {
	w.seq++
	id := fmt.Sprint("r", w.seq)
	w.step(Arrive{&Request{
		ID: id, Organisation: org, Route: r, Service: service, Deadline: w.now.Add(15 * time.Second),
		Prompt: Prompt{Tokens: tokens, MaxOutput: 300, Parts: []Part{{ID: uint64(w.seq) << 32, Tokens: tokens}}},
	}})
	return id
}

// lastSend is the attempt that a request was sent with last.
func (w *fixture) lastSend(id string) Send {
	s, ok := w.last[id].(Send)
	w.g.Expect(ok).To(BeTrue(), "%s: %#v", id, w.last[id])
	return s
}

func (w *fixture) fail(id string, f Failed) {
	s := w.lastSend(id)
	f.ID, f.Attempt = id, s.Attempt
	w.step(f)
}

// TestBrokenStreamIsResumedLate: a stream that breaks off long after its latency
// target goes on elsewhere; the target is for its first event only.
func TestBrokenStreamIsResumedAfterLatencyTarget(t *testing.T) {
	w := newFixture(t, 1)
	id := w.arrive(chat, model, 600)
	first := w.lastSend(id)
	w.step(Answered{id, first.Attempt})
	w.advance(2 * time.Second)
	w.fail(id, Failed{Kind: core.FailReset, Ran: true, Began: true, LastEvent: "7"})
	w.advance(200 * time.Millisecond)
	w.step(InstancesChanged{Instances: instances(2)})
	second := w.lastSend(id)
	w.g.Expect(second.Upstream.ID).NotTo(Equal(first.Upstream.ID))
	w.g.Expect(second.ResumeAfter).To(Equal("7"))
}

// TestReplacedInstanceGetsNothingMore: an instance that another has replaced at
// its address is not tried again until its entry changes.
func TestReplacedInstanceGetsNoRequests(t *testing.T) {
	w := newFixture(t, 1)
	id := w.arrive(lookup, plain, 0)
	w.fail(id, Failed{Kind: core.FailRefused, Replaced: true})
	w.g.Expect(w.last[id]).To(BeAssignableToTypeOf(Refuse{}))
	for range 10 {
		w.advance(500 * time.Millisecond)
		w.g.Expect(w.last[w.arrive(lookup, plain, 0)]).To(BeAssignableToTypeOf(Refuse{}))
	}
	list := instances(1)
	list[1].Started = 5
	w.step(InstancesChanged{Instances: list})
	w.lastSend(w.arrive(lookup, plain, 0))
}

// TestRefusedConnectionKeepsOthersAway: one refused connection is proof enough
// that nothing listens there for now.
func TestRefusedConnectionSuspendsUpstream(t *testing.T) {
	w := newFixture(t, 2)
	id := w.arrive(booking, plain, 0)
	dead := w.lastSend(id).Upstream.ID
	w.fail(id, Failed{Kind: core.FailDial, Unreachable: true})
	for range 6 {
		w.g.Expect(w.lastSend(w.arrive(booking, plain, 0)).Upstream.ID).NotTo(Equal(dead))
	}
}

// TestAtMostOnceIsNeverRepeated: after a byte may have arrived a request that
// must not run twice fails; before that it goes to another upstream.
func TestAtMostOnceIsNeverRetriedAfterSend(t *testing.T) {
	w := newFixture(t, 3)
	for _, r := range []*routing.Route{booking, draft} {
		service := map[*routing.Route]string{booking: plain, draft: model}[r]
		id := w.arrive(r, service, 600)
		w.fail(id, Failed{Kind: core.FailReset, Ran: true})
		w.g.Expect(w.last[id]).To(Equal(Fail{ID: id, Reason: ReasonMayHaveRun}))
		id = w.arrive(r, service, 600)
		w.fail(id, Failed{Kind: core.FailRefused})
		w.g.Expect(w.lastSend(id).Attempt).To(Equal(2))
	}
}

// TestTimeoutEndsTheAttempt: at the route's timeout an attempt fails, and what
// waits is refused as not run.
func TestTimeoutEndsAttempt(t *testing.T) {
	w := newFixture(t, 1)
	id := w.arrive(booking, plain, 0)
	w.advance(booking.Timeout + tickBusy)
	w.g.Expect(w.last[id]).To(Equal(Fail{ID: id, Reason: ReasonTimeout, Timeout: true}))
	w.g.Expect(w.requests).To(BeEmpty())
	w.g.Expect(w.upstreams["p00"].local).To(Equal(Load{}))
}

// TestNoUpstreamIsRefusedImmediately with a time to come back within what is left.
func TestNoUpstreamIsRefusedImmediately(t *testing.T) {
	w := newFixture(t, 0)
	refusal, ok := w.last[w.arrive(chat, model, 600)].(Refuse)
	w.g.Expect(ok).To(BeTrue())
	w.g.Expect(refusal.Reason).To(Equal(ReasonNoUpstream))
	w.g.Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 5*time.Second)))
}

// TestSharedPartsAreCopied: a prompt whose parts were read on a busy upstream
// goes elsewhere and copies them.
func TestSharedPartsAreCopied(t *testing.T) {
	w := newFixture(t, 2)
	request := func(id string) {
		w.step(Arrive{&Request{ID: id, Organisation: "org", Route: draft, Service: model, Deadline: w.now.Add(15 * time.Second), Prompt: Prompt{
			Tokens: 12_000, MaxOutput: 300,
			Parts: []Part{{1, 500}, {2, 4900}, {uint64(100 + len(id)), 6600}},
		}}})
	}
	request("a")
	first := w.lastSend("a")
	w.g.Expect(first.FetchFrom).To(BeEmpty())
	w.step(Answered{"a", first.Attempt})
	request("bb")
	w.g.Expect(w.upstreams[w.lastSend("bb").Upstream.ID].local.Prefill).To(Equal(6600))
	request("ccc")
	third := w.lastSend("ccc")
	if third.Upstream.ID != first.Upstream.ID {
		w.g.Expect(third.FetchFrom).To(Equal(first.Upstream.Addr))
	}
}

// TestLoadIsSumOfAttempts over random ends of requests.
func TestLoadIsSumOfAttempts(t *testing.T) {
	w := newFixture(t, 3)
	for i := range 200 {
		id := w.arrive(chat, model, 300+i)
		s, ok := w.last[id].(Send)
		if !ok {
			continue
		}
		switch i % 5 {
		case 0:
			w.step(Left{id})
		case 1:
			w.step(Answered{id, s.Attempt})
			w.step(Done{id, s.Attempt})
		case 2:
			w.fail(id, Failed{Kind: core.FailRefused})
			w.step(Left{id})
		case 3:
			w.fail(id, Failed{Kind: core.FailReset, Ran: true})
			w.step(Left{id})
		case 4:
			w.step(Answered{id, s.Attempt})
			w.fail(id, Failed{Kind: core.FailTruncated, Ran: true, Began: true, LastEvent: "1"})
			w.step(Left{id})
		}
		w.advance(tickBusy)
	}
	w.advance(20 * time.Second)
	w.g.Expect(w.requests).To(BeEmpty())
	for _, u := range w.upstreams {
		w.g.Expect(u.local).To(Equal(Load{}), u.ID)
	}
}

// TestMaxMinLevel divides a capacity.
func TestMaxMinLevel(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxMinLevel([]float64{10, 20, 30}, 100)).To(BeNumerically(">", 1e9))
	g.Expect(maxMinLevel([]float64{10, 50, 60}, 100)).To(BeNumerically("~", 45))
	g.Expect(maxMinLevel([]float64{50, 60, 70}, 90)).To(BeNumerically("~", 30))
}

// A router without descriptors gives requests back at once, and does not take it
// for a failure of its upstreams.
func TestLocalResourceFailureIsNotCountedAgainstUpstream(t *testing.T) {
	w := newFixture(t, 1)
	for range 20 {
		id := w.arrive(chat, model, 1000)
		w.step(Failed{ID: id, Attempt: w.lastSend(id).Attempt, Kind: core.FailDial, Local: true})
		w.g.Expect(w.last[id]).To(HaveField("Reason", ReasonResources))
	}
	w.g.Expect(w.last[w.arrive(chat, model, 1000)]).To(BeAssignableToTypeOf(Send{}))
}
