package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// row is one line of the matrix.
type row struct {
	step  step
	fault fault
}

func (r row) name(checksFencing bool) string {
	kind := "ignore"
	if checksFencing {
		kind = "check"
	}
	return fmt.Sprintf("%s/%s/engines %s numbers", r.step, r.fault.name, kind)
}

// injectFault brings the row's fault about the first time that the first router
// comes to its step.
func (sim *simulation) injectFault(n *node, at step) effectFault {
	if sim.injected || at == "" || at != sim.row.step || n != sim.nodes[0] {
		return effectFault{}
	}
	sim.injected = true
	return sim.row.fault.inject(sim, n)
}

func rows() []row {
	var out []row
	for _, s := range steps {
		for _, f := range allFaults {
			if len(f.onlyAt) == 0 || slices.Contains(f.onlyAt, s) {
				out = append(out, row{s, f})
			}
		}
	}
	return out
}

// leaseDurations are the times after which the service may end a lease.
var leaseDurations = []time.Duration{LeaseTTL, LeaseTTL * 3 / 2, MaxLeaseFactor * LeaseTTL}

// runTime is long enough for every fault to end and every wait to pass.
const runTime = 10 * time.Minute

// violations runs a row and returns what did not hold.
func (r row) violations(checksFencing bool, m mutations) []string {
	var out []string
	for _, leaseDuration := range leaseDurations {
		sim := newSimulation(r, checksFencing, leaseDuration, m)
		sim.advance(runTime)
		if !sim.injected {
			out = append(out, "the step never came")
		}
		out = append(out, sim.notConverged()...)
		if checksFencing || !r.fault.allowsLateOrder {
			out = append(out, sim.outOfOrder()...)
		}
	}
	return out
}

// notConverged lists the engines that are not in the wanted state.
func (sim *simulation) notConverged() []string {
	var out []string
	for id, e := range sim.engines {
		if e.current.body != `["B"]` {
			out = append(out, fmt.Sprintf("%s has %q at the end", id, e.current.body))
		}
	}
	return out
}

// outOfOrder lists the orders that an engine obeyed after one of a later holder
// or of a higher number.
func (sim *simulation) outOfOrder() []string {
	var out []string
	for id, e := range sim.engines {
		for _, log := range e.obeyed {
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
		for _, checksFencing := range []bool{true, false} {
			t.Run(r.name(checksFencing), func(t *testing.T) {
				violations := r.violations(checksFencing, mutations{})
				for _, v := range violations {
					t.Error(v)
				}
				verdicts[r.name(checksFencing)] = verdict(r, checksFencing, violations)
			})
		}
	}
	printTable(verdicts)
}

// verdict is a row's cell; "late" stands for a row whose state converges after
// an order of an old holder.
func verdict(r row, checksFencing bool, violations []string) string {
	switch {
	case len(violations) > 0:
		return "FAIL"
	case r.fault.allowsLateOrder && !checksFencing:
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
	for _, f := range allFaults {
		fmt.Printf("%-56s", f.name)
		for _, s := range steps {
			check, ignore := verdicts[row{s, f}.name(true)], verdicts[row{s, f}.name(false)]
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
	tests := []struct {
		name          string
		mutations     mutations
		checksFencing bool
		// step and trouble name the row that must fail.
		step  step
		fault string
	}{
		{"number not raised", mutations{keepNumber: true}, true, stepOrder, "two holders for a time, message late"},
		{"lease not confirmed", mutations{skipConfirm: true}, true, stepNumber, "two holders for a time, message late"},
		{"old holder not waited out", mutations{skipTakeoverDelay: true}, false, stepOrder, "two holders for a time, message late"},
		{"age of the lease not looked at", mutations{skipHoldPeriod: true}, false, stepRenewed, "holder cut off from the key-value service"},
		{"engine not read again", mutations{skipReread: true}, true, stepOrder, "engines restart empty later, without a change"},
		{"engine not read again", mutations{skipReread: true}, false, stepOrder, "engines restart empty later, without a change"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := slices.IndexFunc(rows(), func(r row) bool { return r.step == tt.step && r.fault.name == tt.fault })
			if len(rows()[i].violations(tt.checksFencing, tt.mutations)) == 0 {
				t.Errorf("%s/%s does not notice", tt.step, tt.fault)
			}
		})
	}
}

// TestResidualRowsNeedTheirExemption shows that the exempt rows do see an order
// of an old holder late, and so prove that the state converges after one.
func TestResidualRowsNeedTheirExemption(t *testing.T) {
	for _, r := range rows() {
		if !r.fault.allowsLateOrder {
			continue
		}
		sim := newSimulation(r, false, LeaseTTL, mutations{})
		sim.advance(runTime)
		if len(sim.outOfOrder()) == 0 {
			t.Errorf("%s: no late order was obeyed", r.name(false))
		}
	}
}

// TestCallsPerMinute counts what one failure domain costs the key-value service.
func TestCallsPerMinute(t *testing.T) {
	sim := newSimulation(row{}, true, LeaseTTL, mutations{})
	sim.advance(runTime)
	before := sim.storeCalls
	sim.advance(time.Minute)
	if held := sim.storeCalls - before; held > 12 {
		t.Errorf("%d calls a minute while the lease is held", held)
	}
	sim.nodes[1].setCandidate(true)
	sim.advance(runTime)
	before = sim.storeCalls
	sim.advance(time.Minute)
	if contended := sim.storeCalls - before; contended > 24 {
		t.Errorf("%d calls a minute while another router asks too", contended)
	}
	for _, n := range sim.nodes {
		n.setCandidate(false)
	}
	sim.advance(runTime)
	before = sim.storeCalls
	sim.advance(time.Minute)
	if idle := sim.storeCalls - before; idle != 0 {
		t.Errorf("%d calls a minute without a candidate", idle)
	}
}
