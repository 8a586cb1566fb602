package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Backlog describes an organisation with requests waiting for a service at this
// owner.
type Backlog struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	Share        float64 `json:"share"`
	// Waiting is the number of requests that entries reported as waiting, and
	// OldestMS the age of the oldest in milliseconds.
	Waiting  uint32 `json:"waiting"`
	OldestMS int64  `json:"oldest_ms"`
	// Served is the cost charged here and at other owners, in the service's
	// unit.
	Served uint64 `json:"served"`
	// VirtualTimeGap is the difference between the organisation's virtual time, as this
	// owner computes it, and that of the organisation that is served next, in
	// the service's unit for a share of 1.
	VirtualTimeGap float64 `json:"gap"`
}

// Backlogs returns the backlogged organisations, ordered by service and name.
func (s *State) Backlogs(now time.Time) []Backlog {
	var out []Backlog
	for _, name := range sorted(s.services) {
		out = append(out, s.services[name].backlogs(now)...)
	}
	return out
}

func (sv *service) backlogs(now time.Time) []Backlog {
	if len(sv.demand) == 0 {
		return nil
	}
	var out []Backlog
	var least float64
	for _, a := range sv.queue.Accounts() {
		byEntry := sv.demand[a.Organisation]
		if len(byEntry) == 0 {
			continue
		}
		if len(out) == 0 || a.VirtualTime < least {
			least = a.VirtualTime
		}
		b := Backlog{
			Service: sv.name, Organisation: a.Organisation, Share: a.Share,
			Served: a.LocalService + a.RemoteService, VirtualTimeGap: a.VirtualTime,
		}
		b.addDemand(now, byEntry)
		out = append(out, b)
	}
	for i := range out {
		out[i].VirtualTimeGap -= least
	}
	return out
}

// addDemand adds up the demand reported by the entries.
func (b *Backlog) addDemand(now time.Time, byEntry map[demandKey]*demand) {
	for _, d := range byEntry {
		b.Waiting += d.waiting
		b.OldestMS = max(b.OldestMS, now.Sub(d.oldest).Milliseconds())
	}
}

// UpstreamStatuses returns the status of the upstreams that this router owns,
// ordered by ID.
func (s *State) UpstreamStatuses(now time.Time) []UpstreamStatus { return s.Status(now).Upstreams }

// IsLeaving reports whether an owned upstream gets no new work because it
// announced that it is leaving, or the platform lists it as leaving.
func (s *State) IsLeaving(now time.Time, id string) bool {
	u := s.upstreams[id]
	return u != nil && (now.Before(u.leavingUntil) || u.State != core.UpstreamUp)
}
