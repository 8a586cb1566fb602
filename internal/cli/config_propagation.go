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
	// statusTimeout bounds one question to a router.
	statusTimeout = 2 * time.Second
	// statusPollInterval is the time between questions while waiting.
	statusPollInterval = 250 * time.Millisecond
	// maxStatusBytes bounds the answer, in bytes.
	maxStatusBytes = 8 << 20
	// statusPath is the document with the routers of the fleet.
	statusPath = "/v1/status"
)

// adminStatus is the part of the status document that submit reads.
type adminStatus struct {
	Routers []adminRouter `json:"routers"`
}

// adminRouter is one router of the fleet.
type adminRouter struct {
	ID         string `json:"id"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
}

// The states of routers that a new configuration need not reach.
const (
	routerLeaving = "leaving"
	routerDead    = "dead"
)

// propagation says where a generation is in force.
type propagation struct {
	generation uint64
	routers    int
	// behind are the routers at a lower generation.
	behind []string
}

// complete reports whether all routers have the generation.
func (s propagation) complete() bool { return s.routers > 0 && len(s.behind) == 0 }

// String is the spread as one sentence.
func (s propagation) String() string {
	text := fmt.Sprintf("generation %d is in force at %d of %d routers",
		s.generation, s.routers-len(s.behind), s.routers)
	if len(s.behind) > 0 {
		text += ", not yet at " + strings.Join(s.behind, ", ")
	}
	return text
}

// propagationOf works out the spread of a generation; a later one counts as well.
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

// adminClient asks one router.
type adminClient struct {
	url  string
	http *http.Client
}

func newAdminClient(addr string) *adminClient {
	return &adminClient{url: "http://" + addr + statusPath, http: &http.Client{Timeout: statusTimeout}}
}

// awaitGeneration asks until the generation is in force at all routers, at most
// for wait; with wait 0 it asks once.
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

// sleep waits, unless the context ends first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// status reads the status document.
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
