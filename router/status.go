package router

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
	"github.com/jujubeford/jujubeford/internal/reducer"
)

// errStopping is returned when the reducer's loop no longer runs.
var errStopping = errors.New("the router is stopping")

// FleetStatus is the response of /v1/status.
type FleetStatus struct {
	reducer.Status
	// Platform says when the platform last answered.
	Platform PlatformStatus `json:"platform"`
	// Asked lists the owners that were queried because of "fleet=true"; empty
	// otherwise.
	Asked []OwnerQueryStatus `json:"asked,omitempty"`
}

// PlatformStatus holds the times of the platform's latest answers; nil means none yet.
// A watch answers after a minute at the latest, so the times are not much older than
// that while the platform is reachable.
type PlatformStatus struct {
	Config    *time.Time `json:"config,omitempty"`
	Instances *time.Time `json:"instances,omitempty"`
}

// OwnerQueryStatus is the result of the query to one owner.
type OwnerQueryStatus struct {
	Router core.RouterID `json:"router"`
	// Error says why the owner's status is missing; empty if the owner answered.
	Error string `json:"error,omitempty"`
	// Taken is the time of the owner's status, by its own clock.
	Taken *time.Time `json:"taken,omitempty"`
	// Pause is the latest period without a step of the owner's reducer, for example
	// because its instance was suspended; nil if there was none.
	Pause *reducer.Pause `json:"pause,omitempty"`
}

// grantedDocument is an owner's answer to queryGranted: its upstreams and backlog.
type grantedDocument struct {
	Taken     time.Time              `json:"taken"`
	Pause     *reducer.Pause         `json:"pause,omitempty"`
	Upstreams []owner.UpstreamStatus `json:"upstreams"`
	Backlog   []owner.Backlog        `json:"backlog"`
}

// lastAnswer is the time at which a part of the platform last answered.
type lastAnswer struct{ at atomic.Int64 }

// setNow records that an answer has just arrived.
func (a *lastAnswer) setNow() { a.at.Store(time.Now().UnixNano()) }

// time returns the time, or nil if there was no answer yet.
func (a *lastAnswer) time() *time.Time {
	ns := a.at.Load()
	if ns == 0 {
		return nil
	}
	t := time.Unix(0, ns)
	return &t
}

// platformTimes holds the times of the platform's latest answers.
type platformTimes struct{ config, instances lastAnswer }

// status returns what this router knows, without querying owners.
func (r *Router) status(ctx context.Context) (FleetStatus, error) {
	var status FleetStatus
	if !r.withState(ctx, func(s *reducer.State) { status.Status = s.Status() }) {
		return status, errStopping
	}
	status.Platform = PlatformStatus{Config: r.platformTimes.config.time(), Instances: r.platformTimes.instances.time()}
	return status, nil
}

// serveStatus answers with this router's status, and with fleet=true also with that of
// the upstreams' owners.
func (r *Router) serveStatus(w http.ResponseWriter, req *http.Request) {
	status, err := r.status(req.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if req.URL.Query().Get("fleet") == "true" {
		r.collectFromOwners(req.Context(), &status)
	}
	writeJSON(w, status)
}

// collectFromOwners queries the owners of upstreams and adds their slots and backlogs
// to status.
func (r *Router) collectFromOwners(ctx context.Context, status *FleetStatus) {
	var owners []core.RouterID
	indexByID := make(map[string]int, len(status.Upstreams))
	for i, u := range status.Upstreams {
		indexByID[u.ID] = i
		if u.Owner != "" && u.Owner != r.self.ID && !slices.Contains(owners, u.Owner) {
			owners = append(owners, u.Owner)
		}
	}
	slices.Sort(owners)
	r.queryAll(ctx, owners, queryGranted, "", func(id core.RouterID, data []byte, err error) {
		var granted grantedDocument
		if err == nil {
			err = json.Unmarshal(data, &granted)
		}
		result := OwnerQueryStatus{Router: id}
		if err != nil {
			result.Error = err.Error()
			status.Asked = append(status.Asked, result)
			return
		}
		result.Taken, result.Pause = &granted.Taken, granted.Pause
		status.Asked = append(status.Asked, result)
		for _, u := range granted.Upstreams {
			if i, ok := indexByID[u.ID]; ok && status.Upstreams[i].Owner == id {
				status.Upstreams[i].Owned = &u
			}
		}
		status.Backlog = mergeBacklog(status.Backlog, granted.Backlog)
	})
}

// mergeBacklog adds the backlog b of one owner to a. For an organisation in both it
// keeps the larger value of each figure, not the sum, as entries announce the same
// requests to several owners.
func mergeBacklog(a, b []owner.Backlog) []owner.Backlog {
	for _, item := range b {
		i := slices.IndexFunc(a, func(existing owner.Backlog) bool {
			return existing.Service == item.Service && existing.Organisation == item.Organisation
		})
		if i < 0 {
			a = append(a, item)
			continue
		}
		existing := &a[i]
		existing.Waiting, existing.OldestMS = max(existing.Waiting, item.Waiting), max(existing.OldestMS, item.OldestMS)
		existing.Served, existing.VirtualTimeGap = max(existing.Served, item.Served), max(existing.VirtualTimeGap, item.VirtualTimeGap)
	}
	return a
}

// grantedDocument returns this router's grantedDocument in JSON.
func (r *Router) grantedDocument(ctx context.Context) ([]byte, error) {
	var doc grantedDocument
	ok := r.withState(ctx, func(s *reducer.State) {
		status := s.Status()
		doc = grantedDocument{Taken: status.Taken, Pause: status.Pause, Backlog: status.Backlog}
		for _, u := range status.Upstreams {
			if u.Owned != nil {
				doc.Upstreams = append(doc.Upstreams, *u.Owned)
			}
		}
	})
	if !ok {
		return nil, errStopping
	}
	return json.Marshal(doc)
}
