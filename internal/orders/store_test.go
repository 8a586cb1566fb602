package orders

import (
	"bytes"
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// fakeStore is a key-value service with leases.
type fakeStore struct {
	sim *simulation
	// leaseDuration is how long after its creation or renewal a lease ends.
	leaseDuration time.Duration
	leaseEnds     map[core.LeaseID]time.Time
	holders       map[string]core.LeaseID
	values        map[string]stored
	index         uint64
	downUntil     time.Time
	// terms numbers the leases in the order in which they first acquired the key.
	terms map[core.LeaseID]int
}

type stored struct {
	value []byte
	index uint64
}

func newFakeStore(sim *simulation, leaseDuration time.Duration) *fakeStore {
	return &fakeStore{
		sim: sim, leaseDuration: leaseDuration,
		leaseEnds: map[core.LeaseID]time.Time{},
		holders:   map[string]core.LeaseID{},
		values:    map[string]stored{},
		terms:     map[core.LeaseID]int{},
	}
}

// execute carries out a key-value call and returns its result.
func (s *fakeStore) execute(e core.Effect) core.Event {
	s.expire()
	switch e := e.(type) {
	case core.LeaseGrant:
		lease := core.LeaseID(fmt.Sprintf("lease-%d", len(s.leaseEnds)+1))
		s.leaseEnds[lease] = s.sim.now.Add(s.leaseDuration)
		return core.LeaseResult{Op: e.Op, Status: core.KVOK, Lease: lease}
	case core.LeaseAcquire:
		return core.LeaseResult{Op: e.Op, Status: s.acquire(e)}
	case core.LeaseRenew:
		if !s.live(e.Lease) {
			return core.LeaseResult{Op: e.Op, Status: core.KVLeaseLost}
		}
		s.leaseEnds[e.Lease] = s.sim.now.Add(s.leaseDuration)
		return core.LeaseResult{Op: e.Op, Status: core.KVOK}
	case core.LeaseRevoke:
		s.endLease(e.Lease)
		return core.LeaseResult{Op: e.Op, Status: core.KVOK}
	case core.KVGet:
		v, ok := s.values[e.Key]
		if !ok {
			// Like the real service's adapter, return an index to watch the key from.
			return core.KVResult{Op: e.Op, Status: core.KVNotFound, Index: s.index + 1}
		}
		return core.KVResult{Op: e.Op, Status: core.KVOK, Value: bytes.Clone(v.value), Index: v.index}
	case core.KVCAS:
		if s.values[e.Key].index != e.Index {
			return core.KVResult{Op: e.Op, Status: core.KVConflict}
		}
		s.index++
		s.values[e.Key] = stored{e.Value, s.index}
		return core.KVResult{Op: e.Op, Status: core.KVOK}
	}
	panic(fmt.Sprintf("not a key-value call: %T", e))
}

func (s *fakeStore) acquire(e core.LeaseAcquire) core.KVStatus {
	holder := s.holders[e.Key]
	switch {
	case !s.live(e.Lease):
		return core.KVLeaseLost
	case holder != "" && holder != e.Lease:
		return core.KVConflict
	}
	s.holders[e.Key] = e.Lease
	if s.terms[e.Lease] == 0 {
		s.terms[e.Lease] = len(s.terms) + 1
	}
	return core.KVOK
}

func (s *fakeStore) live(lease core.LeaseID) bool { return s.sim.now.Before(s.leaseEnds[lease]) }

// expire frees the keys of leases that have ended.
func (s *fakeStore) expire() {
	for key, lease := range s.holders {
		if !s.live(lease) {
			delete(s.holders, key)
		}
	}
}

func (s *fakeStore) endLease(lease core.LeaseID) {
	s.leaseEnds[lease] = s.sim.now
	s.expire()
}

// endAllLeases ends every lease, as when the service has lost its sessions.
func (s *fakeStore) endAllLeases() {
	for lease := range s.leaseEnds {
		s.endLease(lease)
	}
}
