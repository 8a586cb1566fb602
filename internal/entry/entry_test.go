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

// fakeHooks allows everything except what its fields restrict.
type fakeHooks struct {
	quarantined bool
	retries     int
	hedgeDelay  time.Duration
	// claimLater means that claims are not decided at once.
	claimLater bool
}

func (f *fakeHooks) Quarantined(now time.Time, _ string, _ [32]byte) (time.Time, bool) {
	return now.Add(time.Minute), f.quarantined
}
func (f *fakeHooks) BeginClaim(_ time.Time, ev core.RequestArrived) ([]core.Effect, []claims.Decision) {
	if f.claimLater {
		return nil, nil
	}
	return nil, []claims.Decision{{Request: ev.Request, Kind: claims.Proceed}}
}
func (f *fakeHooks) ClaimSent(time.Time, core.RequestID)                              {}
func (f *fakeHooks) FinishClaim(time.Time, core.RequestID, int, []byte) []core.Effect { return nil }
func (f *fakeHooks) FailClaim(time.Time, core.RequestID, bool) []core.Effect          { return nil }
func (f *fakeHooks) AbandonClaim(time.Time, core.RequestID) []core.Effect             { return nil }
func (f *fakeHooks) ReportCrash(time.Time, string, [32]byte, string) []core.Effect    { return nil }
func (f *fakeHooks) ReportSuccess(time.Time, string, [32]byte) []core.Effect          { return nil }
func (f *fakeHooks) RecordFirstByte(time.Time, string, string, time.Duration)         {}
func (f *fakeHooks) RecordFirstSend(string)                                           {}
func (f *fakeHooks) TakeRetry(string) bool                                            { f.retries--; return f.retries >= 0 }
func (f *fakeHooks) HedgeDelay(string) (time.Duration, bool)                          { return f.hedgeDelay, f.hedgeDelay > 0 }
func (f *fakeHooks) TakeHedge(string) bool                                            { return true }

var noon = time.Unix(1_700_000_000, 0)

// newEntry returns the entry "r.1", for which "o.1" owns e1 and e2.
func newEntry(hooks *fakeHooks) *State {
	view := placement.NewView("r.1", "a")
	view.SetAlive([]core.Peer{{ID: "o.1", Domain: "a"}})
	view.SetUpstreams([]core.Upstream{{ID: "e1", Service: "model", Domain: "a"}, {ID: "e2", Service: "model", Domain: "a"}})
	s := New("r.1", view, hooks)
	s.Configure(&config.Config{
		Services: []config.Service{
			{Name: "model", Kind: config.Model, MaxWait: 10 * time.Second, Continues: true},
			{Name: "idle", Kind: config.Model, MaxWait: time.Second},
		},
		Organisations: []config.Organisation{{Name: "o", MaxQueued: 2}},
	})
	return s
}

func arrive(n int) core.RequestArrived {
	return core.RequestArrived{Request: core.RequestID(fmt.Sprint("q", n)), Organisation: "o", Service: "model", Idempotent: true}
}

func grant(id uint64, upstream string) *wire.Grant {
	return &wire.Grant{Id: id, Upstream: upstream, Organisation: "o", Class: core.ClassShort}
}

// firstEffect returns the first effect of a type, or its zero value.
func firstEffect[E core.Effect](effects []core.Effect) E {
	for _, e := range effects {
		if x, ok := e.(E); ok {
			return x
		}
	}
	var none E
	return none
}

