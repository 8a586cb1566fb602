package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
)

// Status is the fleet as this router knows it, in the form of /v1/status.
type Status struct {
	Router     core.RouterID `json:"router"`
	Domain     string        `json:"domain"`
	Ready      bool          `json:"ready"`
	Draining   bool          `json:"draining"`
	Generation uint64        `json:"generation"`
	Requests   int           `json:"requests"`
	// Peers are the live routers, this one included.
	Peers []PeerStatus `json:"peers"`
	// Upstreams are all upstreams with their owners.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Owned is what this router lends.
	Owned owner.Status `json:"owned"`
}

// PeerStatus is a live router.
type PeerStatus struct {
	ID         core.RouterID `json:"id"`
	Domain     string        `json:"domain"`
	Generation uint64        `json:"generation"`
	// Heard is when it was last heard of directly.
	Heard time.Time `json:"heard"`
}

// UpstreamStatus is an upstream in the instance list.
type UpstreamStatus struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Domain  string        `json:"domain"`
	Owner   core.RouterID `json:"owner"`
	Leaving bool          `json:"leaving"`
}

// Status returns a copy of what operators see.
func (s *State) Status() Status {
	out := Status{
		Router: s.options.Self.ID, Domain: s.options.Self.Domain, Ready: s.ready,
		Draining: !s.drainSince.IsZero(), Generation: s.generation, Requests: s.entry.Requests(),
		Owned: s.owner.Status(s.now),
	}
	for _, p := range s.view.Alive() {
		out.Peers = append(out.Peers, PeerStatus{ID: p.ID, Domain: p.Domain, Generation: p.Generation, Heard: p.Heard})
	}
	for _, u := range s.view.All() {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: u.ID, Service: u.Service, Domain: u.Domain,
			Owner: s.view.Owner(u.ID), Leaving: u.State != core.UpstreamUp,
		})
	}
	return out
}
