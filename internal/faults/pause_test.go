package faults

import "testing"

// pauseSeeds is the number of seeds to try.
const pauseSeeds = 20

// TestWokenRouterKnowsWhoLeft pauses a router while the instance list reports that
// an upstream is leaving. After the pause the router must not send new work to the
// upstream based on its outdated instance list.
func TestWokenRouterKnowsWhoLeft(t *testing.T) {
	leaves, pause := faultNamed("an upstream leaves by the lagging list"), faultNamed("its router is paused past every lease")
	for seed := uint64(1); seed <= pauseSeeds; seed++ {
		combined := leaves
		combined.inject = func(f *fleet, n *node) {
			leaves.inject(f, n)
			pause.inject(f, f.nodes[seed%routerCount])
		}
		r := &row{step: steps[int(seed)%len(steps)], fault: combined}
		r.run(seed, 0)
		for _, b := range r.violations {
			t.Errorf("seed %d: when %s: %s", seed, r.step.name, b)
		}
	}
}

func faultNamed(name string) fault {
	for _, ft := range faults {
		if ft.name == name {
			return ft
		}
	}
	panic("there is no fault " + name)
}
