package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
)

// Explain returns the decisions that this router made as an owner while a
// request waited.
func (s *State) Explain(now time.Time, q owner.ExplainRequest) owner.ExplainReply {
	return s.owner.Explain(now, q)
}

// Owners returns the routers that own upstreams of a service, those in this
// router's failure domain first.
func (s *State) Owners(service string) []core.RouterID {
	near, far := s.view.Owners(service)
	return append(append([]core.RouterID{}, near...), far...)
}

// Reachable returns the routers to query about the whole fleet, including this
// one, and the dead routers, which cannot be queried.
func (s *State) Reachable() (reachable, dead []core.RouterID) {
	for _, p := range s.members.All() {
		if routerState(p.State) == RouterDead {
			dead = append(dead, p.ID)
			continue
		}
		reachable = append(reachable, p.ID)
	}
	return reachable, dead
}

// Objectives returns the service objectives in force, by service.
func (s *State) Objectives() map[string]config.Objectives {
	out := make(map[string]config.Objectives)
	if c := s.rollout.Config(); c != nil {
		for _, sv := range c.Services {
			out[sv.Name] = sv.Objectives
		}
	}
	return out
}

// AdminAddr returns the address at which a router serves operators, "" if
// unknown.
func (s *State) AdminAddr(id core.RouterID) string {
	p, _ := s.members.Peer(id)
	return p.AdminAddr
}
