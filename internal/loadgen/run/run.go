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
	// Ran holds what upstreams say they ran.
	Ran Ran `json:"ran"`
	// Notes are things that could not be done, such as a fault without means.
	Notes []string `json:"notes"`
	// SendLag is the longest time by which a request was sent too late.
	SendLag time.Duration `json:"send_lag"`
}

// maxInFlight bounds the requests that wait for an answer at a time; more are
// an error of the run and are noted.
const maxInFlight = 8_000

// Do runs a trace.
func Do(ctx context.Context, f *fleet.Fleet, t *trace.Trace, tokens client.Tokens) *Run {
	r := &runner{
		run:   &Run{Fleet: f, Trace: t, Results: make([]client.Result, len(t.Requests))},
		slots: make(chan struct{}, maxInFlight),
	}
	before := readAll(ctx, f)
	r.began = time.Now()
	r.client = client.New(r.began, tokens)
	defer r.client.Close()
	limit := t.Scenario.Duration() + t.Scenario.Drain
	callers, cancel := context.WithDeadline(ctx, r.began.Add(limit))
	defer cancel()

	r.faults.Go(func() { r.inject(ctx) })
	r.send(callers)
	r.answers.Wait()
	r.faults.Wait()

	r.run.Nodes = usage(before, readAll(ctx, f), time.Since(r.began))
	r.run.Ran = readRan(ctx, f)
	return r.run
}

type runner struct {
	run    *Run
	client *client.Client
	began  time.Time
	slots  chan struct{}
	// answers and faults are the requests and the events under way.
	answers sync.WaitGroup
	faults  sync.WaitGroup

	// mu guards the notes.
	mu sync.Mutex
}

func (r *runner) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, request := range r.run.Trace.Requests {
		timer.Reset(time.Until(r.began.Add(request.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			r.skip(i)
			continue
		}
		r.run.SendLag = max(r.run.SendLag, time.Since(r.began)-request.At)
		select {
		case r.slots <- struct{}{}:
		default:
			r.note("too many requests in flight; one was not sent")
			r.skip(i)
			continue
		}
		r.answers.Go(func() {
			addr := r.run.Fleet.Routers[request.Router].Addr
			r.run.Results[i] = r.client.Do(ctx, addr, r.run.Trace, request)
			<-r.slots
		})
	}
}

// skip records a request that was never sent.
func (r *runner) skip(i int) {
	request := r.run.Trace.Requests[i]
	r.run.Results[i] = client.Result{
		ID:           request.ID,
		Organisation: request.Organisation,
		Kind:         request.Kind,
		Phase:        request.Phase,
		Router:       request.Router,
		Intended:     request.At,
		Want:         request.Tokens,
		End:          client.Unanswered,
		Error:        "not sent",
	}
}

// maxNotes bounds the notes of a run.
const maxNotes = 50

func (r *runner) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	klog.Warningf("run: %s", text)
	if len(r.run.Notes) < maxNotes {
		r.run.Notes = append(r.run.Notes, text)
	}
}
