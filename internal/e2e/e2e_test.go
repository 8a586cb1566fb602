package e2e

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
)

const (
	// longAnswer is the number of tokens of a stream that is still in flight when a
	// fault is injected, shortAnswer that of a stream that ends quickly.
	longAnswer  = 150
	shortAnswer = 5
	// startedTokens is the number of tokens after which an engine's streams count as
	// started.
	startedTokens = 20
	// operationCount is the number of operations in flight when a fault is injected.
	operationCount = 24
)

// TestDrainCutsNoAnswer sends SIGTERM to a router while streams run through it.
// The router must deliver all of them completely before it exits.
func TestDrainCutsNoAnswer(t *testing.T) {
	f := newFleet(t)
	streams := f.startLongStreams()
	f.routers[0].signal(t, syscall.SIGTERM)
	others := f.startShortStreams(1, 2)
	for _, r := range append(collect(streams), collect(others)...) {
		if r.End != client.Complete {
			t.Errorf("%s through r%d ended %s: %s", r.Name, r.Router, r.End, r.Error)
		}
	}
	<-f.routers[0].done
	if err := f.routers[0].err; err != nil {
		t.Errorf("the drained router exited with an error: %v", err)
	}
	f.checkServes(1, 2)
}

// TestKillDoublesNothing kills a router while at-most-once operations run through
// it, and resends all of them through another router. No operation may run twice.
func TestKillDoublesNothing(t *testing.T) {
	f := newFleet(t)
	pending := f.startOperations()
	f.awaitFirstRun()
	f.routers[0].signal(t, syscall.SIGKILL)
	<-f.routers[0].done
	collect(pending)
	f.resendOperations(1)
	f.checkAtMostOnce()
	f.checkServes(1, 2)
}

// TestPauseDoublesNothing pauses a router with SIGSTOP until the others consider it
// dead, resends its at-most-once operations through another router, and resumes
// it. No operation may run twice.
func TestPauseDoublesNothing(t *testing.T) {
	f := newFleet(t)
	pending := f.startOperations()
	f.awaitFirstRun()
	f.routers[0].signal(t, syscall.SIGSTOP)
	await(t, "the others consider the stopped router dead", func() bool { return f.aliveRouters(1) == routerCount-1 })
	f.resendOperations(1)
	f.routers[0].signal(t, syscall.SIGCONT)
	collect(pending)
	await(t, "all routers are alive again", func() bool { return f.aliveRouters(1) == routerCount })
	f.checkAtMostOnce()
	f.checkServes(0, 1, 2)
}

// TestKilledEngineLeavesNoShortAnswer kills the engines one after another while
// they stream. An answer must be complete or end in an explicit error, never look
// complete when it is not. Some must be complete as long as an engine is left, and
// some must fail once none is.
func TestKilledEngineLeavesNoShortAnswer(t *testing.T) {
	f := newFleet(t)
	for i, p := range f.engines {
		before := f.generatedTokens(i)
		streams := f.startLongStreams()
		await(t, "the engine generates tokens", func() bool { return f.generatedTokens(i) > before+startedTokens })
		p.signal(t, syscall.SIGKILL)
		<-p.done
		ends := f.checkExplicitEnds(streams)
		t.Logf("after %s was killed: %v", p.name, ends)
		if last := i == len(f.engines)-1; last && ends[client.Failed] == 0 {
			t.Error("no stream ended in an explicit error, although no engine was left")
		} else if !last && ends[client.Complete] == 0 {
			t.Error("no stream was complete, although an engine was left")
		}
	}
}

// checkExplicitEnds checks that no stream ended as Truncated, Mismatched or
// Unanswered, and that each failed one has outcome and reason. It counts the streams
// by how they ended.
func (f *fleet) checkExplicitEnds(streams []<-chan client.Result) map[client.End]int {
	f.t.Helper()
	ends := make(map[client.End]int)
	for _, r := range collect(streams) {
		ends[r.End]++
		if r.End == client.Truncated || r.End == client.Mismatched || r.End == client.Unanswered {
			f.t.Errorf("%s ended %s: %s", r.Name, r.End, r.Error)
		}
		if r.End == client.Failed && (r.Outcome != "may-have-run" || r.Reason == "") {
			f.t.Errorf("%s failed with outcome %q and reason %q: %s", r.Name, r.Outcome, r.Reason, r.Error)
		}
	}
	return ends
}

