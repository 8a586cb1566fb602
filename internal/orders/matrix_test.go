package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// step is a point of the orders' path at which a fault strikes.
type step string

const (
	stepAsked     step = "lease asked"
	stepAcquired  step = "lease acquired"
	stepRead      step = "number read"
	stepNumber    step = "number taken"
	stepConfirmed step = "lease confirmed"
	stepRenewed   step = "lease renewed"
	stepOrder     step = "order sent"
	stepAnswered  step = "order answered"
)

var steps = []step{
	stepAsked, stepAcquired, stepRead, stepNumber, stepConfirmed, stepRenewed, stepOrder, stepAnswered,
}

// stepOf names the step that an effect of a router is part of, "" if none.
func stepOf(n *node, e core.Effect) step {
	switch e.(type) {
	case core.LeaseGrant:
		return stepAsked
	case core.LeaseAcquire:
		return stepAcquired
	case core.KVGet:
		return stepRead
	case core.KVCAS:
		return stepNumber
	case core.LeaseRenew:
		if n.state.lease.next == callConfirm {
			return stepConfirmed
		}
		return stepRenewed
	case core.Order:
		return stepOrder
	}
	return ""
}

// trouble is a fault; strike brings it about at a router and tells what becomes
// of the effect that was under way.
type trouble struct {
	name   string
	strike func(*world, *node) treatment
	// only lists the steps at which it makes sense; all if it is empty.
	only []step
	// residual tells that an order of an old holder may reach an engine that
	// ignores the number; the state must converge all the same.
	residual bool
}

const (
	// outage is longer than any lease and the wait after it.
	outage = 2 * time.Minute
	// noticed is how long the fleet takes to see that a router is gone or back.
	noticed = 3 * time.Second
	// changed is when after a fault a new wanted state is accepted.
	changed = 2 * time.Second
)

var troubles = []trouble{
	{name: "holder paused past its lease", strike: pause},
	{name: "holder paused after its last look at the clock", only: []step{stepOrder}, residual: true,
		strike: func(w *world, n *node) treatment {
			pause(w, n)
			return treatment{checked: true}
		}},
	{name: "holder killed and restarted without memory", strike: func(w *world, n *node) treatment {
		n.dead = true
		w.after(noticed, func() {
			again := w.addNode("r0.2")
			again.configure("A")
			again.setCandidate(true)
		})
		w.after(2*noticed, func() { w.accept("B") })
		return treatment{}
	}},
	{name: "holder cut off from the key-value service", strike: func(w *world, n *node) treatment {
		n.cutUntil = w.now.Add(outage)
		w.takeOver(n, noticed, outage)
		return treatment{}
	}},
	{name: "key-value service down", strike: func(w *world, _ *node) treatment {
		w.store.downUntil = w.now.Add(outage)
		w.after(changed, func() { w.accept("B") })
		return treatment{}
	}},
	{name: "answer lost", strike: func(w *world, _ *node) treatment {
		w.after(changed, func() { w.accept("B") })
		return treatment{lose: true}
	}},
	{name: "message late", strike: func(w *world, _ *node) treatment {
		w.after(changed, func() { w.accept("B") })
		return treatment{late: WaitOut / 2}
	}},
	{name: "engines restart empty", strike: func(w *world, _ *node) treatment {
		w.restartEngines()
		w.after(changed, func() { w.accept("B") })
		return treatment{}
	}},
	{name: "engines restart empty later, without a change", strike: func(w *world, _ *node) treatment {
		w.after(changed, func() { w.accept("B") })
		w.after(outage, w.restartEngines)
		return treatment{}
	}},
	{name: "two holders for a time", strike: func(w *world, n *node) treatment {
		w.store.forget()
		w.takeOver(n, 0, outage)
		return treatment{}
	}},
	{name: "two holders for a time, message late", strike: func(w *world, n *node) treatment {
		w.store.forget()
		w.takeOver(n, 0, outage)
		return treatment{late: WaitOut / 2}
	}},
	{name: "two holders for a time, order later than the wait", only: []step{stepOrder}, residual: true,
		strike: func(w *world, n *node) treatment {
			w.store.forget()
			w.takeOver(n, 0, outage)
			return treatment{late: outage}
		}},
	{name: "counter restored from an old copy", strike: func(w *world, n *node) treatment {
		delete(w.store.values, NumberKey(testDomain))
		w.store.forget()
		w.takeOver(n, 0, outage)
		return treatment{}
	}},
}

func (w *world) restartEngines() {
	for _, e := range w.engines {
		e.restart()
	}
}

func pause(w *world, n *node) treatment {
	n.pausedUntil = w.now.Add(outage)
	w.takeOver(n, noticed, outage)
	return treatment{}
}

// takeOver makes the other router the candidate after a time, and lets the first
// one learn of that and of the new wanted state only when the fault has ended.
func (w *world) takeOver(n *node, after, healed time.Duration) {
	other := w.nodes[1]
	w.after(after, func() { other.setCandidate(true) })
	w.after(after+changed, func() { other.configure("B") })
	w.after(healed+noticed, func() {
		n.setCandidate(false)
		n.configure("B")
	})
}

// accept puts a wanted state in force at every router.
func (w *world) accept(wanted string) {
	for _, n := range w.nodes {
		n.configure(wanted)
	}
}

// row is one line of the matrix.
type row struct {
	step    step
	trouble trouble
}

