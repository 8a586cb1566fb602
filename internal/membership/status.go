package membership

import "github.com/jujubeford/jujubeford/internal/core"

// All returns every router that is known, this one first and then by id: dead
// ones stand in the list for a time, so that a restarted router shows as two
// incarnations.
func (s *State) All() []core.Peer {
	peers := make([]core.Peer, 0, len(s.sortedIDs)+1)
	peers = append(peers, peerFromMember(s.self))
	for _, id := range s.sortedIDs {
		peers = append(peers, s.members[id].toPeer())
	}
	return peers
}
