package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
)

// Explain answers what this router decided as an owner while a request waited.
func (s *State) Explain(now time.Time, q owner.Question) owner.Answer {
	return s.owner.Explain(now, q)
}

// Owners are the routers that own upstreams of a service, those of this
// router's failure domain first.
func (s *State) Owners(service string) []core.RouterID {
	near, far := s.view.Owners(service)
	return append(append([]core.RouterID{}, near...), far...)
}

// Reachable are the routers to ask for what concerns the whole fleet, this one
// included, and those that ended without leaving and cannot be asked.
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

// Objectives are the objectives in force, by service.
func (s *State) Objectives() map[string]config.Objectives {
	out := make(map[string]config.Objectives)
	if c := s.rollout.Config(); c != nil {
		for _, sv := range c.Services {
			out[sv.Name] = sv.Objectives
		}
	}
	return out
}

// AdminAddr is where a router serves operators, "" if it is not known.
func (s *State) AdminAddr(id core.RouterID) string {
	p, _ := s.members.Peer(id)
	return p.AdminAddr
}
