package run

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// Ran counts what upstreams say they ran.
type Ran struct {
	// Keys counts the runs of each idempotency key at the plain services.
	Keys map[string]int `json:"keys"`
	// Requests counts the runs of each request id at all upstreams.
	Requests map[string]int `json:"requests"`
	// Known tells whether the upstreams could be asked.
	Known bool `json:"known"`
}

// ranRecord is one line of a stand-in's list of runs.
type ranRecord struct {
	Key     string `json:"key"`
	Request string `json:"request"`
}

func readRan(ctx context.Context, f *fleet.Fleet) Ran {
	ran := Ran{Keys: make(map[string]int), Requests: make(map[string]int)}
	for _, u := range f.Plain {
		if u.Control == "" {
			continue
		}
		records, err := readRuns(ctx, u.Control)
		if err != nil {
			continue
		}
		ran.Known = true
		for _, r := range records {
			if r.Key != "" {
				ran.Keys[r.Key]++
			}
			if r.Request != "" {
				ran.Requests[r.Request]++
			}
		}
	}
	return ran
}

func readRuns(ctx context.Context, control string) ([]ranRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/runs", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read runs")
	}
	defer response.Body.Close()
	var records []ranRecord
	err = json.NewDecoder(response.Body).Decode(&records)
	return records, errors.Wrap(err, "decode runs")
}
