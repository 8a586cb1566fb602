package run

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// UpstreamRuns holds the runs that the upstreams report.
type UpstreamRuns struct {
	// Plain and Model count the runs at plain upstreams and at engines. The key is
	// the idempotency key or, for requests without one, the request id. The map is
	// nil if there are no upstreams of the kind or if any of them didn't answer.
	Plain map[string]int `json:"plain,omitempty"`
	Model map[string]int `json:"model,omitempty"`
}

func readUpstreamRuns(ctx context.Context, f *fleet.Fleet) UpstreamRuns {
	return UpstreamRuns{Plain: countRuns(ctx, f.Plain), Model: countRuns(ctx, f.Engines)}
}

// countRuns returns the total runs at the given upstreams by key, or nil if there
// are none or any of them didn't answer.
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
		return nil, errors.Wrap(err, "create request")
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
