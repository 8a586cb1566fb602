package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/relay"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// injectFaults injects the scenario's faults, each at its time. A fault that could
// not be injected is recorded in the notes.
func (r *runner) injectFaults(ctx context.Context) {
	for _, event := range r.run.Trace.Scenario.Events {
		sleep(ctx, time.Until(r.start.Add(event.At)))
		if ctx.Err() != nil {
			return
		}
		if err := r.injectFault(ctx, event); err != nil {
			r.addNote(fmt.Sprintf("%s at %s: %v", event.Action, event.At, err))
		}
	}
}

func (r *runner) injectFault(ctx context.Context, event scenario.Event) error {
	switch event.Action {
	case scenario.Slow:
		return r.slowEngines(ctx, event)
	case scenario.Kill:
		return r.killRouters(event)
	default:
		return r.partitionDomains(ctx, event)
	}
}

// partitionDomains isolates the failure domains of the target routers through the
// fleet's relays for the event's duration. Connections of callers and to upstreams
// don't go through relays, so the partition doesn't affect them.
func (r *runner) partitionDomains(ctx context.Context, event scenario.Event) error {
	f := r.run.Fleet
	if f.Relay == "" {
		return errors.New("the fleet has no relays that could cut a failure domain off; not done")
	}
	var cut relay.CutRequest
	for _, target := range event.Targets {
		if target < 0 || target >= len(f.Routers) {
			return errors.Errorf("there is no router %d", target)
		}
		cut.Domains = append(cut.Domains, f.Routers[target].Domain)
	}
	url := "http://" + f.Relay + "/cut"
	if err := postJSON(ctx, url, cut); err != nil {
		return err
	}
	r.faults.Go(func() {
		sleep(ctx, event.Duration)
		if err := postJSON(context.WithoutCancel(ctx), url, relay.CutRequest{}); err != nil {
			r.addNote(fmt.Sprintf("rejoin: %v", err))
		}
	})
	return nil
}

// sleep blocks for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// slowRequest is the body that makes a stand-in engine slow for a limited time.
type slowRequest struct {
	Factor float64 `json:"slow_factor"`
	Millis int64   `json:"slow_for_ms"`
}

// slowEngines makes the target engines slow over their control addresses.
func (r *runner) slowEngines(ctx context.Context, event scenario.Event) error {
	for _, target := range event.Targets {
		if target < 0 || target >= len(r.run.Fleet.Engines) {
			return errors.Errorf("there is no engine %d", target)
		}
		url := r.run.Fleet.Engines[target].ControlURL("/faults")
		request := slowRequest{Factor: event.Factor, Millis: event.Duration.Milliseconds()}
		if err := postJSON(ctx, url, request); err != nil {
			return err
		}
	}
	return nil
}

// killRouters sends SIGKILL to the target routers, by the process ids in their PID
// files. It doesn't start them again; scripts/fleet.sh does so on request.
func (r *runner) killRouters(event scenario.Event) error {
	for _, target := range event.Targets {
		if target < 0 || target >= len(r.run.Fleet.Routers) {
			return errors.Errorf("there is no router %d", target)
		}
		pid, err := readPID(r.run.Fleet.Routers[target].PIDFile)
		if err != nil {
			return err
		}
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			return errors.Wrapf(err, "kill %d", pid)
		}
	}
	return nil
}

func readPID(path string) (int, error) {
	if path == "" {
		return 0, errors.New("the router has no file with a process id")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "read process id")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid <= 1 {
		return 0, errors.Errorf("%s holds no process id", path)
	}
	return pid, nil
}

// postJSON sends a body as JSON and returns an error for any status that isn't a
// success.
func postJSON(ctx context.Context, url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "make order")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return errors.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
