package membership

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// meshPings and ringPings are the pings per period in a full mesh and on a hash
	// ring.
	meshPings = 2
	ringPings = 1
)

// pingNeighbours pings the next neighbours of the current round. While any router is
// suspect it pings all neighbours, since failures tend to be correlated.
func (s *State) pingNeighbours(now time.Time) {
	remaining := ringPings
	switch {
	case s.hasSuspects():
		remaining = len(s.neighbours)
	case s.isFullMesh():
		remaining = meshPings
	}
	for range len(s.neighbours) {
		if remaining == 0 {
			return
		}
		if r := s.members[s.nextToPing()]; r != nil && r.connected {
			s.ping(now, r)
			remaining--
		}
	}
}

// hasSuspects reports whether any router is suspect.
func (s *State) hasSuspects() bool {
	for id := range s.watched {
		if s.members[id].state() == wire.MemberState_MEMBER_SUSPECT {
			return true
		}
	}
	return false
}

// nextToPing iterates over the neighbours in rounds, each in a new random order, so
// that the time between two pings to the same neighbour is bounded.
func (s *State) nextToPing() core.RouterID {
	if len(s.pingRound) == 0 {
		s.pingRound = slices.Clone(s.neighbours)
		s.random.Shuffle(len(s.pingRound), func(i, j int) {
			s.pingRound[i], s.pingRound[j] = s.pingRound[j], s.pingRound[i]
		})
	}
	id := s.pingRound[0]
	s.pingRound = s.pingRound[1:]
	return id
}

// ping pings a connected router, unless a ping is outstanding or the connection is
// about to be closed as unresponsive.
func (s *State) ping(now time.Time, r *record) {
	if !r.connected || !r.ackDeadline.IsZero() || !r.disconnectAt.IsZero() {
		return
	}
	s.lastPingSeq++
	r.pingSeq = s.lastPingSeq
	r.ackDeadline = now.Add(AckTimeout)
	s.updateWatched(r)
	s.send(r.id(), newPing(s.lastPingSeq, s.updatesFor(r)))
}

// updateNeighbours recomputes the neighbours if the set of alive routers has changed.
func (s *State) updateNeighbours() {
	if !s.neighboursStale {
		return
	}
	s.neighboursStale = false
	s.pingRound = nil
	ring := s.ringByDistance()
	s.neighbours = make([]core.RouterID, 0, len(ring))
	if s.isFullMesh() {
		for _, p := range ring {
			s.neighbours = append(s.neighbours, p.id)
		}
		return
	}
	// The predecessor is a neighbour too, so that at least two other routers ping
	// each router.
	s.neighbours = append(s.neighbours, ring[len(ring)-1].id)
	for bit := range hashBits {
		index := sort.Search(len(ring), func(i int) bool { return ring[i].distance >= 1<<bit })
		if index == len(ring) {
			break
		}
		if id := ring[index].id; !slices.Contains(s.neighbours, id) {
			s.neighbours = append(s.neighbours, id)
		}
	}
}

// ringPosition is a router's position on the hash ring, as the distance from this
// router.
type ringPosition struct {
	distance uint64
	id       core.RouterID
}

// ringByDistance returns the other alive routers, sorted by their distance.
func (s *State) ringByDistance() []ringPosition {
	self := ringHash(core.RouterID(s.self.Id))
	ring := make([]ringPosition, 0, len(s.sortedIDs))
	for _, id := range s.sortedIDs {
		if r := s.members[id]; r.isAlive() {
			ring = append(ring, ringPosition{r.ringHash - self, id})
		}
	}
	slices.SortFunc(ring, func(a, b ringPosition) int { return cmp.Compare(a.distance, b.distance) })
	return ring
}

// hashBits is the size of a hash in bits.
const hashBits = 64

// ringHash returns a router's position on the hash ring.
func ringHash(id core.RouterID) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}
