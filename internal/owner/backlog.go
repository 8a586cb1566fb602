package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Backlog is an organisation that waits for a service here.
type Backlog struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	Share        float64 `json:"share"`
	// Waiting is the number of requests that entries told this owner of, and
	// OldestMS the age of the oldest in milliseconds.
	Waiting  uint32 `json:"waiting"`
	OldestMS int64  `json:"oldest_ms"`
	// Served is the service charged here and elsewhere, in the service's unit.
	Served uint64 `json:"served"`
	// Gap is by how much its virtual time, as this owner reckons it, exceeds that
	// of the organisation that is next, in the service's unit for a share of 1.
	Gap float64 `json:"gap"`
}

// Backlogs lists the organisations that wait here, by service and name.
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
		if len(out) == 0 || a.Virtual < least {
			least = a.Virtual
		}
		b := Backlog{
			Service: sv.name, Organisation: a.Organisation, Share: a.Share,
			Served: a.Own + a.Remote, Gap: a.Virtual,
		}
		b.addDemand(now, byEntry)
		out = append(out, b)
	}
	for i := range out {
		out[i].Gap -= least
	}
	return out
}

// addDemand adds up what the entries told.
func (b *Backlog) addDemand(now time.Time, byEntry map[demandKey]*demand) {
	for _, d := range byEntry {
		b.Waiting += d.waiting
		b.OldestMS = max(b.OldestMS, now.Sub(d.oldest).Milliseconds())
	}
}

// UpstreamStatuses describes the upstreams that this router owns, by id.
func (s *State) UpstreamStatuses(now time.Time) []UpstreamStatus { return s.Status(now).Upstreams }

// IsLeaving reports whether an owned upstream gets no new work because it said, or
// the platform listed, that it is leaving.
func (s *State) IsLeaving(now time.Time, id string) bool {
	u := s.upstreams[id]
	return u != nil && (now.Before(u.leavingUntil) || u.State != core.UpstreamUp)
}
