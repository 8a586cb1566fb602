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

// newRun is a run on one engine of two slots that takes 10 ms for a token.
func newRun(s *scenario.Scenario, results ...client.Result) *run.Run {
	r := &run.Run{
		Fleet: &fleet.Fleet{
			Engines:   make([]fleet.Upstream, 1),
			Slots:     2,
			TokenTime: 10 * ms,
		},
		Trace:   &trace.Trace{Scenario: s, Tenants: []scenario.Tenant{{Name: "a", Share: 2}, {Name: "b", Share: 1}}},
		Results: results,
	}
	for _, result := range results {
		r.Trace.Requests = append(r.Trace.Requests, trace.Request{
			ID:           result.ID,
			At:           result.Intended,
			Organisation: result.Organisation,
			Tokens:       result.Want,
			Prompt:       result.Name,
		})
	}
	return r
}

// answer is a whole model answer whose tokens come evenly up to its end.
func answer(organisation int, intended, first time.Duration, tokens int) client.Result {
	r := client.Result{
		Organisation: organisation,
		Name:         "p",
		Model:        true,
		Intended:     intended,
		First:        first,
		Want:         tokens,
		End:          client.Whole,
	}
	for i := range tokens {
		r.Tokens = append(r.Tokens, first+time.Duration(i)*10*ms)
	}
	r.Last = r.Tokens[tokens-1]
	return r
}

func onePhase() *scenario.Scenario {
	return &scenario.Scenario{
		Phases: []scenario.Phase{{Name: "only", Duration: 2 * second}},
		Kinds:  []scenario.Kind{{Name: "short", Service: scenario.ModelService}},
	}
}

func TestGapCountsOnlyWhileBothWait(t *testing.T) {
	g := NewWithT(t)
	r := newRun(onePhase(),
		answer(0, 0, 2*second, 1), // waits from the begin to 2 s
		answer(1, 0, second, 1),   // waits from the begin to 1 s
		answer(0, 0, 10*ms, 150),  // receives 50 tokens a unit of share a second
	)
	m := Of(r)
	g.Expect(m.Gap.Ahead).To(Equal("a"))
	g.Expect(m.Gap.Behind).To(Equal("b"))
	g.Expect(m.Gap.Seconds).To(BeNumerically("~", 0.8, 0.11))
	g.Expect(m.Gap.Largest).To(BeNumerically("~", 40, 5))
}

func TestGapIsZeroWhenServiceFollowsTheShares(t *testing.T) {
	g := NewWithT(t)
	s := onePhase()
	s.GapBound = 10
	r := newRun(s,
		answer(0, 0, 2*second, 1), answer(1, 0, 2*second, 1),
		answer(0, 0, 10*ms, 150), answer(0, 0, 10*ms, 150), answer(1, 0, 10*ms, 150),
	)
	m := Of(r)
	g.Expect(m.Gap.Largest).To(BeNumerically("<", 0.5))
	g.Expect(m.Gap.OverBound).To(BeNumerically("<", 0.05))
}

func TestUseIsOverTheCapacityWhileWorkWaits(t *testing.T) {
	g := NewWithT(t)
	// One of two slots is used while a request waits for a second.
	m := Of(newRun(onePhase(), answer(0, 0, 5*ms, 300), answer(1, 0, second+10*ms, 1)))
	g.Expect(m.Use.Seconds).To(BeNumerically("~", 0.9, 0.01))
	g.Expect(m.Use.Fraction).To(BeNumerically("~", 0.5, 0.01))
}

func TestWaitCountsFromTheIntendedTime(t *testing.T) {
	g := NewWithT(t)
	m := Of(newRun(onePhase(), answer(0, 100*ms, 310*ms, 2)))
	g.Expect(m.Phases).To(HaveLen(1))
	g.Expect(m.Phases[0].Wait.P99).To(BeNumerically("~", 200, 1))
	g.Expect(m.Phases[0].Answer.P99).To(BeNumerically("~", 220, 1))
}

func TestCrestIsComparedWithTheIdeal(t *testing.T) {
	g := NewWithT(t)
	s := onePhase()
	s.Crest = "only"
	// Two answers run one after the other although two slots are free.
	m := Of(newRun(s, answer(0, 0, 10*ms, 150), answer(1, 0, 1510*ms, 150)))
	g.Expect(m.Crest.IdealTokens).To(Equal(300.0))
	g.Expect(m.Crest.Served).To(BeNumerically("~", 199.0/300, 0.01))
	g.Expect(m.Crest.IdealWait.Max).To(BeNumerically("<", 1))
	g.Expect(m.IdealGap.Seconds).To(BeZero(), "nothing waits in the ideal")
}

func TestRefusalsAreComparedWithWhatRan(t *testing.T) {
	g := NewWithT(t)
	refused := func(name, outcome string) client.Result {
		return client.Result{Name: name, End: client.Refused, Reason: "queue-full", Outcome: outcome, RetryAfter: true}
	}
	again := client.Result{Key: "k", End: client.Whole}
	sentTwice := refused("again", "not-run")
	sentTwice.Key = "k"
	unknown := refused("model", "not-run")
	unknown.Model = true
	r := newRun(onePhase(), refused("1", "not-run"), refused("2", "not-run"),
		refused("3", "may-have-run"), again, sentTwice, unknown)
	r.Ran.Plain = map[string]int{"2": 1, "3": 1, "k": 1}
	m := Of(r)
	g.Expect(m.Untrue).To(Equal(1))
	g.Expect(m.Refusals).To(ConsistOf(
		Refusal{Reason: "queue-full", Outcome: "may-have-run", Count: 1, WithRetryAfter: 1},
		Refusal{Reason: "queue-full", Outcome: "not-run", Count: 4, Untrue: 1, Unchecked: 1, WithRetryAfter: 4},
	))
}

func TestDoubledCountsRunsBeyondTheFirst(t *testing.T) {
	g := NewWithT(t)
	r := newRun(onePhase(), client.Result{Key: "k1"}, client.Result{Key: "k1"}, client.Result{Key: "k2"})
	r.Ran.Plain = map[string]int{"k1": 3, "k2": 1, "of-another-run": 5}
	g.Expect(Of(r).Doubled).To(Equal(2))
}
