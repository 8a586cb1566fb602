package config

import (
	"fmt"
	"runtime"
	"testing"
)

// benchmarkText returns the text of a configuration with 6 model services and the
// given number of organisations.
func benchmarkText(b *testing.B, organisations int) []byte {
	b.Helper()
	builder := New("bench")
	var names []string
	for i := range 6 {
		name := fmt.Sprintf("model-%d", i)
		names = append(names, name)
		builder.Service(ModelService(name, name))
	}
	for i := range organisations {
		name := fmt.Sprintf("org-%04d", i)
		builder.Organisation(NewOrganisation(name, 1+i%10).WithKey("example-key-" + name).Reaching(names...))
	}
	c, err := builder.Build()
	if err != nil {
		b.Fatal(err)
	}
	text, err := c.Print()
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// BenchmarkConfiguration measures what a configuration costs: the time to parse
// and check its text, the size of the text, the number, total size and largest
// size of its parts (a change of one organisation replaces one part), and the
// heap memory that the parsed configuration retains.
func BenchmarkConfiguration(b *testing.B) {
	for _, organisations := range []int{16, 500, 3400} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			text := benchmarkText(b, organisations)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, err := Parse(text)
			runtime.GC()
			runtime.ReadMemStats(&after)
			if err != nil {
				b.Fatal(err)
			}
			parts, err := c.Split()
			if err != nil {
				b.Fatal(err)
			}
			total, largest := 0, 0
			for _, p := range parts {
				total += len(p.Data)
				largest = max(largest, len(p.Data))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
			b.ReportMetric(float64(total), "parts-B")
			b.ReportMetric(float64(largest), "part-B")
			b.ReportMetric(float64(len(parts)), "parts")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
			runtime.KeepAlive(c)
		})
	}
}
