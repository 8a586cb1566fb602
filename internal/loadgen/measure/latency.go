package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/ideal"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Percentiles summarises the distribution of a duration in milliseconds. Durations
// start at the intended send time, so that a late send doesn't hide waiting time.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Phase holds the results of one kind of request in one phase.
type Phase struct {
	Phase    string `json:"phase"`
	Kind     string `json:"kind"`
	Sent     int    `json:"sent"`
	Complete int    `json:"whole"`
	// Wait is the time until the request got a slot, Answer the time until the end
	// of the answer; both are of complete answers only.
	Wait   Percentiles `json:"wait"`
	Answer Percentiles `json:"answer"`
}

// Peak compares the phase with the highest demand with the ideal schedule.
type Peak struct {
	// Served is the number of tokens delivered during the phase divided by that of
	// the ideal schedule.
	Served      float64     `json:"served_over_ideal"`
	Tokens      float64     `json:"tokens"`
	IdealTokens float64     `json:"ideal_tokens"`
	Wait        Percentiles `json:"wait"`
	IdealWait   Percentiles `json:"ideal_wait"`
	// P95Ratio is the p95 wait divided by that of the ideal schedule.
	P95Ratio float64 `json:"p95_over_ideal"`
}

// Contrast compares the p99 answer time of one kind of request between two phases.
// Ratio is With divided by Without.
type Contrast struct {
	Kind    string  `json:"kind"`
	With    float64 `json:"p99_with_ms"`
	Without float64 `json:"p99_without_ms"`
	Ratio   float64 `json:"ratio"`
}

// Range of the histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (h histogram) percentiles() Percentiles {
	if h.h.TotalCount() == 0 {
		return Percentiles{}
	}
	quantile := func(q float64) float64 { return milliseconds(h.h.ValueAtQuantile(q)) }
	return Percentiles{
		Count: h.h.TotalCount(),
		P50:   quantile(50),
		P95:   quantile(95),
		P99:   quantile(99),
		Max:   milliseconds(h.h.Max()),
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// slotWait returns how long a request with a complete answer waited for a slot. A
// model request gets its slot one token time before its first token.
func slotWait(r client.Result, tokenTime time.Duration) time.Duration {
	if !r.Model {
		tokenTime = 0
	}
	return max(0, r.FirstByteAt-r.IntendedSend-tokenTime)
}

// measurePhases returns the results of every phase and kind for which requests were
// sent.
func measurePhases(r *run.Run) []Phase {
	s := r.Trace.Scenario
	var rows []Phase
	for p := range s.Phases {
		for k := range s.Kinds {
			if row := measurePhase(r, p, k); row.Sent > 0 {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func measurePhase(r *run.Run, p, k int) Phase {
	s := r.Trace.Scenario
	row := Phase{Phase: s.Phases[p].Name, Kind: s.Kinds[k].Name}
	waits, answers := newHistogram(), newHistogram()
	for _, result := range r.Results {
		if result.Phase != p || result.Kind != k {
			continue
		}
		row.Sent++
		if result.End != client.Complete {
			continue
		}
		row.Complete++
		waits.add(slotWait(result, r.Fleet.TokenTime))
		answers.add(result.EndedAt - result.IntendedSend)
	}
	row.Wait, row.Answer = waits.percentiles(), answers.percentiles()
	return row
}

// measurePeak returns nil if the scenario has no peak phase.
func measurePeak(r *run.Run) *Peak {
	begin, end, ok := r.Trace.Scenario.Window(r.Trace.Scenario.PeakPhase)
	if !ok {
		return nil
	}
	schedule := ScheduleIdeal(r)
	p := &Peak{
		IdealTokens: ideal.TokensServed(schedule.Jobs, schedule.Executions, begin, end, r.Fleet.TokenTime),
	}
	waits, idealWaits := newHistogram(), newHistogram()
	for i, index := range schedule.ResultIndexes {
		result := r.Results[index]
		p.Tokens += float64(tokensIn(result.TokenTimes, begin, end))
		if result.IntendedSend < begin || result.IntendedSend >= end {
			continue
		}
		idealWaits.add(schedule.Executions[i].Begin - result.IntendedSend)
		if result.End == client.Complete {
			waits.add(slotWait(result, r.Fleet.TokenTime))
		}
	}
	p.Wait, p.IdealWait = waits.percentiles(), idealWaits.percentiles()
	p.Served = ratio(p.Tokens, p.IdealTokens)
	p.P95Ratio = ratio(p.Wait.P95, p.IdealWait.P95)
	return p
}

// tokensIn returns the number of times in [begin, end).
func tokensIn(times []time.Duration, begin, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= begin && at < end {
			n++
		}
	}
	return n
}

// measureContrast returns nil if the scenario asks for no comparison of phases.
func measureContrast(r *run.Run) *Contrast {
	s := r.Trace.Scenario
	if s.Contrast == nil {
		return nil
	}
	c := &Contrast{Kind: s.Contrast.Kind}
	for _, row := range measurePhases(r) {
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

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
