package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// fetchListing asks a peer for the instance list while the platform has not
// provided one, so that a router that starts during an outage of the platform
// can serve.
func (s *State) fetchListing(from core.RouterID) {
	if s.hasInstanceList {
		return
	}
	s.emit([]core.Effect{core.SendPeer{To: from, Message: &wire.Envelope{Body: &wire.Envelope_ListingFetch{
		ListingFetch: &wire.ListingFetch{},
	}}}})
}

// retryFetchListing asks another peer while no list has arrived, since the
// first request may have been lost.
func (s *State) retryFetchListing() {
	if s.hasInstanceList || s.view.HasUpstreams() {
		return
	}
	peers := s.view.RouterIDs()
	for range peers {
		s.lastListingPeer = (s.lastListingPeer + 1) % len(peers)
		if to := peers[s.lastListingPeer]; to != s.options.Self.ID {
			s.fetchListing(to)
			return
		}
	}
}

func (s *State) sendListing(to core.RouterID) {
	if !s.view.HasUpstreams() {
		return
	}
	m := &wire.Listing{}
	for _, u := range s.view.All() {
		m.Upstreams = append(m.Upstreams, &wire.ListedUpstream{
			Id: u.ID, Service: u.Service, Addr: u.Addr, Domain: u.Domain, Leaving: u.State != core.UpstreamUp,
		})
	}
	s.emit([]core.Effect{core.SendPeer{To: to, Message: &wire.Envelope{Body: &wire.Envelope_Listing{Listing: m}}}})
}

// acceptListing uses a peer's instance list until the platform provides one.
func (s *State) acceptListing(now time.Time, m *wire.Listing) {
	if s.hasInstanceList || len(m.Upstreams) == 0 {
		return
	}
	list := make([]core.Upstream, 0, len(m.Upstreams))
	for _, u := range m.Upstreams {
		up := core.Upstream{ID: u.Id, Service: u.Service, Addr: u.Addr, Domain: u.Domain}
		if u.Leaving {
			up.State = core.UpstreamLeaving
		}
		list = append(list, up)
	}
	s.view.SetUpstreams(list)
	s.viewChanged(now)
}
