package faults

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/reducer"
)

const (
	// matrixSeed seeds every row; a failing row prints it.
	matrixSeed = 20261204
	// loadTime is the duration of a row's load. The fault is injected at the first
	// occurrence of the step after faultFreeTime.
	loadTime      = 4 * time.Second
	faultFreeTime = time.Second
	// longLoadTime is the duration of the load for faults whose effects show late.
	longLoadTime = 9 * time.Second
)

// row is one fault at one step, with the result.
type row struct {
	step  step
	fault fault
	// injected means that the step occurred and the fault was injected.
	injected   bool
	violations []string
}

// String describes the row.
func (r *row) String() string { return fmt.Sprintf("when %s, %s", r.step.name, r.fault.name) }

// cell returns the result of the row as the table shows it.
func (r *row) cell() string {
	switch {
	case !r.injected && r.step.uncovered != "":
		return "-"
	case !r.injected || len(r.violations) > 0:
		return "FAIL"
	}
	return "ok"
}

// TestMatrix injects every fault at every step and checks that no guarantee is
// broken.
func TestMatrix(t *testing.T) {
	rows := matrix()
	runRows(rows, 0)
	for _, r := range rows {
		t.Run(r.String(), r.report)
	}
	printTable(rows)
}

func matrix() []*row {
	var rows []*row
	for _, s := range steps {
		for _, ft := range faults {
			rows = append(rows, &row{step: s, fault: ft})
		}
	}
	return rows
}

// runRows runs rows in parallel. Each row has its own fleet and clock.
func runRows(rows []*row, disable reducer.Safeguard) {
	next := make(chan *row)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for r := range next {
				r.run(matrixSeed, disable)
			}
		})
	}
	for _, r := range rows {
		next <- r
	}
	close(next)
	workers.Wait()
}

func (r *row) report(t *testing.T) {
	if !r.injected && r.step.uncovered != "" {
		t.Skip("not covered: " + r.step.uncovered)
	}
	if !r.injected {
		t.Errorf("seed %d: the step was never seen", matrixSeed)
	}
	for _, b := range r.violations {
		t.Errorf("seed %d: %s", matrixSeed, b)
	}
}

// run runs one load with one fault and records the guarantees that it broke.
func (r *row) run(seed uint64, disable reducer.Safeguard) {
	if disable != 0 {
		// A reducer may panic if it detects the effect of a disabled safeguard.
		defer func() {
			if p := recover(); p != nil {
				r.violations = append(r.violations, fmt.Sprint("panic: ", p))
			}
		}()
	}
	f := newFleet(fleetOptions{seed: seed, disable: disable})
	start := f.now
	f.observer = func(n *node, observed any) {
		if !r.injected && f.now.After(start.Add(faultFreeTime)) && r.step.matches(observed) {
			r.injected = true
			// An effect is executed after this, at the same time, if n is still up.
			r.fault.inject(f, n)
		}
	}
	f.lightLoad = r.step.lightLoad
	d := loadTime
	if r.fault.longLoad {
		d = longLoadTime
	}
	f.startLoad(d)
	if r.step.trigger != nil {
		r.step.trigger(f)
	}
	f.runFor(d)
	f.settleAndCheck(start.Add(d))
	r.violations = f.violations
}

// printTable prints the results as a table of steps by faults, and the number of
// rows with each result.
func printTable(rows []*row) {
	cells := make(map[string]int)
	lines := make([]strings.Builder, len(steps))
	for i, r := range rows {
		cells[r.cell()]++
		fmt.Fprintf(&lines[i/len(faults)], " %-4s", r.cell())
	}
	fmt.Printf("\nThe fault matrix, seed %d\n\n%-32s", matrixSeed, "")
	for i := range faults {
		fmt.Printf(" %-4d", i+1)
	}
	fmt.Println()
	for i, s := range steps {
		fmt.Printf("%-32s%s\n", s.name, lines[i].String())
	}
	fmt.Println()
	for i, ft := range faults {
		fmt.Printf("%4d  %s\n", i+1, ft.name)
	}
	for _, s := range steps {
		if s.uncovered != "" && cells["-"] > 0 {
			fmt.Printf("   -  %s: not covered, %s\n", s.name, s.uncovered)
		}
	}
	fmt.Printf("\n%d steps x %d faults: %d passed, %d failed, %d not covered\n\n",
		len(steps), len(faults), cells["ok"], cells["FAIL"], cells["-"])
}
