package measure

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/ideal"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// Ideal is the ideal schedule of the model requests of a run. Its slices are parallel.
type Ideal struct {
	// ResultIndexes holds the indexes of the model requests in the run's results.
	ResultIndexes []int
	Jobs          []ideal.Job
	Executions    []ideal.Execution
}

// ScheduleIdeal schedules the model requests of a run on one central fair queue that
// owns all slots of the fleet, at the engines' full speed.
func ScheduleIdeal(r *run.Run) Ideal {
	var schedule Ideal
	for i, request := range r.Trace.Requests {
		if request.Prompt == "" {
			continue
		}
		schedule.ResultIndexes = append(schedule.ResultIndexes, i)
		schedule.Jobs = append(schedule.Jobs, ideal.Job{
			Arrival:      request.SendAt,
			Organisation: request.Organisation,
			Tokens:       request.Tokens,
		})
	}
	settings := ideal.Settings{
		Slots:     r.Fleet.TotalSlots(),
		TokenTime: r.Fleet.TokenTime,
		Shares:    shares(r.Trace.Organisations),
	}
	schedule.Executions = ideal.Schedule(schedule.Jobs, settings)
	return schedule
}

func shares(organisations []scenario.Organisation) []int {
	list := make([]int, len(organisations))
	for i, org := range organisations {
		list[i] = org.Share
	}
	return list
}

// runOnIdeal returns the results that callers would have seen for the model requests
// under the ideal schedule.
func runOnIdeal(r *run.Run) *run.Run {
	schedule := ScheduleIdeal(r)
	idealRun := &run.Run{Fleet: r.Fleet, Trace: r.Trace}
	for i, index := range schedule.ResultIndexes {
		idealRun.Results = append(idealRun.Results, idealResult(r.Results[index], schedule.Executions[i], r.Fleet.TokenTime))
	}
	return idealRun
}

// idealResult returns the result of one request under the ideal schedule.
func idealResult(actual client.Result, execution ideal.Execution, tokenTime time.Duration) client.Result {
	result := client.Result{
		Organisation:   actual.Organisation,
		IntendedSend:   actual.IntendedSend,
		Model:          true,
		ExpectedTokens: actual.ExpectedTokens,
		FirstByteAt:    execution.Begin + tokenTime,
		EndedAt:        execution.End,
		End:            client.Complete,
	}
	for i := range actual.ExpectedTokens {
		result.TokenTimes = append(result.TokenTimes, execution.Begin+time.Duration(i+1)*tokenTime)
	}
	return result
}
