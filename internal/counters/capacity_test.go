package counters

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const benchService = "model-0"

func benchRouters(n int) []core.RouterID {
	out := make([]core.RouterID, n)
	for i := range out {
		out[i] = core.RouterID(fmt.Sprintf("r%03d.%08x", i, i))
	}
	return out
}

// benchCounters returns the counters of n backlogged organisations, each at one million
// plus served. Callers pass a growing served, as the counters of an owner only grow.
func benchCounters(n int, served uint64) []*wire.Counter {
	out := make([]*wire.Counter, n)
	for i := range out {
		out[i] = &wire.Counter{
			Service: benchService, Organisation: fmt.Sprintf("org-%04d", i),
			Served: 1_000_000 + served, Backlogged: true,
		}
	}
	return out
}

// BenchmarkReport measures one ReportInterval of an owner: it reports its counters of
// backlogged organisations to their aggregators and handles the totals.
func BenchmarkReport(b *testing.B) {
	for _, s := range []struct{ routers, accounts int }{{8, 16}, {64, 16}, {64, 50}, {420, 7}, {420, 50}, {420, 340}} {
		b.Run(fmt.Sprintf("routers=%d/accounts=%d", s.routers, s.accounts), func(b *testing.B) {
			alive, now := benchRouters(s.routers), time.Unix(1_700_000_000, 0)
			state := New(alive[0])
			ownCounter := func(string, string) uint64 { return 0 }
			bytes, messages := 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(ReportInterval)
				effects, _ := state.Report(now, benchCounters(s.accounts, uint64(i)), alive, ownCounter)
				for _, e := range effects {
					sent := e.(core.SendPeer)
					counters := sent.Message.GetCounterReport().GetCounters()
					answer := &wire.Envelope{Body: &wire.Envelope_CounterTotals{CounterTotals: &wire.CounterTotals{Totals: counters}}}
					bytes += proto.Size(sent.Message) + proto.Size(answer)
					messages += 2
					state.HandleTotals(sent.To, counters, ownCounter)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "control-B/op")
			b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
		})
	}
}

// BenchmarkMerge measures one ReportInterval of an aggregator: every other router
// reports one of the organisations that are aggregated here.
func BenchmarkMerge(b *testing.B) {
	for _, routers := range []int{8, 64, 420} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			reporters, now := benchRouters(routers), time.Unix(1_700_000_000, 0)
			state := New(reporters[0])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(ReportInterval)
				for _, from := range reporters[1:] {
					state.MergeReport(now, from, benchCounters(1, uint64(i)))
				}
			}
		})
	}
}