func (r row) name(checks bool) string {
	kind := "ignore"
	if checks {
		kind = "check"
	}
	return fmt.Sprintf("%s/%s/engines %s numbers", r.step, r.trouble.name, kind)
}

// strike brings the row's fault about the first time that the first router
// comes to its step.
func (w *world) strike(n *node, at step) treatment {
	if w.fired || at == "" || at != w.row.step || n != w.nodes[0] {
		return treatment{}
	}
	w.fired = true
	return w.row.trouble.strike(w, n)
}

func rows() []row {
	var out []row
	for _, s := range steps {
		for _, t := range troubles {
			if len(t.only) == 0 || slices.Contains(t.only, s) {
				out = append(out, row{s, t})
			}
		}
	}
	return out
}

// stretches are the times after which the service may end a lease.
var stretches = []time.Duration{LeaseTTL, LeaseTTL * 3 / 2, LeaseStretch * LeaseTTL}

// longRun is long enough for every fault to end and every wait to pass.
const longRun = 10 * time.Minute

// broken runs a row and returns what did not hold.
func (r row) broken(checks bool, f faults) []string {
	var out []string
	for _, stretch := range stretches {
		w := newWorld(r, checks, stretch, f)
		w.run(longRun)
		if !w.fired {
			out = append(out, "the step never came")
		}
		out = append(out, w.unsettled()...)
		if checks || !r.trouble.residual {
			out = append(out, w.disordered()...)
		}
	}
	return out
}

// unsettled lists the engines that are not in the wanted state.
func (w *world) unsettled() []string {
	var out []string
	for id, e := range w.engines {
		if e.have.body != `["B"]` {
			out = append(out, fmt.Sprintf("%s has %q at the end", id, e.have.body))
		}
	}
	return out
}

// disordered lists the orders that an engine obeyed after one of a later holder
// or of a higher number.
func (w *world) disordered() []string {
	var out []string
	for id, e := range w.engines {
		for _, log := range e.logs {
			for i := 1; i < len(log); i++ {
				a, b := log[i-1], log[i]
				if b.term < a.term || b.number < a.number || b.term > a.term && b.number == a.number {
					out = append(out, fmt.Sprintf("%s obeyed %+v after %+v", id, b, a))
				}
			}
		}
	}
	return out
}

// TestMatrix runs every fault at every step, for both kinds of engine.
func TestMatrix(t *testing.T) {
	for _, r := range rows() {
		for _, checks := range []bool{true, false} {
			t.Run(r.name(checks), func(t *testing.T) {
				for _, b := range r.broken(checks, faults{}) {
					t.Error(b)
				}
			})
		}
	}
}

// TestMatrixNoticesMissingMechanisms switches each mechanism off and expects
// rows that need it to fail.
func TestMatrixNoticesMissingMechanisms(t *testing.T) {
	mutations := []struct {
		name   string
		faults faults
		checks bool
		// step and trouble name a row that must fail.
		step    step
		trouble string
	}{
		{"number not raised", faults{keepNumber: true}, true, stepOrder, "two holders for a time, message late"},
		{"lease not confirmed", faults{skipConfirm: true}, true, stepNumber, "two holders for a time, message late"},
		{"old holder not waited out", faults{skipWait: true}, false, stepOrder, "two holders for a time, message late"},
		{"age of the lease not looked at", faults{skipHold: true}, false, stepRenewed, "holder cut off from the key-value service"},
		{"engine not read again", faults{skipRead: true}, true, stepOrder, "engines restart empty later, without a change"},
		{"engine not read again", faults{skipRead: true}, false, stepOrder, "engines restart empty later, without a change"},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			failed := 0
			named := false
			for _, r := range rows() {
				if len(r.broken(m.checks, m.faults)) > 0 {
					failed++
					named = named || r.step == m.step && r.trouble.name == m.trouble
				}
			}
			t.Logf("%d of %d rows fail", failed, len(rows()))
			if !named {
				t.Errorf("%s/%s does not notice", m.step, m.trouble)
			}
		})
	}
}

// TestResidualRowsNeedTheirExemption shows that the exempt rows do see an order
// of an old holder late, and so prove that the state converges after one.
func TestResidualRowsNeedTheirExemption(t *testing.T) {
	for _, r := range rows() {
		if !r.trouble.residual {
			continue
		}
		w := newWorld(r, false, LeaseTTL, faults{})
		w.run(longRun)
		if len(w.disordered()) == 0 {
			t.Errorf("%s: no late order was obeyed", r.name(false))
		}
	}
}

// TestCallsPerMinute counts what one failure domain costs the key-value service.
func TestCallsPerMinute(t *testing.T) {
	w := newWorld(row{}, true, LeaseTTL, faults{})
	w.run(longRun)
	before := w.calls
	w.run(time.Minute)
	if held := w.calls - before; held > 12 {
		t.Errorf("%d calls a minute while the lease is held", held)
	}
	w.nodes[1].setCandidate(true)
	w.run(longRun)
	before = w.calls
	w.run(time.Minute)
	if contended := w.calls - before; contended > 24 {
		t.Errorf("%d calls a minute while another router asks too", contended)
	}
	for _, n := range w.nodes {
		n.setCandidate(false)
	}
	w.run(longRun)
	before = w.calls
	w.run(time.Minute)
	if idle := w.calls - before; idle != 0 {
		t.Errorf("%d calls a minute without a candidate", idle)
	}
}
