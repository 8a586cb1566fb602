package faults

import (
	"strings"
	"testing"

	"github.com/jujubeford/jujubeford/internal/reducer"
)

// mutation disables one safeguard of the routers. The named row must then report a
// violation, which shows that the matrix detects a missing safeguard.
type mutation struct {
	name    string
	disable reducer.Safeguard
	step    string
	fault   string
	// violation is part of the text of the expected violation.
	violation string
}

var mutations = []mutation{
	{
		"claims do not compare", reducer.ClaimCompare,
		"a claim is written", "callers send their operations again through another router", "ran 2 times",
	},
	{
		"holders of claims are not asked", reducer.ClaimQuery,
		"a claim is asked about", "messages come late and crossed", "ran 2 times",
	},
	{
		"work that may have run counts as not run", reducer.SentCheck,
		"a claim is asked about", "every plain upstream crashes", "ran 2 times",
	},
	{
		"grants are not reconciled", reducer.GrantReconciliation,
		"a slot is granted", "messages get lost", "granted",
	},
	{
		"dead routers stay in the fleet", reducer.FailureDetection,
		"ownership moves", "its router is killed and restarts without memory", "lies idle",
	},
	{
		"older generations are applied", reducer.GenerationGuard,
		"a configuration is accepted", "the platform serves a stale configuration to a restarted router",
		"applied generation 1 after",
	},
	{
		"poison requests are not refused", reducer.QuarantineBlock,
		"a request is sent", "a request crashes each upstream and its caller sends it again", "one request crashed",
	},
	{
		"a drain waits for nothing", reducer.DrainWait,
		"an answer begins", "its router drains", "cut by the end of a drain",
	},
	{
		"upstreams' own word is not passed on", reducer.LeavingAnnouncement,
		"a request is sent", "an upstream leaves by its own word", "got new work",
	},
	{
		"the instance list's word is ignored", reducer.ListedLeaving,
		"the instance list changes", "an upstream leaves by the lagging list", "got new work",
	},
}

// TestMutationsAreNoticed checks for each safeguard that a row of the matrix fails
// without it.
func TestMutationsAreNoticed(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			r := m.row()
			if r == nil {
				t.Fatalf("there is no row %q with %q", m.step, m.fault)
			}
			r.run(matrixSeed, m.disable)
			all := strings.Join(r.violations, "\n")
			if !r.injected || !strings.Contains(all, m.violation) {
				t.Errorf("seed %d: %s: expected %q among %q", matrixSeed, r, m.violation, all)
			}
		})
	}
}

// row returns the row of the matrix that must fail under the mutation, or nil.
func (m mutation) row() *row {
	for _, r := range matrix() {
		if r.step.name == m.step && r.fault.name == m.fault {
			return r
		}
	}
	return nil
}
