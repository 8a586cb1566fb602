package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/pace"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// sampleReport is a report of a router or, with more entries, of a failure domain.
func sampleReport(loads, organisations, placements int) dispatch.Report {
	r := dispatch.NewReport()
	for i := range loads {
		r.Loads[dispatch.Key(fmt.Sprint("i", i))] = dispatch.Load{Running: 3 + i%9, Prefill: 12_000 * (i % 3), Memory: 40_000, DecodeAttempts: i % 5}
	}
	for i := range organisations {
		r.Usage[dispatch.Key(fmt.Sprint("o", i))] = dispatch.Usage{Demand: 90_000, Started: 70_000 + float64(i), Charged: 0.25}
	}
	for i := range placements {
		r.Placements = append(r.Placements, dispatch.Placement{
			Upstream: dispatch.Key(fmt.Sprint("i", i%9)), Part: dispatch.Part{ID: uint64(i) << 30, Tokens: 5382}, Read: i%2 == 0,
		})
	}
	r.Contended = []uint32{5, 1 << 31}
	r.Leaving = []uint64{7, 1 << 63}
	r.Limits[dispatch.Key("i0")] = dispatch.Limit{PerSecond: 6.125, Age: 40 * time.Millisecond}
	r.Limits[dispatch.Key("i1")] = dispatch.Limit{Age: 3 * time.Second}
	r.Cold = map[uint32]time.Duration{dispatch.Key("i0"): 2900 * time.Millisecond, dispatch.Key("i2"): time.Minute}
	r.Pace = map[uint32]pace.Report{
		dispatch.Key("i0"): {Failures: 3, FirstAge: time.Second, BadAge: 0, GoodAge: pace.Never}, dispatch.Key("i3"): {FirstAge: pace.Never, BadAge: pace.Never, GoodAge: 70 * time.Millisecond},
	}
	r.Crashes = []poison.Fact{
		{Kind: poison.FactSuspect, Trait: poison.Trait{Kind: poison.KindRequest, ID: 1 << 63}, Run: 1<<63 + 1, Before: 1 << 62, Proven: true},
		{Kind: poison.FactBlocked, Trait: poison.Trait{Kind: poison.KindRequest, ID: 7}, Proven: true, Left: poison.BlockTime},
	}
	return r
}

// TestDatagramKeepsTheReport: what is decoded is what was encoded.
func TestDatagramKeepsTheReport(t *testing.T) {
	g := NewWithT(t)
	report := sampleReport(20, 60, 8)
	sent := datagram{
		addr: "10.0.0.1:7400", incarnation: 1 << 60, serial: 9, config: 4, lastChange: 1 << 40, domain: "ga-east-a",
		scope: scopeDomain, storeLost: true, leaving: true, members: 49, applied: 77, watch: true,
		spare: 0.5125, offloadPort: 7402,
	}
	got, err := decode(sent.appendReceiver(sent.encode(nil, report)))
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := got.encoded.decode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(report))
	got.encoded = encodedReport{}
	g.Expect(*got).To(Equal(sent))
}

// FuzzDatagram: any bytes give a report or an error.
func FuzzDatagram(f *testing.F) {
	d := datagram{addr: "10.0.0.1:7400", serial: 1, domain: "d"}
	f.Add(d.encode(nil, sampleReport(3, 4, 5)))
	f.Add([]byte{0xff, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decode(b)
		if err != nil {
			return
		}
		r, err := d.encoded.decode()
		if err != nil {
			return
		}
		if d.members < 0 {
			t.Errorf("members %d", d.members)
		}
		if _, err := decode(d.encode(nil, r)); err != nil {
			t.Error(err)
		}
	})
}

// BenchmarkDatagram measures a router's own report and the sum of a failure domain.
func BenchmarkDatagram(b *testing.B) {
	for _, x := range []struct{ loads, organisations, placements int }{{8, 60, 4}, {20, 60, 20}, {160, 60, 64}, {160, 60, 256}} {
		report := sampleReport(x.loads, x.organisations, x.placements)
		d := datagram{addr: "10.0.0.1:7400", incarnation: 1 << 60, serial: 9, config: 4, lastChange: 1 << 40, domain: "ga-east-a"}
		encoded := d.encode(nil, report)
		name := fmt.Sprintf("%d-%d-%d/%d-bytes", x.loads, x.organisations, x.placements, len(encoded))
		b.Run(name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				encoded = d.encode(encoded[:0], report)
			}
		})
		b.Run(name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				got, err := decode(encoded)
				if err == nil {
					_, err = got.encoded.decode()
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
