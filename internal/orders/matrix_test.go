package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

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

// TestMatrix runs every fault at every step, for both kinds of engine, and
// prints the table.
func TestMatrix(t *testing.T) {
	verdicts := make(map[string]string)
	for _, r := range rows() {
		for _, checks := range []bool{true, false} {
			t.Run(r.name(checks), func(t *testing.T) {
				broken := r.broken(checks, faults{})
				for _, b := range broken {
					t.Error(b)
				}
				verdicts[r.name(checks)] = verdict(r, checks, broken)
			})
		}
	}
	printTable(verdicts)
}

// verdict is a row's cell; "late" stands for a row whose state converges after
// an order of an old holder.
func verdict(r row, checks bool, broken []string) string {
	switch {
	case len(broken) > 0:
		return "FAIL"
	case r.trouble.residual && !checks:
		return "late"
	}
	return "ok"
}

// printTable prints faults by steps, each with engines that check numbers and
// with engines that ignore them.
func printTable(verdicts map[string]string) {
	fmt.Printf("\nOrders to engines that check numbers / that ignore them\n\n%-56s", "")
	for _, s := range steps {
		fmt.Printf(" %-16s", s)
	}
	fmt.Println()
	counts := make(map[string]int)
	for _, tr := range troubles {
		fmt.Printf("%-56s", tr.name)
		for _, s := range steps {
			check, ignore := verdicts[row{s, tr}.name(true)], verdicts[row{s, tr}.name(false)]
			counts[check]++
			counts[ignore]++
			if check == "" {
				fmt.Printf(" %-16s", "-")
				continue
			}
			fmt.Printf(" %-16s", check+"/"+ignore)
		}
		fmt.Println()
	}
	fmt.Printf("\n%d passed, %d converged after a late order, %d failed; - is for steps where a fault makes no sense\n\n",
		counts["ok"], counts["late"], counts["FAIL"])
}

// TestMatrixNoticesMissingMechanisms switches each mechanism off and expects a
// row that needs it to fail.
func TestMatrixNoticesMissingMechanisms(t *testing.T) {
	mutations := []struct {
		name   string
		faults faults
		checks bool
		// step and trouble name the row that must fail.
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
			i := slices.IndexFunc(rows(), func(r row) bool { return r.step == m.step && r.trouble.name == m.trouble })
			if len(rows()[i].broken(m.checks, m.faults)) == 0 {
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
