package e2e

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
)

const (
	// longAnswer is the tokens of a stream that is still under way when a fault
	// strikes, shortAnswer those of one that is served quickly.
	longAnswer  = 150
	shortAnswer = 5
	// startedTokens is how many tokens of an engine show that its streams have begun.
	startedTokens = 20
	// operationCount is how many operations are under way when a fault strikes.
	operationCount = 24
)

// TestDrainCutsNoAnswer ends a router by SIGTERM while streams run through it.
func TestDrainCutsNoAnswer(t *testing.T) {
	f := newFleet(t)
	streams := f.startLongStreams()
	f.routers[0].signal(t, syscall.SIGTERM)
	others := f.startShortStreams(1, 2)
	for _, r := range append(collect(streams), collect(others)...) {
		if r.End != client.Whole {
			t.Errorf("%s through r%d ended %s: %s", r.Name, r.Router, r.End, r.Error)
		}
	}
	<-f.routers[0].done
	if err := f.routers[0].err; err != nil {
		t.Errorf("the drained router ended with %v", err)
	}
	f.checkServes(1, 2)
}

// TestKillDoublesNothing ends a router by SIGKILL while work runs through it
// that must run at most once, and sends all of it again through another.
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

// TestPauseDoublesNothing stops a router past all timeouts, sends its work again
// through another, and lets it go on.
func TestPauseDoublesNothing(t *testing.T) {
	f := newFleet(t)
	pending := f.startOperations()
	f.awaitFirstRun()
	f.routers[0].signal(t, syscall.SIGSTOP)
	await(t, "the others take the stopped router for dead", func() bool { return f.aliveRouters(1) == routerCount-1 })
	f.resendOperations(1)
	f.routers[0].signal(t, syscall.SIGCONT)
	collect(pending)
	await(t, "the routers find each other again", func() bool { return f.aliveRouters(1) == routerCount })
	f.checkAtMostOnce()
	f.checkServes(0, 1, 2)
}

// TestKilledEngineLeavesNoShortAnswer ends engines by SIGKILL while they stream.
// While one is left an answer may be whole; with none it ends in an explicit
// error.
func TestKilledEngineLeavesNoShortAnswer(t *testing.T) {
	f := newFleet(t)
	for i, p := range f.engines {
		before := f.generatedTokens(i)
		streams := f.startLongStreams()
		await(t, "the engine streams", func() bool { return f.generatedTokens(i) > before+startedTokens })
		p.signal(t, syscall.SIGKILL)
		<-p.done
		ends := f.checkExplicitEnds(streams)
		t.Logf("after %s was killed: %v", p.name, ends)
		if last := i == len(f.engines)-1; last && ends[client.Failed] == 0 {
			t.Error("no stream ended in an explicit error, although no engine was left")
		} else if !last && ends[client.Whole] == 0 {
			t.Error("no stream was whole, although an engine was left")
		}
	}
}

// checkExplicitEnds checks that no answer looks whole that is not, and counts how
// they ended.
func (f *fleet) checkExplicitEnds(streams []<-chan client.Result) map[client.End]int {
	f.t.Helper()
	ends := make(map[client.End]int)
	for _, r := range collect(streams) {
		ends[r.End]++
		if r.End == client.Cut || r.End == client.Foreign || r.End == client.Unanswered {
			f.t.Errorf("%s ended %s: %s", r.Name, r.End, r.Error)
		}
		if r.End == client.Failed && (r.Outcome != "may-have-run" || r.Reason == "") {
			f.t.Errorf("%s failed with outcome %q and reason %q: %s", r.Name, r.Outcome, r.Reason, r.Error)
		}
	}
	return ends
}

// TestPlatformOutage stops the platform: model work goes on, and work that must
// run at most once is refused as not run.
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
// has some under way.
func (f *fleet) startLongStreams() []<-chan client.Result {
	f.t.Helper()
	var out []<-chan client.Result
	for i := range 2 * routerCount {
		out = append(out, f.sendModel(i%routerCount, fmt.Sprintf("long-%d-%p", i, &out), longAnswer))
	}
	for i := range routerCount {
		await(f.t, "streams are under way", func() bool { s, ok := f.status(i); return ok && s.Requests > 0 })
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

// checkServes checks that routers serve model work.
func (f *fleet) checkServes(routers ...int) {
	f.t.Helper()
	for _, r := range collect(f.startShortStreams(routers...)) {
		if r.End != client.Whole {
			f.t.Errorf("%s through r%d ended %s: %s", r.Name, r.Router, r.End, r.Error)
		}
	}
}

// startOperations starts work that must run at most once through the first router.
func (f *fleet) startOperations() []<-chan client.Result {
	var out []<-chan client.Result
	for k := range operationCount {
		out = append(out, f.sendOnce(0, operationKey(k)))
	}
	return out
}

func operationKey(k int) string { return fmt.Sprintf("op-%d", k) }

// awaitFirstRun waits until work has started to run.
func (f *fleet) awaitFirstRun() {
	f.t.Helper()
	await(f.t, "work runs", func() bool { return len(f.runCounts()) > 0 })
}

// resendOperations sends all operations through a router; each is answered or refused
// with its reason, and none is broken off.
func (f *fleet) resendOperations(i int) {
	f.t.Helper()
	var again []<-chan client.Result
	for k := range operationCount {
		again = append(again, f.sendOnce(i, operationKey(k)))
	}
	ends := make(map[string]int)
	for _, r := range collect(again) {
		ends[fmt.Sprintf("%s %s %s", r.End, r.Outcome, r.Reason)]++
		if r.End != client.Whole && (r.End != client.Refused || r.Outcome == "" || r.Reason == "") {
			f.t.Errorf("%s ended %s with %q (%s): %s", r.Name, r.End, r.Outcome, r.Reason, r.Error)
		}
	}
	f.t.Logf("sent again: %v", ends)
}
