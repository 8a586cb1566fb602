package gateway

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkServedUnderFlood simulates one small router at its load and at ten times that,
// without peers, and reports the requests that it serves a second.
func BenchmarkServedUnderFlood(b *testing.B) {
	for _, rate := range []float64{150, 1500} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			const length = 10 * time.Second
			served := 0
			for b.Loop() {
				d := newSimDomain()
				// No reports come.
				d.reported = d.now.Add(2 * length)
				d.run(length, simCallers{"any", 4, rate})
				served = d.served["any"]
			}
			b.ReportMetric(float64(served)/length.Seconds(), "served/s")
		})
	}
}
