package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/internal/core"
)

// TestConvergence checks that after any sequence of faults all views converge to the
// running routers, once no more messages are lost.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := newNetwork(seed)
		n.startRouters(rapid.IntRange(2, 7).Draw(rt, "routers"))
		incarnation := 1
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			n.lossRate = rapid.Float64Range(0, 0.6).Draw(rt, "loss")
			injectFault(rt, n, &incarnation)
			n.advance(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond)
		}
		n.lossRate = 0
		n.partitioned = func(a, b core.RouterID) bool { return false }
		n.advance(30 * time.Second)
		want := fmt.Sprint(n.ids())
		for id, view := range n.views() {
			if fmt.Sprint(view) != want {
				rt.Fatalf("seed %d: view of %s is %v, want %s", seed, id, view, want)
			}
		}
	})
}

// injectFault injects one random fault.
func injectFault(rt *rapid.T, n *network, incarnation *int) {
	ids := n.ids()
	victim := rapid.SampledFrom(ids).Draw(rt, "victim")
	switch rapid.SampledFrom([]string{"partition", "heal", "restart", "disconnect", "blackhole", "generation"}).Draw(rt, "fault") {
	case "partition":
		n.partitioned = partitionAt(victim)
	case "heal":
		n.partitioned = func(a, b core.RouterID) bool { return false }
	case "restart":
		*incarnation++
		old := n.states[victim].Self()
		n.stop(victim)
		var seeds []string
		for _, id := range n.ids() {
			seeds = append(seeds, n.states[id].Self().PeerAddr)
		}
		n.add(newTestPeer(old.Name, *incarnation), seeds)
	case "disconnect":
		n.disconnect(victim, ids[0])
	case "blackhole":
		if n.links[pair(victim, ids[0])] {
			n.blackholed[pair(victim, ids[0])] = true
		}
	case "generation":
		n.states[victim].SetGeneration(uint64(*incarnation))
	}
}

// TestRingFindsADeadRouter checks failure detection in a fleet that is too large for
// a full mesh.
func TestRingFindsADeadRouter(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(2 * MeshLimit)
	n.advance(30 * time.Second)
	expectViews(g, n)
	n.stop("r3.1")
	n.advance(10 * time.Second)
	expectViews(g, n)
}

// BenchmarkTraffic measures the encoded bytes of membership messages, without
// framing, that a router sends per second in a fleet without changes.
func BenchmarkTraffic(b *testing.B) {
	const warmUpSeconds, measuredSeconds = 60, 60
	for _, size := range []int{8, 64, 420} {
		b.Run(fmt.Sprint(size, " routers"), func(b *testing.B) {
			for range b.N {
				n := newNetwork(testSeed)
				n.startRouters(size)
				n.advance(warmUpSeconds * time.Second)
				warmUpBytes := 0
				for _, bytes := range n.sentBytes {
					warmUpBytes += bytes
				}
				clear(n.sentBytes)
				n.advance(measuredSeconds * time.Second)
				total, most := 0, 0
				for _, bytes := range n.sentBytes {
					total += bytes
					most = max(most, bytes)
				}
				converged := 0
				for _, view := range n.views() {
					if len(view) == size {
						converged++
					}
				}
				b.ReportMetric(float64(total)/float64(size)/measuredSeconds, "B/router/s")
				b.ReportMetric(float64(most)/measuredSeconds, "max-B/s")
				b.ReportMetric(float64(warmUpBytes)/float64(size)/warmUpSeconds, "start-B/router/s")
				b.ReportMetric(float64(2*len(n.links))/float64(size), "connections/router")
				b.ReportMetric(float64(converged), "agreed")
			}
		})
	}
}

// TestRingRejoins checks that the two sides of a large fleet merge again after a
// partition.
func TestRingRejoins(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(testSeed)
	n.startRouters(3 * MeshLimit)
	n.advance(30 * time.Second)
	expectViews(g, n)
	n.partitioned = partitionAt("r5")
	n.advance(15 * time.Second)
	ids := n.ids()
	for id, view := range n.views() {
		for _, other := range view {
			g.Expect(n.partitioned(id, other)).To(BeFalse(), "view of %s contains %s across the partition", id, other)
		}
	}
	n.advance(time.Minute)
	n.partitioned = func(a, b core.RouterID) bool { return false }
	n.advance(30 * time.Second)
	expectViews(g, n)
	g.Expect(n.ids()).To(Equal(ids))
}
