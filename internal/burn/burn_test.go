package burn

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

var (
	noon     = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC)
	model    = config.Objectives{FirstToken: time.Second, TokenGap: 42 * time.Millisecond, Target: 0.9}
	query    = Query{Windows: []int{5, 60}}
	fiddlers = Key{Service: "assistant", Organisation: "fiddlers"}
	drummers = Key{Service: "assistant", Organisation: "drummers"}
)

func recordServed(l *Ledger, at time.Time, k Key, wait, first time.Duration) {
	l.RecordLatency(at, k, WaitLatency, wait, model)
	l.RecordLatency(at, k, FirstByteLatency, first, model)
	l.RecordLatency(at, k, AnswerLatency, first+time.Second, model)
}

func mergedReport(t *testing.T, at time.Time, ledgers ...*Ledger) Report {
	t.Helper()
	g := gomega.NewWithT(t)
	m := NewMerger(at, query)
	for i, l := range ledgers {
		doc, err := l.Document(at, query)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		data, err := doc.Pack()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		doc, err = Unpack(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		m.Add(fmt.Sprintf("r%d", i+1), &doc)
	}
	return m.Report(map[string]config.Objectives{"assistant": model})
}

func TestBurnIsComputedByWindowOverAllRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := New(noon), New(noon)
	for range 8 {
		recordServed(a, noon, fiddlers, 0, 100*time.Millisecond)
	}
	recordServed(b, noon, fiddlers, 3*time.Second, 4*time.Second)
	recordServed(b, noon.Add(10*time.Minute), fiddlers, 0, time.Second)

	r := mergedReport(t, noon.Add(11*time.Minute), a, b)
	first := r.Services[0].Objectives[0]
	g.Expect(first.Signal).To(gomega.Equal("first token"))
	g.Expect(first.Windows[0].Count).To(gomega.Equal(Count{Total: 1}), "a latency equal to the bound meets the objective")
	g.Expect(first.Windows[1].Count).To(gomega.Equal(Count{Total: 10, Bad: 1}))
	g.Expect(first.Windows[1].Rate).To(gomega.BeNumerically("~", 1, 1e-9))
	g.Expect(first.BudgetLeft).To(gomega.BeNumerically("~", 0, 1e-9))
	g.Expect(r.Services[0].Latencies[0].Count).To(gomega.BeEquivalentTo(10))
	g.Expect(r.Organisations).To(gomega.HaveLen(1))
	g.Expect(r.Worst).To(gomega.ConsistOf(WorstMinute{
		Key: fiddlers, Start: noon.Truncate(time.Minute), Bad: 1, Cause: CauseWaiting,
	}))
}

func TestRatesUseASlidingWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(noon)
	recordServed(l, noon, fiddlers, 0, 2*time.Second)
	recordServed(l, noon.Add(2*time.Minute), fiddlers, 0, time.Millisecond)
	s := mergedReport(t, noon.Add(7*time.Minute), l).Services[0]
	var rates []float64
	for _, p := range s.Rates(FirstToken, noon.Add(7*time.Minute)) {
		rates = append(rates, math.Round(p.Rate))
	}
	g.Expect(rates).To(gomega.Equal([]float64{10, 10, 5, 5, 5, 0, 0, 0}))
	g.Expect(s.Rates(Answer, noon)).To(gomega.BeEmpty(), "the service has no such objective")
}

func TestCauseOfAMinute(t *testing.T) {
	rows := []struct {
		name   string
		record func(*Ledger)
		want   Cause
	}{
		{"most of the time was the wait for a slot", func(l *Ledger) { recordServed(l, noon, fiddlers, time.Second, 2*time.Second) }, CauseWaiting},
		{"most of the time was spent at the upstream", func(l *Ledger) { recordServed(l, noon, fiddlers, 0, 2*time.Second) }, CauseSlow},
		{"long gaps between tokens", func(l *Ledger) { l.RecordLatency(noon, fiddlers, TokenGapLatency, time.Second, model) }, CauseSlow},
		{"retried", func(l *Ledger) {
			l.RecordRetry(noon, fiddlers)
			recordServed(l, noon, fiddlers, 0, 2*time.Second)
		}, CauseRetried},
		{"refusals, by their most frequent reason", func(l *Ledger) {
			l.RecordRefusal(noon, fiddlers, core.ReasonNoUpstream)
			l.RecordRefusal(noon, fiddlers, core.ReasonQueueFull)
			l.RecordRefusal(noon, fiddlers, core.ReasonQueueFull)
			recordServed(l, noon, fiddlers, 0, 2*time.Second)
		}, CauseRefused + "queue-full"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l := New(noon)
			row.record(l)
			r := mergedReport(t, noon, l)
			gomega.NewWithT(t).Expect(r.Worst[0].Cause).To(gomega.Equal(row.want))
		})
	}
}

func TestCallerFaultsAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(noon)
	l.RecordRefusal(noon, fiddlers, core.ReasonForbidden)
	l.RecordRefusal(noon, drummers, core.ReasonCallerGone)
	g.Expect(mergedReport(t, noon, l).Services).To(gomega.BeEmpty())
}

func TestMissingRoutersAndInvalidDocumentsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMerger(noon, query)
	m.AddMissing("r1", errors.New("did not answer"))
	m.Add("r2", &Document{Taken: noon, Accounts: []AccountDocument{{Key: fiddlers}}})
	m.Add("r3", &Document{Taken: noon, Services: []ServiceDocument{{
		Name: "assistant", Windows: make([][numSignals]Count, 2), EncodedHistograms: [numKinds]string{"no histogram"},
	}}})
	m.Add("r4", &Document{Taken: noon.Add(time.Hour)})
	m.Add("r5", &Document{Taken: noon, Services: []ServiceDocument{{
		Name: "assistant", Windows: make([][numSignals]Count, 2), Minutes: []Minute{{At: 1}},
	}}})
	r := m.Report(nil)
	g.Expect(r.Routers).To(gomega.HaveLen(5))
	for _, part := range r.Routers {
		g.Expect(part.Error).NotTo(gomega.BeEmpty(), part.Router)
	}
	g.Expect(r.Services).To(gomega.BeEmpty(), "nothing of an invalid document is added")
}

func TestAccountsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(noon, 20, 1000)
	for i := range 25 {
		recordServed(l, noon, Key{"assistant", fmt.Sprint(i)}, 0, time.Second)
	}
	g.Expect(l.accounts.Len()).To(gomega.Equal(20))
	g.Expect(l.DroppedAccounts()).To(gomega.BeEquivalentTo(5))
	g.Expect(l.minutes).To(gomega.Equal(20))
}

func TestOldestMinutesAreDroppedAtTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	const organisations, most = 10, 600
	l := newLedger(noon, organisations, most)
	for minute := range 2 * MinutesKept {
		now := noon.Add(time.Duration(minute) * time.Minute)
		for i := range organisations {
			l.RecordLatency(now, Key{"assistant", fmt.Sprint(i)}, TokenGapLatency, time.Second, model)
		}
		g.Expect(l.minutes).To(gomega.BeNumerically("<=", most))
	}
	sum := 0
	for _, s := range l.accounts.Values() {
		sum += len(s.minutes)
		g.Expect(len(s.minutes)).To(gomega.BeNumerically(">=", 40), "the latest minutes are kept")
	}
	g.Expect(l.minutes).To(gomega.Equal(sum))
	g.Expect(l.DroppedAccounts()).To(gomega.BeZero())
	g.Expect(l.services["assistant"].minutes).To(gomega.HaveLen(MinutesKept), "minutes of services are not dropped to bound memory")

	end := noon.Add((2*MinutesKept - 1) * time.Minute)
	r := mergedReport(t, end, l)
	g.Expect(r.Routers[0].Since.After(noon)).To(gomega.BeTrue())
	first := l.accounts.Values()[0].minutes[0]
	g.Expect(*r.Routers[0].Since).To(gomega.Equal(first.Start()))
}

func TestQuestionCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, windows := range [][]int{nil, {0}, {MinutesKept + 1}, {1, 2, 3, 4, 5, 6, 7}} {
		g.Expect(Query{Windows: windows}.Check()).NotTo(gomega.Succeed(), "%v", windows)
	}
	g.Expect(query.Check()).To(gomega.Succeed())
}

// BenchmarkDocument reports the size of a router's packed document when 3,400
// organisations have sent it requests.
func BenchmarkDocument(b *testing.B) {
	l := New(noon)
	for i := range 3400 {
		for m := range 10 {
			recordServed(l, noon.Add(time.Duration(m)*time.Minute), Key{"assistant", fmt.Sprintf("org-%04d", i)}, 0, time.Duration(i)*time.Millisecond)
		}
	}
	size := 0
	for b.Loop() {
		doc, err := l.Document(noon.Add(10*time.Minute), Query{Windows: []int{5, 60, 360}})
		if err != nil {
			b.Fatal(err)
		}
		data, err := doc.Pack()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/document")
}
