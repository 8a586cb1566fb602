// Package run sends the requests of a trace to a fleet, open loop: each at its
// intended time, however long earlier answers take.
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

// Run is everything that was seen in a run.
type Run struct {
	Fleet   *fleet.Fleet    `json:"fleet"`
	Trace   *trace.Trace    `json:"-"`
	Results []client.Result `json:"results"`
	// Nodes is what each router spent, in the order of the fleet file; a router
	// without metrics has a nil entry.
	Nodes []*Usage `json:"nodes"`
	// UpstreamRuns holds what upstreams say they ran.
	UpstreamRuns UpstreamRuns `json:"ran"`
	// Notes are things that could not be done, such as a fault without means.
	Notes []string `json:"notes"`
	// SendLag is the longest time by which a request was sent too late.
	SendLag time.Duration `json:"send_lag"`
}

// maxInFlight bounds the requests that wait for an answer at a time; more are
// an error of the run and are noted.
const maxInFlight = 8_000

// Do runs a trace.
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
	sendCtx, cancel := context.WithDeadline(ctx, r.start.Add(maxRunTime))
	defer cancel()

	r.faults.Go(func() { r.injectFaults(ctx) })
	r.sendAll(sendCtx)
	r.requests.Wait()
	r.faults.Wait()

	r.run.Nodes = usageBetween(before, readAllMetrics(ctx, f), time.Since(r.start))
	r.run.UpstreamRuns = readUpstreamRuns(ctx, f)
	return r.run
}

type runner struct {
	run      *Run
	client   *client.Client
	start    time.Time
	inFlight chan struct{}
	// requests and faults are the requests and the events under way.
	requests sync.WaitGroup
	faults   sync.WaitGroup

	// mu guards the notes.
	mu sync.Mutex
}

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

// recordNotSent records a request that was never sent.
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
		Error:          "not sent",
	}
}

// maxNotes bounds the notes of a run.
const maxNotes = 50

func (r *runner) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	klog.Warningf("run: %s", text)
	if len(r.run.Notes) < maxNotes {
		r.run.Notes = append(r.run.Notes, text)
	}
}
