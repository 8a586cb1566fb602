package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/wire"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// fakeGates lets all pass but what is set.
type fakeGates struct {
	poison     bool
	retries    int
	hedgeAfter time.Duration
}

func (f *fakeGates) Blocked(now time.Time, _ string, _ [32]byte) (time.Time, bool) {
	return now.Add(time.Minute), f.poison
}
func (f *fakeGates) Begin(_ time.Time, ev core.Arrive) ([]core.Effect, []claims.Decision) {
	return nil, []claims.Decision{{Request: ev.Request, Kind: claims.Proceed}}
}
func (f *fakeGates) Sent(time.Time, core.RequestID)                              {}
func (f *fakeGates) Finish(time.Time, core.RequestID, int, []byte) []core.Effect { return nil }
func (f *fakeGates) Failed(time.Time, core.RequestID, bool) []core.Effect        { return nil }
func (f *fakeGates) GiveUp(time.Time, core.RequestID) []core.Effect              { return nil }
func (f *fakeGates) Crash(time.Time, string, [32]byte, string) []core.Effect     { return nil }
func (f *fakeGates) First(time.Time, string, string, time.Duration)              {}
func (f *fakeGates) FirstSend(string)                                            {}
func (f *fakeGates) Retry(string) bool                                           { f.retries--; return f.retries >= 0 }
func (f *fakeGates) HedgeAfter(string) (time.Duration, bool)                     { return f.hedgeAfter, f.hedgeAfter > 0 }
func (f *fakeGates) Hedge(string) bool                                           { return true }

var noon = time.Unix(1_700_000_000, 0)

// newEntry is an entry "r.1" whose owner for e1 and e2 is "o.1".
func newEntry(gates *fakeGates) *State {
	view := placement.NewView("r.1", "a")
	view.SetAlive([]core.Peer{{ID: "o.1", Domain: "a"}})
	view.SetUpstreams([]core.Upstream{{ID: "e1", Service: "model", Domain: "a"}, {ID: "e2", Service: "model", Domain: "a"}})
	s := New("r.1", view, gates)
	s.Configure(&config.Config{
		Services: []config.Service{
			{Name: "model", Kind: config.Model, MaxWait: 10 * time.Second, Continues: true},
			{Name: "idle", Kind: config.Model, MaxWait: time.Second},
		},
		Organisations: []config.Organisation{{Name: "o", MaxQueued: 2}},
	})
	return s
}

func arrive(n int) core.Arrive {
	return core.Arrive{Request: core.RequestID(fmt.Sprint("q", n)), Organisation: "o", Service: "model", Idempotent: true}
}

func grant(id uint64, upstream string) *wire.Grant {
	return &wire.Grant{Id: id, Upstream: upstream, Organisation: "o", Class: core.ClassShort}
}

// of returns the first effect of a kind.
func of[E core.Effect](effects []core.Effect) E {
	for _, e := range effects {
		if x, ok := e.(E); ok {
			return x
		}
	}
	var none E
	return none
}

var _ = DescribeTable("a request that is not taken in is refused at once",
	func(prepare func(s *State, g *fakeGates, a *core.Arrive), status int, reason core.Reason, retry bool) {
		gates := &fakeGates{}
		s, a := newEntry(gates), arrive(9)
		prepare(s, gates, &a)
		refusal := of[core.Refuse](s.Arrive(noon, a))
		Expect(refusal.Status).To(Equal(status))
		Expect(refusal.Reason).To(Equal(reason))
		Expect(refusal.Outcome).To(Equal(core.NotRun))
		Expect(refusal.RetryAfter > 0).To(Equal(retry))
		Expect(s.requests).NotTo(HaveKey(a.Request))
	},
	Entry("while draining", func(s *State, _ *fakeGates, _ *core.Arrive) { s.SetDraining() }, 503, core.ReasonDraining, true),
	Entry("for an unknown service", func(_ *State, _ *fakeGates, a *core.Arrive) { a.Service = "x" }, 404, core.ReasonUnknownService, false),
	Entry("without an upstream", func(_ *State, _ *fakeGates, a *core.Arrive) { a.Service = "idle" }, 503, core.ReasonNoUpstream, true),
	Entry("without a key for work that runs once", func(_ *State, _ *fakeGates, a *core.Arrive) { a.Once = true }, 400, core.ReasonKeyRequired, false),
	Entry("in quarantine", func(_ *State, g *fakeGates, _ *core.Arrive) { g.poison = true }, 422, core.ReasonPoison, true),
	Entry("with a full queue", func(s *State, _ *fakeGates, _ *core.Arrive) {
		s.Arrive(noon, arrive(1))
		s.Arrive(noon, arrive(2))
	}, 429, core.ReasonQueueFull, true),
)