// TestPlatformOutage kills or stops the platform. Model requests must still be
// served, and at-most-once operations must be refused as not run.
func TestPlatformOutage(t *testing.T) {
	for _, outage := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"it is gone", syscall.SIGKILL},
		{"it hangs", syscall.SIGSTOP},
	} {
		t.Run(outage.name, func(t *testing.T) {
			f := newFleet(t)
			f.platform.signal(t, outage.signal)
			f.checkServes(0, 1, 2)
			var pending []<-chan client.Result
			for i := range routerCount {
				pending = append(pending, f.sendOnce(i, operationKey(i)))
			}
			for i, r := range collect(pending) {
				if r.End != client.Refused || r.Outcome != "not-run" || !r.RetryAfter {
					t.Errorf("r%d ended %s with %q, retry-after %t: %s", i, r.End, r.Outcome, r.RetryAfter, r.Error)
				}
			}
			if runs := f.runCounts(); len(runs) > 0 {
				t.Errorf("work that was refused as not run ran: %v", runs)
			}
		})
	}
}

// startLongStreams starts streams through all routers and waits until each router
// has requests in flight.
func (f *fleet) startLongStreams() []<-chan client.Result {
	f.t.Helper()
	var out []<-chan client.Result
	for i := range 2 * routerCount {
		out = append(out, f.sendModel(i%routerCount, fmt.Sprintf("long-%d-%p", i, &out), longAnswer))
	}
	for i := range routerCount {
		await(f.t, "each router has requests in flight", func() bool { s, ok := f.status(i); return ok && s.Requests > 0 })
	}
	return out
}

func (f *fleet) startShortStreams(routers ...int) []<-chan client.Result {
	var out []<-chan client.Result
	for _, i := range routers {
		for n := range 4 {
			out = append(out, f.sendModel(i, fmt.Sprintf("short-%d-%d", i, n), shortAnswer))
		}
	}
	return out
}

// checkServes checks that these routers serve model requests completely.
func (f *fleet) checkServes(routers ...int) {
	f.t.Helper()
	for _, r := range collect(f.startShortStreams(routers...)) {
		if r.End != client.Complete {
			f.t.Errorf("%s through r%d ended %s: %s", r.Name, r.Router, r.End, r.Error)
		}
	}
}

// startOperations sends at-most-once operations through the first router.
func (f *fleet) startOperations() []<-chan client.Result {
	var out []<-chan client.Result
	for k := range operationCount {
		out = append(out, f.sendOnce(0, operationKey(k)))
	}
	return out
}

func operationKey(k int) string { return fmt.Sprintf("op-%d", k) }

// awaitFirstRun waits until the plain service has started to run an operation.
func (f *fleet) awaitFirstRun() {
	f.t.Helper()
	await(f.t, "an operation runs", func() bool { return len(f.runCounts()) > 0 })
}

// resendOperations resends all operations through router i and checks that each is
// answered completely or refused with outcome and reason.
func (f *fleet) resendOperations(i int) {
	f.t.Helper()
	var again []<-chan client.Result
	for k := range operationCount {
		again = append(again, f.sendOnce(i, operationKey(k)))
	}
	ends := make(map[string]int)
	for _, r := range collect(again) {
		ends[fmt.Sprintf("%s %s %s", r.End, r.Outcome, r.Reason)]++
		if r.End != client.Complete && (r.End != client.Refused || r.Outcome == "" || r.Reason == "") {
			f.t.Errorf("%s ended %s with %q (%s): %s", r.Name, r.End, r.Outcome, r.Reason, r.Error)
		}
	}
	f.t.Logf("results of the resent operations: %v", ends)
}
