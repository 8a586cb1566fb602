package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/fair"
)

// Status describes the slots that this router grants, for operators.
type Status struct {
	Upstreams []UpstreamStatus          `json:"upstreams"`
	Accounts  map[string][]fair.Account `json:"accounts"`
}

// UpstreamStatus describes an owned upstream.
type UpstreamStatus struct {
	ID      string `json:"id"`
	Slots   int    `json:"slots"`
	Granted int    `json:"granted"`
	Free    int    `json:"free"`
	Slow    bool   `json:"slow"`
	Paused  bool   `json:"paused"`
	// Speed is the current speed in cost per second of one grant, and Best the
	// slowly decaying maximum of it.
	Speed float64 `json:"speed"`
	Best  float64 `json:"best"`
}

// Status returns a copy of the state that operators see.
func (s *State) Status(now time.Time) Status {
	out := Status{Accounts: make(map[string][]fair.Account)}
	for _, id := range sorted(s.upstreams) {
		u := s.upstreams[id]
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: id, Slots: u.slots, Granted: len(u.grants), Free: u.freeSlots(now), Slow: u.speed.slow(now),
			Paused: now.Before(u.pausedUntil), Speed: u.speed.current, Best: u.speed.best,
		})
	}
	for _, name := range sorted(s.services) {
		if accounts := s.services[name].queue.Accounts(); len(accounts) > 0 {
			out.Accounts[name] = accounts
		}
	}
	return out
}
