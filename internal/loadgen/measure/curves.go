package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/ideal"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
)

// Curves holds the data of the plots, in windows of Step.
type Curves struct {
	StepMillis int64 `json:"step_ms"`
	// Organisations holds the names of the organisations in Service.
	Organisations []string `json:"organisations"`
	// Service is the cumulative normalised service of each organisation up to the end
	// of each window, in tokens per unit of share.
	Service [][]float64 `json:"service"`
	// Demand is the offered load, Served the delivered tokens and Ideal the tokens
	// of the ideal schedule in each window, all in tokens per second.
	Demand []float64 `json:"demand"`
	Served []float64 `json:"served"`
	Ideal  []float64 `json:"ideal"`
}

// ComputeCurves computes the curves of a run.
func ComputeCurves(r *run.Run) *Curves {
	series := NewSeries(r)
	schedule := ScheduleIdeal(r)
	c := &Curves{
		StepMillis:    Step.Milliseconds(),
		Organisations: series.names,
	}
	for _, service := range series.Service {
		c.Service = append(c.Service, cumulative(service))
	}
	for k, tokens := range series.Tokens {
		begin := time.Duration(k) * Step
		work := ideal.TokensServed(schedule.Jobs, schedule.Executions, begin, begin+Step, r.Fleet.TokenTime)
		c.Demand = append(c.Demand, r.Trace.OfferedTokens(begin, begin+Step)/Step.Seconds())
		c.Served = append(c.Served, tokens/Step.Seconds())
		c.Ideal = append(c.Ideal, work/Step.Seconds())
	}
	return c
}

func cumulative(values []float64) []float64 {
	sums := make([]float64, len(values))
	sum := 0.0
	for i, v := range values {
		sum += v
		sums[i] = sum
	}
	return sums
}
