package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// statusTimeout bounds one request to a router.
	statusTimeout = 2 * time.Second
	// statusPollInterval is the time between requests while waiting for a generation.
	statusPollInterval = 250 * time.Millisecond
	// maxStatusBytes bounds the body of the answer.
	maxStatusBytes = 8 << 20
	// statusPath is the path of the status document, which lists the routers of the
	// fleet.
	statusPath = "/v1/status"
)

// adminStatus is the part of the status document that submit uses.
type adminStatus struct {
	Routers []adminRouter `json:"routers"`
}

// adminRouter is one router in the status document.
type adminRouter struct {
	ID         string `json:"id"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
}

// Routers in these states need not have the new configuration.
const (
	routerLeaving = "leaving"
	routerDead    = "dead"
)

// propagation is the state of a new generation across the fleet.
type propagation struct {
	generation uint64
	// routers is the number of routers that need the generation.
	routers int
	// behind are the IDs of those at a lower generation.
	behind []string
}

// complete reports whether the generation is in force at all routers.
func (s propagation) complete() bool { return s.routers > 0 && len(s.behind) == 0 }

// String describes the propagation in one sentence.
func (s propagation) String() string {
	text := fmt.Sprintf("generation %d is in force at %d of %d routers",
		s.generation, s.routers-len(s.behind), s.routers)
	if len(s.behind) > 0 {
		text += ", not yet at " + strings.Join(s.behind, ", ")
	}
	return text
}

// propagationOf computes the propagation of a generation from a status document. A
// router at a later generation counts as having it.
func propagationOf(status adminStatus, generation uint64) propagation {
	s := propagation{generation: generation}
	for _, router := range status.Routers {
		if router.State == routerLeaving || router.State == routerDead {
			continue
		}
		s.routers++
		if router.Generation < generation {
			s.behind = append(s.behind, router.ID)
		}
	}
	return s
}

// adminClient reads the status document of one router.
type adminClient struct {
	url  string
	http *http.Client
}

// newAdminClient returns a client of the router at an admin address.
func newAdminClient(addr string) *adminClient {
	return &adminClient{url: "http://" + addr + statusPath, http: &http.Client{Timeout: statusTimeout}}
}

// awaitGeneration polls the router until the generation is in force at all routers
// or wait has passed, and returns the last result. If wait is 0, it polls once.
func (c *adminClient) awaitGeneration(ctx context.Context, generation uint64, wait time.Duration) (propagation, error) {
	deadline := time.Now().Add(wait)
	for {
		status, err := c.status(ctx)
		found := propagationOf(status, generation)
		if err == nil && found.complete() || !time.Now().Before(deadline) || ctx.Err() != nil {
			return found, err
		}
		sleep(ctx, statusPollInterval)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// status fetches the status document.
func (c *adminClient) status(ctx context.Context) (adminStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return adminStatus{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return adminStatus{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return adminStatus{}, errors.Errorf("%s answered %s", c.url, response.Status)
	}
	var status adminStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, errors.Wrapf(err, "decode the answer of %s", c.url)
}
