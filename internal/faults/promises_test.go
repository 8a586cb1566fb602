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
	// configSpreadTime is how long after healing an accepted configuration may take to
	// be in force everywhere.
	configSpreadTime = 12 * time.Second
	// settleTime is how long after that everything has ended: longer than any
	// request may wait and run.
	settleTime = 14 * time.Second
	// replayTime is how long repeated operations may take to be answered.
	replayTime = 12 * time.Second
	// freshLoadTime is how long the load lasts that shows that all is mended.
	freshLoadTime = time.Second
)

// settleAndCheck lets a run end and checks what must hold then.
func (f *fleet) settleAndCheck(loadEnds time.Time) {
	if f.healedAt.Before(loadEnds) {
		f.healedAt = loadEnds
	}
	for at := f.healedAt.Add(configSpreadTime); f.now.Before(at); at = f.healedAt.Add(configSpreadTime) {
		f.runFor(at.Sub(f.now)) // a drain may end meanwhile, and its router start again
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

// checkNothingLeft checks that all routers are up and that no request and no grant is
// left behind.
func (f *fleet) checkNothingLeft() {
	for _, n := range f.nodes {
		if !n.up || !n.ready {
			f.recordViolation("%s is up %t and ready %t after healing", n.name, n.up, n.ready)
			continue
		}
		status := n.state.Status()
		if status.Requests > 0 {
			f.recordViolation("%s still holds %d requests", n.name, status.Requests)
		}
		for _, u := range status.Upstreams {
			if !f.isRunning(u.Owner) {
				f.recordViolation("%s holds %s for the owner of %s, which then lies idle", n.name, u.Owner, u.ID)
			}
			if u.Owned != nil && u.Owned.Granted > 0 {
				f.recordViolation("%s still has %d slots of %s granted", n.name, u.Owned.Granted, u.ID)
			}
		}
	}
}

// isRunning reports whether a router of this incarnation is running.
func (f *fleet) isRunning(id core.RouterID) bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.up && n.id == id })
}

// checkReplay checks that finished operations that are sent again get their recorded
// answer. A router that is killed may take an outcome with it that the store has
// not taken yet; then the word is may-have-run.
func (f *fleet) checkReplay() {
	f.observer = nil
	repeats := make(map[core.RequestID]bool)
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		c := f.callers[id]
		if c.request.Once && c.finals[0] == "answered" {
			repeats[f.arrive(f.nodes[len(repeats)%routerCount], c.request)] = true
		}
	}
	f.runFor(replayTime)
	for _, id := range slices.Sorted(maps.Keys(repeats)) {
		c := f.callers[id]
		allowed := f.anyKilled && c.outcome == core.MayHaveRun
		if len(c.finals) != 1 || c.finals[0] != "replayed" && !allowed {
			f.recordViolation("%s repeats a finished operation and was %v (%s)", id, c.finals, c.reason)
		}
	}
}

// checkFreshLoad checks that a new load is served completely.
func (f *fleet) checkFreshLoad() {
	// Nothing strikes a fleet that has healed.
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
			continue // the same operation, sent again while it ran
		}
		if len(c.finals) != 1 || c.outcome != core.Complete {
			f.recordViolation("%s was not served after healing: %s (%s)", id, strings.Join(c.finals, ", "), c.reason)
		}
	}
}

// checkCallers checks what each caller was told.
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
			f.recordViolation("%s got %d of %d tokens as a whole answer", id, c.tokens, costOf(c.request))
		}
	}
}

// checkAtMostOnce checks that work that must run once did not run twice.
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

// checkPoison checks that a request that crashed upstreams is sent no more, and
// refused with the reason.
func (f *fleet) checkPoison() {
	crashes, refused := make(map[[32]byte]int), make(map[[32]byte]bool)
	for _, u := range f.upstreams {
		for body, n := range u.poisonCrashes {
			crashes[body] += n
		}
	}
	for _, c := range f.callers {
		if c.reason == core.ReasonPoison {
			refused[c.request.Body] = true
		}
	}
	most := quarantine.Threshold
	if f.missedMessages {
		// A crash counts only where it was seen or heard of.
		most *= routerCount
	}
	for body, n := range crashes {
		if n > most {
			f.recordViolation("one request crashed %d upstreams", n)
		}
		if n >= quarantine.Threshold && !refused[body] && !f.missedMessages {
			f.recordViolation("a request crashed %d upstreams and was never refused as poison", n)
		}
	}
}