var _ = DescribeTable("a request that is not admitted is refused at once",
	func(prepare func(s *State, g *fakeHooks, a *core.RequestArrived), status int, reason core.Reason, retry bool) {
		hooks := &fakeHooks{}
		s, a := newEntry(hooks), arrive(9)
		prepare(s, hooks, &a)
		refusal := firstEffect[core.Refuse](s.HandleArrival(noon, a))
		Expect(refusal.Status).To(Equal(status))
		Expect(refusal.Reason).To(Equal(reason))
		Expect(refusal.Outcome).To(Equal(core.NotRun))
		Expect(refusal.RetryAfter > 0).To(Equal(retry))
		Expect(s.requests).NotTo(HaveKey(a.Request))
	},
	Entry("while draining", func(s *State, _ *fakeHooks, _ *core.RequestArrived) { s.SetDraining() }, 503, core.ReasonDraining, true),
	Entry("for an unknown service", func(_ *State, _ *fakeHooks, a *core.RequestArrived) { a.Service = "x" }, 404, core.ReasonUnknownService, false),
	Entry("without an upstream", func(_ *State, _ *fakeHooks, a *core.RequestArrived) { a.Service = "idle" }, 503, core.ReasonNoUpstream, true),
	Entry("without a key for work that runs at most once", func(_ *State, _ *fakeHooks, a *core.RequestArrived) { a.AtMostOnce = true }, 400, core.ReasonKeyRequired, false),
	Entry("in quarantine", func(_ *State, g *fakeHooks, _ *core.RequestArrived) { g.quarantined = true }, 422, core.ReasonQuarantined, true),
	Entry("with a full queue", func(s *State, _ *fakeHooks, _ *core.RequestArrived) {
		s.HandleArrival(noon, arrive(1))
		s.HandleArrival(noon, arrive(2))
	}, 429, core.ReasonQueueFull, true),
)

