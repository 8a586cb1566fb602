package reducer

import (
	"time"

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
