package run

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// The metrics of a router that are read.
const (
	metricPeerBytes = "jujubeford_peer_bytes_total"
	metricCPU       = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
	metricStart     = "process_start_time_seconds"
)

// Usage is what one router spent during a run.
type Usage struct {
	// ControlBytes is the traffic between routers in both directions, in bytes a
	// second.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// CPU is in percent of a core.
	CPU float64 `json:"cpu_percent"`
	// Memory is the resident memory at the end, in bytes.
	Memory float64 `json:"memory_bytes"`
}

// metricsSample is the metrics of one router at one time.
type metricsSample struct {
	peerBytes, cpu, memory, start float64
}

const controlTimeout = 3 * time.Second

// readAllMetrics reads the metrics of all routers; the entry of one that does not
// answer is nil.
func readAllMetrics(ctx context.Context, f *fleet.Fleet) []*metricsSample {
	readings := make([]*metricsSample, len(f.Routers))
	var wait sync.WaitGroup
	for i, router := range f.Routers {
		if router.Admin == "" {
			continue
		}
		wait.Go(func() { readings[i], _ = readMetrics(ctx, router.Admin) })
	}
	wait.Wait()
	return readings
}

func readMetrics(ctx context.Context, addr string) (*metricsSample, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "decode metrics")
	}
	sum := func(name string) float64 {
		total := 0.0
		for _, m := range families[name].GetMetric() {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
		return total
	}
	return &metricsSample{
		peerBytes: sum(metricPeerBytes),
		cpu:       sum(metricCPU),
		memory:    sum(metricMemory),
		start:     sum(metricStart),
	}, nil
}

// usageBetween is the difference of two readings. A router that was replaced counts
// from its start.
func usageBetween(before, after []*metricsSample, elapsed time.Duration) []*Usage {
	result := make([]*Usage, len(after))
	seconds := elapsed.Seconds()
	for i, a := range after {
		if a == nil {
			continue
		}
		b := before[i]
		if b == nil || b.start != a.start {
			b = &metricsSample{}
		}
		const percent = 100
		result[i] = &Usage{
			ControlBytes: (a.peerBytes - b.peerBytes) / seconds,
			CPU:          (a.cpu - b.cpu) / seconds * percent,
			Memory:       a.memory,
		}
	}
	return result
}
