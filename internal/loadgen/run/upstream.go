package run

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// UpstreamRuns is what upstreams say they ran.
type UpstreamRuns struct {
	// Plain and Model count the runs of each idempotency key or else request
	// id; nil if not all upstreams of the kind could be asked.
	Plain map[string]int `json:"plain,omitempty"`
	Model map[string]int `json:"model,omitempty"`
}

func readUpstreamRuns(ctx context.Context, f *fleet.Fleet) UpstreamRuns {
	return UpstreamRuns{Plain: countRuns(ctx, f.Plain), Model: countRuns(ctx, f.Engines)}
}

// countRuns adds up the runs at some upstreams.
func countRuns(ctx context.Context, upstreams []fleet.Upstream) map[string]int {
	if len(upstreams) == 0 {
		return nil
	}
	total := make(map[string]int)
	for _, u := range upstreams {
		runs, err := readRuns(ctx, u.ControlURL("/runs"))
		if err != nil {
			return nil
		}
		for id, n := range runs {
			total[id] += n
		}
	}
	return total
}

func readRuns(ctx context.Context, url string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read runs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read runs: %s", response.Status)
	}
	var runs map[string]int
	err = json.NewDecoder(response.Body).Decode(&runs)
	return runs, errors.Wrap(err, "decode runs")
}
