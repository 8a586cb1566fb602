package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// row is one case of the matrix: a fault that is injected at a step.
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

// injectFault injects the row's fault when the first router reaches the row's
// step for the first time, and returns how the effect is disturbed.
func (sim *simulation) injectFault(n *node, at step) effectFault {
	if sim.injected || at == "" || at != sim.row.step || n != sim.nodes[0] {
		return effectFault{}
	}
	sim.injected = true
	return sim.row.fault.inject(sim, n)
}

// rows returns all combinations of steps and faults that make sense.
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

// leaseDurations are the lifetimes of a lease that are tried, from its TTL to the
// longest that the service may allow.
var leaseDurations = []time.Duration{LeaseTTL, LeaseTTL * 3 / 2, MaxLeaseFactor * LeaseTTL}

// runTime is long enough for every fault to end and every timeout to expire.
const runTime = 10 * time.Minute

// violations runs a row with each lease duration and returns the violations that
// it found.
func (r row) violations(checksFencing bool, m mutations) []string {
	var out []string
	for _, leaseDuration := range leaseDurations {
		sim := newSimulation(r, checksFencing, leaseDuration, m)
		sim.advance(runTime)
		if !sim.injected {
			out = append(out, "the step was never reached")
		}
		out = append(out, sim.notConverged()...)
		if checksFencing || !r.fault.allowsLateOrder {
			out = append(out, sim.outOfOrder()...)
		}
	}
	return out
}

// notConverged lists the engines that are not in the desired state.
func (sim *simulation) notConverged() []string {
	var out []string
	for id, e := range sim.engines {
		if e.current.body != `["B"]` {
			out = append(out, fmt.Sprintf("%s has %q at the end", id, e.current.body))
		}
	}
	return out
}

// outOfOrder lists the orders that an engine applied after an order of a later
// holder or with a higher fencing token, and orders of different holders with the
// same token.
func (sim *simulation) outOfOrder() []string {
	var out []string
	for id, e := range sim.engines {
		for _, log := range e.applied {
			for i := 1; i < len(log); i++ {
				a, b := log[i-1], log[i]
				if b.term < a.term || b.token < a.token || b.term > a.term && b.token == a.token {
					out = append(out, fmt.Sprintf("%s applied %+v after %+v", id, b, a))
				}
			}
		}
	}
	return out
}

// TestMatrix injects every fault at every step, with engines that check fencing
// tokens and engines that ignore them, and prints the results as a table.
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

// verdict returns the table's cell for a row. The verdict "late" means that the
// state converges, but possibly after an order of an earlier holder.
func verdict(r row, checksFencing bool, violations []string) string {
	switch {
	case len(violations) > 0:
		return "FAIL"
	case r.fault.allowsLateOrder && !checksFencing:
		return "late"
	}
	return "ok"
}

// printTable prints a table of faults by steps. Each cell has the verdicts for
// engines that check fencing tokens and for engines that ignore them.
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

// TestMatrixNoticesMissingMechanisms disables each safety mechanism and checks
// that a row that depends on it fails.
func TestMatrixNoticesMissingMechanisms(t *testing.T) {
	tests := []struct {
		name          string
		mutations     mutations
		checksFencing bool
		// step and fault name the row that must fail.
		step  step
		fault string
	}{
		{"number not raised", mutations{keepToken: true}, true, stepOrder, "two holders for a time, message late"},
		{"lease not confirmed", mutations{skipConfirm: true}, true, stepWriteCounter, "two holders for a time, message late"},
		{"takeover delay skipped", mutations{skipTakeoverDelay: true}, false, stepOrder, "two holders for a time, message late"},
		{"age of the lease not checked", mutations{skipHoldPeriod: true}, false, stepRenew, "holder cut off from the key-value service"},
		{"engine not read again", mutations{skipReread: true}, true, stepOrder, "engines restart empty later, without a change"},
		{"engine not read again", mutations{skipReread: true}, false, stepOrder, "engines restart empty later, without a change"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := slices.IndexFunc(rows(), func(r row) bool { return r.step == tt.step && r.fault.name == tt.fault })
			if len(rows()[i].violations(tt.checksFencing, tt.mutations)) == 0 {
				t.Errorf("%s/%s does not fail without the mechanism", tt.step, tt.fault)
			}
		})
	}
}

// TestLateOrdersOccur checks that in each row that allows a late order an engine
// applies one, so that the row tests the convergence after it.
func TestLateOrdersOccur(t *testing.T) {
	for _, r := range rows() {
		if !r.fault.allowsLateOrder {
			continue
		}
		sim := newSimulation(r, false, LeaseTTL, mutations{})
		sim.advance(runTime)
		if len(sim.outOfOrder()) == 0 {
			t.Errorf("%s: no late order was applied", r.name(false))
		}
	}
}

// TestCallsPerMinute bounds the key-value calls of one failure domain while the
// lease is held, while two routers compete for it and without a candidate.
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
		t.Errorf("%d calls a minute while another router competes for the lease", contended)
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
