package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// meshPings and ringPings are the pings in a period, in a small and in a
	// large fleet.
	meshPings = 2
	ringPings = 1
)

// pingSome pings the next neighbours of the current round.
func (s *State) pingSome(now time.Time) {
	left := ringPings
	if s.mesh() {
		left = meshPings
	}
	for range len(s.neighbours) {
		if left == 0 {
			return
		}
		if r := s.members[s.nextToPing()]; r != nil && r.connected {
			s.ping(now, r)
			left--
		}
	}
}

// nextToPing goes through the neighbours in rounds, each in a new random order,
// so that the time between two pings to the same one is bounded.
func (s *State) nextToPing() core.RouterID {
	if len(s.toPing) == 0 {
		s.toPing = slices.Clone(s.neighbours)
		s.random.Shuffle(len(s.toPing), func(i, j int) {
			s.toPing[i], s.toPing[j] = s.toPing[j], s.toPing[i]
		})
	}
	id := s.toPing[0]
	s.toPing = s.toPing[1:]
	return id
}

// ping probes a connected router, unless a ping is already outstanding.
func (s *State) ping(now time.Time, r *record) {
	if !r.connected || !r.probeUntil.IsZero() || !r.hangupAt.IsZero() {
		return
	}
	s.seq++
	r.probeSeq = s.seq
	r.probeUntil = now.Add(AckTimeout)
	s.watch(r)
	updates := s.piggyback(r)
	if len(updates) == 0 {
		updates = append(updates, s.nextRolling())
	}
	s.send(r.id(), ping(s.seq, updates))
}

// arrange works the neighbours out anew if the fleet has changed.
func (s *State) arrange() {
	if !s.moved {
		return
	}
	s.moved = false
	s.toPing = nil
	ring := s.ring()
	if len(ring) <= MeshLimit {
		s.neighbours = ring
		return
	}
	s.neighbours = nil
	for distance := 1; distance <= len(ring); distance *= 2 {
		s.neighbours = append(s.neighbours, ring[distance-1])
	}
}

// ring returns the other live routers in the order of their hashes, from this
// router's place on.
func (s *State) ring() []core.RouterID {
	type place struct {
		hash uint64
		id   core.RouterID
	}
	self := hash(core.RouterID(s.self.Id))
	places := make([]place, 0, len(s.order))
	for _, id := range s.order {
		if s.members[id].isAlive() {
			places = append(places, place{hash(id) - self, id})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	ids := make([]core.RouterID, len(places))
	for i, p := range places {
		ids[i] = p.id
	}
	return ids
}

func hash(id core.RouterID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
