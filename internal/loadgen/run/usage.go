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

// Names of the router metrics that are read.
const (
	metricPeerBytes = "jujubeford_peer_bytes_total"
	metricCPU       = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
	metricStart     = "process_start_time_seconds"
)

// Usage is the resource usage of one router during a run.
type Usage struct {
	// ControlBytes is the traffic with other routers in both directions, in bytes
	// per second.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// CPU is in percent of a core.
	CPU float64 `json:"cpu_percent"`
	// Memory is the resident memory at the end, in bytes.
	Memory float64 `json:"memory_bytes"`
}

// metricsSample holds the metrics of one router at one time. The field start is the
// start time of its process, which identifies the process.
type metricsSample struct {
	peerBytes, cpu, memory, start float64
}

// controlTimeout is the timeout of requests to admin and control addresses.
const controlTimeout = 3 * time.Second

// readAllMetrics reads the metrics of all routers concurrently. The entry of a router
// that has no admin address or doesn't answer is nil.
func readAllMetrics(ctx context.Context, f *fleet.Fleet) []*metricsSample {
	samples := make([]*metricsSample, len(f.Routers))
	var wait sync.WaitGroup
	for i, router := range f.Routers {
		if router.Admin == "" {
			continue
		}
		wait.Go(func() { samples[i], _ = readMetrics(ctx, router.Admin) })
	}
	wait.Wait()
	return samples
}

func readMetrics(ctx context.Context, addr string) (*metricsSample, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
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

// usageBetween returns the usage of each router between two samples. The usage of a
// router whose process was replaced in between counts from the start of the new
// process.
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
