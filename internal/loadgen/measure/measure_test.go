package measure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// newRun returns a run on one engine that has two slots and takes 10 ms for each token
// of a request.
func newRun(s *scenario.Scenario, results ...client.Result) *run.Run {
	r := &run.Run{
		Fleet: &fleet.Fleet{
			Engines:   make([]fleet.Upstream, 1),
			Slots:     2,
			TokenTime: 10 * ms,
		},
		Trace:   &trace.Trace{Scenario: s, Organisations: []scenario.Organisation{{Name: "a", Share: 2}, {Name: "b", Share: 1}}},
		Results: results,
	}
	for _, result := range results {
		r.Trace.Requests = append(r.Trace.Requests, trace.Request{
			ID:           result.ID,
			SendAt:       result.IntendedSend,
			Organisation: result.Organisation,
			Tokens:       result.ExpectedTokens,
			Prompt:       result.Name,
		})
	}
	return r
}

// completeAnswer returns the result of a complete model answer whose tokens arrive
// every 10 ms from the time first.
func completeAnswer(organisation int, intended, first time.Duration, tokens int) client.Result {
	r := client.Result{
		Organisation:   organisation,
		Name:           "p",
		Model:          true,
		IntendedSend:   intended,
		FirstByteAt:    first,
		ExpectedTokens: tokens,
		End:            client.Complete,
	}
	for i := range tokens {
		r.TokenTimes = append(r.TokenTimes, first+time.Duration(i)*10*ms)
	}
	r.EndedAt = r.TokenTimes[tokens-1]
	return r
}

func onePhaseScenario() *scenario.Scenario {
	return &scenario.Scenario{
		Phases: []scenario.Phase{{Name: "only", Duration: 2 * second}},
		Kinds:  []scenario.Kind{{Name: "short", Service: scenario.ModelService}},
	}
}

func TestGapCountsOnlyWhileBothWait(t *testing.T) {
	g := NewWithT(t)
	r := newRun(onePhaseScenario(),
		completeAnswer(0, 0, 2*second, 1), // waits from the start until 2 s
		completeAnswer(1, 0, second, 1),   // waits from the start until 1 s
		completeAnswer(0, 0, 10*ms, 150),  // receives 50 tokens per unit of share and second
	)
	m := Compute(r)
	g.Expect(m.Gap.Ahead).To(Equal("a"))
	g.Expect(m.Gap.Behind).To(Equal("b"))
	g.Expect(m.Gap.Seconds).To(BeNumerically("~", 0.8, 0.11))
	g.Expect(m.Gap.Largest).To(BeNumerically("~", 40, 5))
}

func TestGapIsZeroWhenServiceFollowsTheShares(t *testing.T) {
	g := NewWithT(t)
	s := onePhaseScenario()
	s.GapBound = 10
	r := newRun(s,
		completeAnswer(0, 0, 2*second, 1), completeAnswer(1, 0, 2*second, 1),
		completeAnswer(0, 0, 10*ms, 150), completeAnswer(0, 0, 10*ms, 150), completeAnswer(1, 0, 10*ms, 150),
	)
	m := Compute(r)
	g.Expect(m.Gap.Largest).To(BeNumerically("<", 0.5))
	g.Expect(m.Gap.OverBound).To(BeNumerically("<", 0.05))
}

func TestUtilisationIsRelativeToCapacityWhileWorkWaits(t *testing.T) {
	g := NewWithT(t)
	// A request waits for one second while only one of the two slots is used.
	m := Compute(newRun(onePhaseScenario(), completeAnswer(0, 0, 5*ms, 300), completeAnswer(1, 0, second+10*ms, 1)))
	g.Expect(m.Utilisation.Seconds).To(BeNumerically("~", 0.9, 0.01))
	g.Expect(m.Utilisation.Fraction).To(BeNumerically("~", 0.5, 0.01))
}

func TestWaitCountsFromTheIntendedTime(t *testing.T) {
	g := NewWithT(t)
	m := Compute(newRun(onePhaseScenario(), completeAnswer(0, 100*ms, 310*ms, 2)))
	g.Expect(m.Phases).To(HaveLen(1))
	g.Expect(m.Phases[0].Wait.P99).To(BeNumerically("~", 200, 1))
	g.Expect(m.Phases[0].Answer.P99).To(BeNumerically("~", 220, 1))
}

func TestPeakIsComparedWithTheIdeal(t *testing.T) {
	g := NewWithT(t)
	s := onePhaseScenario()
	s.PeakPhase = "only"
	// The two requests run one after the other although both slots are free.
	m := Compute(newRun(s, completeAnswer(0, 0, 10*ms, 150), completeAnswer(1, 0, 1510*ms, 150)))
	g.Expect(m.Peak.IdealTokens).To(Equal(300.0))
	g.Expect(m.Peak.Served).To(BeNumerically("~", 199.0/300, 0.01))
	g.Expect(m.Peak.IdealWait.Max).To(BeNumerically("<", 1))
	g.Expect(m.IdealGap.Seconds).To(BeZero(), "no request waits in the ideal schedule")
}

func TestRefusalsAreComparedWithUpstreamRuns(t *testing.T) {
	g := NewWithT(t)
	refused := func(name, outcome string) client.Result {
		return client.Result{Name: name, End: client.Refused, Reason: "queue-full", Outcome: outcome, RetryAfter: true}
	}
	completed := client.Result{Key: "k", End: client.Complete}
	sentTwice := refused("again", "not-run")
	sentTwice.Key = "k"
	unknown := refused("model", "not-run")
	unknown.Model = true
	r := newRun(onePhaseScenario(), refused("1", "not-run"), refused("2", "not-run"),
		refused("3", "may-have-run"), completed, sentTwice, unknown)
	r.UpstreamRuns.Plain = map[string]int{"2": 1, "3": 1, "k": 1}
	m := Compute(r)
	g.Expect(m.UntrueRefusals).To(Equal(1))
	g.Expect(m.Refusals).To(ConsistOf(
		Refusal{Reason: "queue-full", Outcome: "may-have-run", Count: 1, WithRetryAfter: 1},
		Refusal{Reason: "queue-full", Outcome: "not-run", Count: 4, Untrue: 1, Unchecked: 1, WithRetryAfter: 4},
	))
}

func TestDuplicateRunsAreThoseBeyondTheFirst(t *testing.T) {
	g := NewWithT(t)
	r := newRun(onePhaseScenario(), client.Result{Key: "k1"}, client.Result{Key: "k1"}, client.Result{Key: "k2"})
	r.UpstreamRuns.Plain = map[string]int{"k1": 3, "k2": 1, "of-another-run": 5}
	g.Expect(Compute(r).DuplicateRuns).To(Equal(2))
}
