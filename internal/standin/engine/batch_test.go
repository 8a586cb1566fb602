package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestPrefixCache(t *testing.T) {
	g := gomega.NewWithT(t)
	words := func(from, n int) string {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "w%d ", from+i)
		}
		return text.String()
	}
	cache := newPrefixCache(3)
	for _, step := range []struct {
		prompt string
		tokens int
		cached int
	}{
		{words(0, 40), 40, 0},
		{words(0, 40), 40, 32},
		{words(0, 16) + words(100, 16), 32, 16},
		{words(5, 16), 16, 0},
		// The cache holds three blocks, so the second block of the first prompt
		// has been evicted.
		{words(0, 40), 40, 16},
	} {
		tokens, cached := cache.lookupAndAdd(step.prompt)
		g.Expect([]int{tokens, cached}).To(gomega.Equal([]int{step.tokens, step.cached}), step.prompt)
	}
}

func TestIntervalGrowsWithBatch(t *testing.T) {
	now := time.Unix(0, 0)
	cases := []struct {
		name    string
		running int
		faults  Faults
		until   time.Time
		want    time.Duration
	}{
		{"one stream", 1, Faults{}, time.Time{}, 1125 * time.Microsecond},
		{"full", 4, Faults{}, time.Time{}, 1500 * time.Microsecond},
		{"twice too many", 8, Faults{}, time.Time{}, 3000 * time.Microsecond},
		{"slowed for good", 4, Faults{SlowFactor: 5}, time.Time{}, 7500 * time.Microsecond},
		{"slowed still", 4, Faults{SlowFactor: 5}, now.Add(1), 7500 * time.Microsecond},
		{"slowed before", 4, Faults{SlowFactor: 5}, now, 1500 * time.Microsecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBatch(testOptions)
			b.running = make([]*stream, c.running)
			b.faults, b.slowUntil = c.faults, c.until
			gomega.NewWithT(t).Expect(b.interval(now)).To(gomega.Equal(c.want))
		})
	}
}

func TestPrefillDelaysFirstToken(t *testing.T) {
	g := gomega.NewWithT(t)
	at := time.Unix(100, 0)
	s := &stream{length: 2, readyAt: at}
	g.Expect(s.step(at.Add(-1))).To(gomega.BeFalse())
	g.Expect(s.step(at)).To(gomega.BeTrue())
	g.Expect(s.phase).To(gomega.Equal(phaseRunning))
	g.Expect(s.step(at)).To(gomega.BeTrue())
	g.Expect(s.phase).To(gomega.Equal(phaseDone))
}

func TestStragglersTakeManySteps(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &stream{length: 1, stepsPerToken: 3}
	for _, want := range []bool{false, false, true} {
		g.Expect(s.step(time.Unix(1, 0))).To(gomega.Equal(want))
	}
	faults := Faults{StragglerPart: 0.25, StragglerFactor: 30}
	slow := 0
	for i := range 1000 {
		if faults.stepsPerToken(fmt.Sprint("stream-", i)) == 30 {
			slow++
		}
	}
	g.Expect(slow).To(gomega.BeNumerically("~", 250, 50))
	g.Expect(Faults{}.stepsPerToken("stream")).To(gomega.Equal(1))
}

func TestLoadReportLags(t *testing.T) {
	g := gomega.NewWithT(t)
	const lag = 10 * time.Second
	begin := time.Unix(1000, 0)
	var history loadHistory
	for i, running := range []int{1, 2, 3, 2} {
		history.record(begin.Add(time.Duration(i)*8*time.Second), running, lag)
	}
	// The report shows the size of the batch one lag earlier.
	g.Expect(history.sizeAt(begin.Add(24*time.Second - lag))).To(gomega.Equal(2))
	g.Expect(history.sizeAt(begin.Add(30*time.Second - lag))).To(gomega.Equal(3))
	g.Expect(history.sizeAt(begin.Add(60*time.Second - lag))).To(gomega.Equal(2))
	g.Expect(history.samples).To(gomega.HaveLen(3))
}