var _ = Describe("a request that was taken in", func() {
	It("is refused when its wait ends, and names the caller's own deadline", func() {
		s := newEntry(&fakeGates{})
		a := arrive(1)
		a.Deadline = noon.Add(time.Second)
		s.Arrive(noon, a)
		s.Arrive(noon, arrive(2))
		Expect(of[core.Refuse](s.Tick(noon.Add(time.Second))).Reason).To(Equal(core.ReasonDeadline))
		Expect(of[core.Refuse](s.Tick(noon.Add(10 * time.Second))).Reason).To(Equal(core.ReasonWaitTooLong))
		Expect(s.Requests()).To(BeZero())
	})

	It("gives back a grant that nothing waits for", func() {
		s := newEntry(&fakeGates{})
		Expect(s.Granted(noon, "o.1", grant(1, "e1"))).To(BeEmpty())
		release := of[core.SendPeer](s.Flush()).Message.GetRelease()
		Expect(release.Settled).To(HaveLen(1))
		Expect(release.Settled[0].Unused).To(BeTrue())
	})

	DescribeTable("fails after one send", func(sent bool, retries int, reason core.Reason, outcome core.Outcome) {
		s := newEntry(&fakeGates{retries: retries})
		s.Arrive(noon, arrive(1))
		s.Granted(noon, "o.1", grant(1, "e1"))
		effects := s.Failed(noon, core.AttemptFailed{Request: "q1", Attempt: 1, Failure: core.FailRefused, Sent: sent})
		refusal := of[core.Refuse](effects)
		Expect(refusal.Reason).To(Equal(reason))
		Expect(refusal.Outcome).To(Equal(outcome))
	},
		Entry("and is retried when nothing was sent", false, 0, core.Reason(""), core.Outcome("")),
		Entry("and is retried within the budget", true, 1, core.Reason(""), core.Outcome("")),
		Entry("and is refused when the budget is spent", true, 0, core.ReasonRetryBudget, core.MayHaveRun),
	)

	It("is hedged at another upstream, and the loser is cancelled", func() {
		s := newEntry(&fakeGates{hedgeAfter: time.Second})
		s.Arrive(noon, arrive(1))
		s.Granted(noon, "o.1", grant(1, "e1"))
		s.Tick(noon.Add(time.Second))
		Expect(of[core.Send](s.Granted(noon.Add(time.Second), "o.1", grant(2, "e1")))).To(BeZero(), "not at the same upstream")
		hedge := of[core.Send](s.Granted(noon.Add(time.Second), "o.1", grant(3, "e2")))
		Expect(hedge.Attempt).To(BeEquivalentTo(2))
		effects := s.First(noon.Add(2*time.Second), core.AttemptFirst{Request: "q1", Attempt: 2, Status: 200})
		Expect(of[core.Commit](effects).Attempt).To(BeEquivalentTo(2))
		Expect(of[core.Cancel](effects).Attempt).To(BeEquivalentTo(1))
	})

	It("goes on at another upstream after its own has died", func() {
		s := newEntry(&fakeGates{})
		s.Arrive(noon, arrive(1))
		s.Granted(noon, "o.1", grant(1, "e1"))
		s.First(noon, core.AttemptFirst{Request: "q1", Attempt: 1, Status: 200})
		s.Progress(noon, core.AttemptProgress{Request: "q1", Attempt: 1, Tokens: 7})
		resumed := of[core.Send](s.Failed(noon, core.AttemptFailed{Request: "q1", Attempt: 1, Failure: core.FailReset, Sent: true}))
		Expect(resumed.Resume).To(BeTrue(), "first on a new connection to the same upstream")
		s.Failed(noon, core.AttemptFailed{Request: "q1", Attempt: 2, Failure: core.FailDial})
		moved := of[core.Send](s.Granted(noon, "o.1", grant(2, "e2")))
		Expect(moved.Continue).To(BeTrue())
		Expect(moved.Upstream).To(Equal("e2"))
		Expect(of[core.Commit](s.First(noon, core.AttemptFirst{Request: "q1", Attempt: 3, Status: 200})).Attempt).To(BeEquivalentTo(3))
	})
})
