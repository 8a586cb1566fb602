package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/ideal"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// Ideal is the central queue's schedule of the model requests of a run.
type Ideal struct {
	// Results holds the positions of the model requests in the run's results.
	Results []int
	Jobs    []ideal.Job
	Served  []ideal.Served
}

// IdealOf schedules the model requests of a run on one central queue that has
// all slots of the fleet at their full speed.
func IdealOf(r *run.Run) Ideal {
	var out Ideal
	for i, request := range r.Trace.Requests {
		if request.Prompt == "" {
			continue
		}
		out.Results = append(out.Results, i)
		out.Jobs = append(out.Jobs, ideal.Job{
			At:           request.At,
			Organisation: request.Organisation,
			Tokens:       request.Tokens,
		})
	}
	settings := ideal.Settings{
		Slots:     r.Fleet.TotalSlots(),
		TokenTime: r.Fleet.TokenTime,
		Shares:    shares(r.Trace.Tenants),
	}
	out.Served = ideal.Schedule(out.Jobs, settings)
	return out
}

func shares(tenants []scenario.Tenant) []int {
	all := make([]int, len(tenants))
	for i, t := range tenants {
		all[i] = t.Share
	}
	return all
}

// idealRun is what callers would have seen of the model requests if the central
// queue had served them.
func idealRun(r *run.Run) *run.Run {
	central := IdealOf(r)
	out := &run.Run{Fleet: r.Fleet, Trace: r.Trace}
	for i, at := range central.Results {
		out.Results = append(out.Results, idealResult(r.Results[at], central.Served[i], r.Fleet.TokenTime))
	}
	return out
}

func idealResult(seen client.Result, served ideal.Served, tokenTime time.Duration) client.Result {
	result := client.Result{
		Organisation: seen.Organisation,
		Intended:     seen.Intended,
		Model:        true,
		Want:         seen.Want,
		First:        served.Begin + tokenTime,
		Last:         served.End,
		End:          client.Whole,
	}
	for i := range seen.Want {
		result.Tokens = append(result.Tokens, served.Begin+time.Duration(i+1)*tokenTime)
	}
	return result
}