var _ = Describe("an admitted request", func() {
	It("is refused when its wait ends, with a reason that tells whose deadline passed", func() {
		s := newEntry(&fakeHooks{})
		a := arrive(1)
		a.Deadline = noon.Add(time.Second)
		s.HandleArrival(noon, a)
		s.HandleArrival(noon, arrive(2))
		Expect(firstEffect[core.Refuse](s.Tick(noon.Add(time.Second))).Reason).To(Equal(core.ReasonDeadline))
		Expect(firstEffect[core.Refuse](s.Tick(noon.Add(10 * time.Second))).Reason).To(Equal(core.ReasonWaitTooLong))
		Expect(s.Requests()).To(BeZero())
	})

	It("returns a grant that no request waits for", func() {
		s := newEntry(&fakeHooks{})
		Expect(s.HandleGrant(noon, "o.1", grant(1, "e1"))).To(BeEmpty())
		release := firstEffect[core.SendPeer](s.Flush()).Message.GetRelease()
		Expect(release.Settled).To(HaveLen(1))
		Expect(release.Settled[0].Unused).To(BeTrue())
	})

	It("gets an answer that tells whether it may have run when a drain ends before it does", func() {
		s := newEntry(&fakeHooks{})
		sent, waiting := arrive(1), arrive(2)
		sent.AtMostOnce, sent.Idempotent, sent.Key = true, false, "k"
		s.HandleArrival(noon, sent)
		s.HandleGrant(noon, "o.1", grant(1, "e1"))
		s.HandleArrival(noon, waiting)
		s.SetDraining()
		late := firstEffect[core.Refuse](s.HandleArrival(noon, arrive(3)))
		Expect(late.Reason).To(Equal(core.ReasonDraining))
		Expect(late.Outcome).To(Equal(core.NotRun))
		outcomes := map[core.RequestID]core.Outcome{}
		for _, e := range s.AbortAll(noon.Add(time.Minute)) {
			switch e := e.(type) {
			case core.Refuse:
				outcomes[e.Request] = e.Outcome
			case core.Abort:
				outcomes[e.Request] = e.Outcome
			}
		}
		Expect(outcomes).To(Equal(map[core.RequestID]core.Outcome{"q1": core.MayHaveRun, "q2": core.NotRun}))
	})

	It("is not sent to an upstream that is listed as leaving", func() {
		s := newEntry(&fakeHooks{})
		s.HandleArrival(noon, arrive(1))
		s.view.SetUpstreams([]core.Upstream{{ID: "e1", Service: "model", Domain: "a", State: core.UpstreamLeaving}, {ID: "e2", Service: "model", Domain: "a"}})
		Expect(firstEffect[core.Send](s.HandleGrant(noon, "o.1", grant(1, "e1")))).To(BeZero())
		Expect(firstEffect[core.Send](s.HandleGrant(noon, "o.1", grant(2, "e2"))).Upstream).To(Equal("e2"))
	})

	It("waits for another slot if its upstream leaves while its claim is decided", func() {
		s := newEntry(&fakeHooks{claimLater: true})
		a := arrive(1)
		a.AtMostOnce, a.Idempotent, a.Key = true, false, "k"
		s.HandleArrival(noon, a)
		s.HandleGrant(noon, "o.1", grant(1, "e1"))
		s.view.SetUpstreams([]core.Upstream{{ID: "e1", Service: "model", Domain: "a", State: core.UpstreamLeaving}, {ID: "e2", Service: "model", Domain: "a"}})
		decided := claims.Decision{Request: "q1", Kind: claims.Proceed}
		Expect(firstEffect[core.Send](s.HandleClaimDecision(noon.Add(2*time.Second), decided))).To(BeZero())
		s.HandleGrant(noon.Add(2*time.Second), "o.1", grant(2, "e2"))
		Expect(firstEffect[core.Send](s.HandleClaimDecision(noon.Add(2*time.Second), decided)).Upstream).To(Equal("e2"))
	})

	DescribeTable("fails after one send", func(sent bool, retries int, reason core.Reason, outcome core.Outcome) {
		s := newEntry(&fakeHooks{retries: retries})
		s.HandleArrival(noon, arrive(1))
		s.HandleGrant(noon, "o.1", grant(1, "e1"))
		effects := s.HandleFailure(noon, core.AttemptFailed{Request: "q1", Attempt: 1, Failure: core.FailRefused, Sent: sent})
		refusal := firstEffect[core.Refuse](effects)
		Expect(refusal.Reason).To(Equal(reason))
		Expect(refusal.Outcome).To(Equal(outcome))
	},
		Entry("and is retried when nothing was sent", false, 0, core.Reason(""), core.Outcome("")),
		Entry("and is retried within the budget", true, 1, core.Reason(""), core.Outcome("")),
		Entry("and is refused when the budget is spent", true, 0, core.ReasonRetryBudget, core.MayHaveRun),
	)

	It("is hedged at another upstream, and the slower attempt is cancelled", func() {
		s := newEntry(&fakeHooks{hedgeDelay: time.Second})
		s.HandleArrival(noon, arrive(1))
		s.HandleGrant(noon, "o.1", grant(1, "e1"))
		s.Tick(noon.Add(time.Second))
		Expect(firstEffect[core.Send](s.HandleGrant(noon.Add(time.Second), "o.1", grant(2, "e1")))).To(BeZero(), "not at the same upstream")
		hedge := firstEffect[core.Send](s.HandleGrant(noon.Add(time.Second), "o.1", grant(3, "e2")))
		Expect(hedge.Attempt).To(BeEquivalentTo(2))
		effects := s.HandleFirstByte(noon.Add(2*time.Second), core.AttemptFirstByte{Request: "q1", Attempt: 2, Status: 200})
		Expect(firstEffect[core.Commit](effects).Attempt).To(BeEquivalentTo(2))
		Expect(firstEffect[core.Cancel](effects).Attempt).To(BeEquivalentTo(1))
	})

	It("continues at another upstream after its own has failed", func() {
		s := newEntry(&fakeHooks{})
		s.HandleArrival(noon, arrive(1))
		s.HandleGrant(noon, "o.1", grant(1, "e1"))
		s.HandleFirstByte(noon, core.AttemptFirstByte{Request: "q1", Attempt: 1, Status: 200})
		s.HandleProgress(noon, core.AttemptProgress{Request: "q1", Attempt: 1, Tokens: 7})
		resumed := firstEffect[core.Send](s.HandleFailure(noon, core.AttemptFailed{Request: "q1", Attempt: 1, Failure: core.FailReset, Sent: true}))
		Expect(resumed.Resume).To(BeTrue(), "first resumed on a new connection to the same upstream")
		s.HandleFailure(noon, core.AttemptFailed{Request: "q1", Attempt: 2, Failure: core.FailDial})
		moved := firstEffect[core.Send](s.HandleGrant(noon, "o.1", grant(2, "e2")))
		Expect(moved.Continue).To(BeTrue())
		Expect(moved.Upstream).To(Equal("e2"))
		Expect(firstEffect[core.Commit](s.HandleFirstByte(noon, core.AttemptFirstByte{Request: "q1", Attempt: 3, Status: 200})).Attempt).To(BeEquivalentTo(3))
	})
})
