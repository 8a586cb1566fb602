// Package run sends the requests of a trace to a fleet in an open loop: each
// request is sent at its intended time, regardless of how long earlier answers
// take.
package run

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

// Run holds everything that was recorded during a run.
type Run struct {
	Fleet   *fleet.Fleet    `json:"fleet"`
	Trace   *trace.Trace    `json:"-"`
	Results []client.Result `json:"results"`
	// RouterUsages holds the resource usage of each router, in the order of the fleet
	// file; nil for a router without metrics.
	RouterUsages []*Usage `json:"nodes"`
	// UpstreamRuns holds the runs that the upstreams report.
	UpstreamRuns UpstreamRuns `json:"ran"`
	// Notes lists what could not be done, such as faults that could not be
	// injected.
	Notes []string `json:"notes"`
	// SendLag is the longest delay between the intended and the actual send time
	// of a request.
	SendLag time.Duration `json:"send_lag"`
}

// maxInFlight limits the requests in flight. A request over the limit isn't sent,
// which is recorded in the notes.
const maxInFlight = 8_000

// Do sends the requests of a trace, injects the scenario's faults and returns what
// was recorded. It stops waiting for answers at the end of the scenario's drain
// time or when ctx is done.
func Do(ctx context.Context, f *fleet.Fleet, t *trace.Trace, tokens client.ExpectedTokens) *Run {
	r := &runner{
		run:      &Run{Fleet: f, Trace: t, Results: make([]client.Result, len(t.Requests))},
		inFlight: make(chan struct{}, maxInFlight),
	}
	before := readAllMetrics(ctx, f)
	r.start = time.Now()
	r.client = client.New(r.start, tokens)
	defer r.client.Close()
	maxRunTime := t.Scenario.Duration() + t.Scenario.Drain
	requestCtx, cancel := context.WithDeadline(ctx, r.start.Add(maxRunTime))
	defer cancel()

	r.faults.Go(func() { r.injectFaults(ctx) })
	r.sendAll(requestCtx)
	r.requests.Wait()
	r.faults.Wait()

	r.run.RouterUsages = usageBetween(before, readAllMetrics(ctx, f), time.Since(r.start))
	r.run.UpstreamRuns = readUpstreamRuns(ctx, f)
	return r.run
}

// runner is the state of a run in progress.
type runner struct {
	run      *Run
	client   *client.Client
	start    time.Time
	inFlight chan struct{}
	// requests and faults wait for the requests in flight and for the faults in
	// progress.
	requests sync.WaitGroup
	faults   sync.WaitGroup

	// mu guards run.Notes.
	mu sync.Mutex
}

// sendAll sends each request at its intended time, without waiting for answers.
func (r *runner) sendAll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, request := range r.run.Trace.Requests {
		timer.Reset(time.Until(r.start.Add(request.SendAt)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			r.recordNotSent(i)
			continue
		}
		r.run.SendLag = max(r.run.SendLag, time.Since(r.start)-request.SendAt)
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.addNote("too many requests in flight; one was not sent")
			r.recordNotSent(i)
			continue
		}
		r.requests.Go(func() {
			addr := r.run.Fleet.Routers[request.Router].Addr
			r.run.Results[i] = r.client.Do(ctx, addr, r.run.Trace, request)
			<-r.inFlight
		})
	}
}

// recordNotSent records the result of a request that was never sent.
func (r *runner) recordNotSent(i int) {
	request := r.run.Trace.Requests[i]
	r.run.Results[i] = client.Result{
		ID:             request.ID,
		Organisation:   request.Organisation,
		Kind:           request.Kind,
		Phase:          request.Phase,
		Router:         request.Router,
		IntendedSend:   request.SendAt,
		ExpectedTokens: request.Tokens,
		End:            client.Unanswered,
		Error:          "request was not sent",
	}
}

// maxNotes limits the number of notes of a run.
const maxNotes = 50

// addNote logs a note and adds it to the run's notes, up to maxNotes.
func (r *runner) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	klog.Warningf("run: %s", text)
	if len(r.run.Notes) < maxNotes {
		r.run.Notes = append(r.run.Notes, text)
	}
}
