package membership

import "github.com/jujubeford/jujubeford/internal/core"

// All returns all known routers, this one first and the others sorted by id. Dead
// routers are included until their tombstones expire, so that a restarted router
// appears with two incarnations.
func (s *State) All() []core.Peer {
	peers := make([]core.Peer, 0, len(s.sortedIDs)+1)
	peers = append(peers, peerFromMember(s.self))
	for _, id := range s.sortedIDs {
		peers = append(peers, s.members[id].toPeer())
	}
	return peers
}
