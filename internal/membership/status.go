package membership

import "github.com/jujubeford/jujubeford/internal/core"

// All returns every router that is known, this one first and then by id: dead
// ones stand in the list for a time, so that a restarted router shows as two
// incarnations.
func (s *State) All() []core.Peer {
	out := make([]core.Peer, 0, len(s.order)+1)
	out = append(out, peerOf(s.self))
	for _, id := range s.order {
		out = append(out, s.members[id].peer())
	}
	return out
}
