package faults

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/quarantine"
)

const (
	// configSpreadTime is the time after the last fault within which an accepted
	// configuration must be applied by all routers.
	configSpreadTime = 12 * time.Second
	// settleTime is the time after that within which all requests must have ended;
	// it is longer than any request may wait and run.
	settleTime = 14 * time.Second
	// replayTime is the time within which repeated operations must be answered.
	replayTime = 12 * time.Second
	// freshLoadTime is the duration of the load that shows that the fleet works
	// again.
	freshLoadTime = time.Second
)

// settleAndCheck runs the fleet until all faults and requests have ended and checks
// the guarantees that must hold then.
func (f *fleet) settleAndCheck(loadEnds time.Time) {
	if f.healedAt.Before(loadEnds) {
		f.healedAt = loadEnds
	}
	for at := f.healedAt.Add(configSpreadTime); f.now.Before(at); at = f.healedAt.Add(configSpreadTime) {
		f.runFor(at.Sub(f.now)) // may extend healedAt: a drained router exits and restarts
	}
	f.checkConfigInForce()
	f.runFor(settleTime)
	f.checkNothingLeft()
	f.checkReplay()
	f.checkFreshLoad()
	f.checkNothingLeft()
	f.checkCallers()
	f.checkAtMostOnce()
	f.checkPoison()
}

// checkNothingLeft checks that all routers are up and ready and that no request, no
// granted slot and no stopped owner remains in their state.
func (f *fleet) checkNothingLeft() {
	for _, n := range f.nodes {
		if !n.up || !n.ready {
			f.recordViolation("%s after all faults have ended: up %t, ready %t", n.name, n.up, n.ready)
			continue
		}
		status := n.state.Status()
		if status.Requests > 0 {
			f.recordViolation("%s still holds %d requests", n.name, status.Requests)
		}
		for _, u := range status.Upstreams {
			if !f.isRunning(u.Owner) {
				f.recordViolation("%s has the stopped router %s as the owner of %s, which thus lies idle", n.name, u.Owner, u.ID)
			}
			if u.Owned != nil && u.Owned.Granted > 0 {
				f.recordViolation("%s still has %d slots of %s granted", n.name, u.Owned.Granted, u.ID)
			}
		}
	}
}

// isRunning reports whether the router incarnation with this id is running.
func (f *fleet) isRunning(id core.RouterID) bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.up && n.id == id })
}

// checkReplay resends completed operations and checks that each gets its recorded
// answer. A killed router may lose an outcome that it has not stored yet; the
// operation is then answered with may-have-run.
func (f *fleet) checkReplay() {
	f.observer = nil
	repeats := make(map[core.RequestID]bool)
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		c := f.callers[id]
		if c.request.AtMostOnce && c.finals[0] == "answered" {
			repeats[f.callRouter(f.nodes[len(repeats)%routerCount], c.request)] = true
		}
	}
	f.runFor(replayTime)
	for _, id := range slices.Sorted(maps.Keys(repeats)) {
		c := f.callers[id]
		allowed := f.anyKilled && c.outcome == core.MayHaveRun
		if len(c.finals) != 1 || c.finals[0] != "replayed" && !allowed {
			f.recordViolation("%s repeats a completed operation and ended as %v (%s)", id, c.finals, c.reason)
		}
	}
}

// checkFreshLoad checks that a new load is served completely.
func (f *fleet) checkFreshLoad() {
	// No fault is injected into this load.
	f.observer = nil
	before := maps.Clone(f.callers)
	f.startLoad(freshLoadTime)
	f.runFor(settleTime)
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		if _, old := before[id]; old {
			continue
		}
		c := f.callers[id]
		if c.reason == core.ReasonInProgress {
			continue // refused, because the same operation was still running
		}
		if len(c.finals) != 1 || c.outcome != core.Complete {
			f.recordViolation("%s was not served after all faults had ended: %s (%s)", id, strings.Join(c.finals, ", "), c.reason)
		}
	}
}

// checkCallers checks that each request ended exactly once, that none that was
// answered as not run did run, and that complete answers have all their tokens.
func (f *fleet) checkCallers() {
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		c := f.callers[id]
		ran := 0
		for _, u := range f.upstreams {
			ran += u.runCounts[string(id)]
		}
		switch {
		case len(c.finals) != 1:
			f.recordViolation("%s got %d final answers: %s", id, len(c.finals), strings.Join(c.finals, ", "))
		case c.outcome == core.NotRun && ran > 0:
			f.recordViolation("%s was told not-run (%s) but ran %d times", id, c.reason, ran)
		case c.finals[0] == "answered" && c.tokens != costOf(c.request):
			f.recordViolation("%s got %d of %d tokens as a complete answer", id, c.tokens, costOf(c.request))
		}
	}
}

// checkAtMostOnce checks that no operation with an idempotency key ran twice.
func (f *fleet) checkAtMostOnce() {
	ran := make(map[string]int)
	for _, u := range f.upstreams {
		for key, n := range u.runCounts {
			if strings.HasPrefix(key, "key/") {
				ran[key] += n
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(ran)) {
		if ran[key] > 1 {
			f.recordViolation("%s ran %d times", key, ran[key])
		}
	}
}

// checkPoison checks that a request that crashed quarantine.CrashThreshold upstreams is
// not sent any more and is refused as poison.
func (f *fleet) checkPoison() {
	crashes, refused := make(map[[32]byte]int), make(map[[32]byte]bool)
	for _, u := range f.upstreams {
		for body, n := range u.poisonCrashes {
			crashes[body] += n
		}
	}
	for _, c := range f.callers {
		if c.reason == core.ReasonQuarantined {
			refused[c.request.Fingerprint] = true
		}
	}
	most := quarantine.CrashThreshold
	if f.missedMessages {
		// Each router counts only the crashes that it saw or was told of, so that
		// each may send the request quarantine.CrashThreshold times.
		most *= routerCount
	}
	for body, n := range crashes {
		if n > most {
			f.recordViolation("one request crashed %d upstreams", n)
		}
		if n >= quarantine.CrashThreshold && !refused[body] && !f.missedMessages {
			f.recordViolation("a request crashed %d upstreams and was never refused as poison", n)
		}
	}
}
