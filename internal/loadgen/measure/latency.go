package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/ideal"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Percentiles are in milliseconds and count from the intended time of sending.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Phase is what a kind of request met in one phase.
type Phase struct {
	Phase string `json:"phase"`
	Kind  string `json:"kind"`
	Sent  int    `json:"sent"`
	Whole int    `json:"whole"`
	// Wait is the time until a slot was had, Answer until the end.
	Wait   Percentiles `json:"wait"`
	Answer Percentiles `json:"answer"`
}

// Crest is how the phase of highest demand went, beside the ideal.
type Crest struct {
	// Served is the tokens delivered during the phase over what the ideal
	// delivers.
	Served      float64     `json:"served_over_ideal"`
	Tokens      float64     `json:"tokens"`
	IdealTokens float64     `json:"ideal_tokens"`
	Wait        Percentiles `json:"wait"`
	IdealWait   Percentiles `json:"ideal_wait"`
	// P95Ratio is the p95 wait over the ideal's.
	P95Ratio float64 `json:"p95_over_ideal"`
}

// Contrast is the p99 answer time of one kind in one phase over another.
type Contrast struct {
	Kind    string  `json:"kind"`
	With    float64 `json:"p99_with_ms"`
	Without float64 `json:"p99_without_ms"`
	Ratio   float64 `json:"ratio"`
}

// Range and precision of the histograms, in microseconds.
const (
	lowest    = 1
	highest   = int64(time.Hour / time.Microsecond)
	precision = 3
)

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowest, highest, precision)}
}

func (h histogram) add(d time.Duration) {
	// The value is in range by construction, so that no error can come.
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (h histogram) percentiles() Percentiles {
	if h.h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.h.ValueAtQuantile(q)) }
	return Percentiles{
		Count: h.h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   milliseconds(h.h.Max()),
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// wait is how long a whole answer's request waited for a slot.
func wait(r client.Result, tokenTime time.Duration) time.Duration {
	if !r.Model {
		tokenTime = 0
	}
	return max(0, r.First-r.Intended-tokenTime)
}

func phases(r *run.Run) []Phase {
	s := r.Trace.Scenario
	var rows []Phase
	for p := range s.Phases {
		for k := range s.Kinds {
			if row := phase(r, p, k); row.Sent > 0 {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func phase(r *run.Run, p, k int) Phase {
	s := r.Trace.Scenario
	row := Phase{Phase: s.Phases[p].Name, Kind: s.Kinds[k].Name}
	waits, answers := newHistogram(), newHistogram()
	for _, result := range r.Results {
		if result.Phase != p || result.Kind != k {
			continue
		}
		row.Sent++
		if result.End != client.Whole {
			continue
		}
		row.Whole++
		waits.add(wait(result, r.Fleet.TokenTime))
		answers.add(result.Last - result.Intended)
	}
	row.Wait, row.Answer = waits.percentiles(), answers.percentiles()
	return row
}

func crest(r *run.Run) *Crest {
	begin, end, ok := r.Trace.Scenario.Window(r.Trace.Scenario.Crest)
	if !ok {
		return nil
	}
	central := IdealOf(r)
	c := &Crest{
		IdealTokens: ideal.Work(central.Jobs, central.Served, begin, end, r.Fleet.TokenTime),
	}
	waits, best := newHistogram(), newHistogram()
	for i, at := range central.Results {
		result := r.Results[at]
		c.Tokens += float64(tokensIn(result.Tokens, begin, end))
		if result.Intended < begin || result.Intended >= end {
			continue
		}
		best.add(central.Served[i].Begin - result.Intended)
		if result.End == client.Whole {
			waits.add(wait(result, r.Fleet.TokenTime))
		}
	}
	c.Wait, c.IdealWait = waits.percentiles(), best.percentiles()
	c.Served = ratio(c.Tokens, c.IdealTokens)
	c.P95Ratio = ratio(c.Wait.P95, c.IdealWait.P95)
	return c
}

func tokensIn(times []time.Duration, begin, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= begin && at < end {
			n++
		}
	}
	return n
}

func contrast(r *run.Run) *Contrast {
	s := r.Trace.Scenario
	if s.Contrast == nil {
		return nil
	}
	c := &Contrast{Kind: s.Contrast.Kind}
	for _, row := range phases(r) {
		if row.Kind != c.Kind {
			continue
		}
		switch row.Phase {
		case s.Contrast.With:
			c.With = row.Answer.P99
		case s.Contrast.Without:
			c.Without = row.Answer.P99
		}
	}
	c.Ratio = ratio(c.With, c.Without)
	return c
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
