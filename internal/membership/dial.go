package membership

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxDials bounds the dials in one round. firstDials is the bound while no other
	// router is known, since each newly connected router sends its full view.
	maxDials   = 8
	firstDials = 3
)

// dialTarget is the dial state of a peer address.
type dialTarget struct {
	// listed means that the address is in the latest instance list, or in the seeds
	// if there was no list yet.
	listed bool
	// nextAttempt is the end of the current backoff.
	nextAttempt time.Time
	backoff     time.Duration
}

func (t *dialTarget) reset() { t.nextAttempt, t.backoff = time.Time{}, 0 }

// setListed replaces the listed addresses by those of a new instance list. An empty
// list is ignored, since it indicates an outage of the platform. Dial targets that
// are neither listed nor the address of a known router are deleted.
func (s *State) setListed(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	for _, t := range s.dialTargets {
		t.listed = false
	}
	for _, addr := range addrs {
		if addr != s.self.PeerAddr {
			s.dialTargetAt(addr).listed = true
		}
	}
	for addr, t := range s.dialTargets {
		if _, known := s.byAddr[addr]; !known && !t.listed {
			delete(s.dialTargets, addr)
		}
	}
}

// dialTargetAt returns the dial target of an address, which it creates if necessary.
func (s *State) dialTargetAt(addr string) *dialTarget {
	t := s.dialTargets[addr]
	if t == nil {
		t = &dialTarget{}
		s.dialTargets[addr] = t
	}
	return t
}

// dialMissing dials neighbours without a connection first, then addresses whose
// router is unknown or dead: it may have restarted, or a partition may have healed.
func (s *State) dialMissing(now time.Time) {
	remaining := maxDials
	if len(s.sortedIDs) == 0 {
		remaining = firstDials
	}
	for _, addr := range append(s.disconnectedNeighbourAddrs(), s.unknownOrDeadAddrs()...) {
		if remaining == 0 {
			return
		}
		if s.tryDial(now, addr) {
			remaining--
		}
	}
}

// disconnectedNeighbourAddrs returns the addresses of alive neighbours without a
// connection.
func (s *State) disconnectedNeighbourAddrs() []string {
	var addrs []string
	for _, id := range s.neighbours {
		if r := s.members[id]; r != nil && !r.connected && r.isAlive() {
			addrs = append(addrs, r.member.PeerAddr)
		}
	}
	return addrs
}

// unknownOrDeadAddrs returns, in random order, the listed addresses at which no
// router is known, and the addresses of dead routers whose records are still kept.
func (s *State) unknownOrDeadAddrs() []string {
	var addrs []string
	for addr, t := range s.dialTargets {
		if r := s.members[s.byAddr[addr]]; r == nil && t.listed {
			addrs = append(addrs, addr)
		}
	}
	for addr, id := range s.byAddr {
		if r := s.members[id]; r.state() == wire.MemberState_MEMBER_DEAD && !r.connected {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	s.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// redial dials an address. It skips the backoff only if that has not grown beyond
// minBackoff.
func (s *State) redial(now time.Time, addr string) {
	t := s.dialTargetAt(addr)
	if t.backoff <= minBackoff {
		t.nextAttempt = time.Time{}
	}
	s.tryDial(now, addr)
}

// tryDial dials an address and reports whether it did. It does nothing before the
// end of the backoff. Each dial doubles the backoff; a connection resets it.
func (s *State) tryDial(now time.Time, addr string) bool {
	t := s.dialTargetAt(addr)
	if now.Before(t.nextAttempt) {
		return false
	}
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	jitter := time.Duration(s.random.Int64N(int64(t.backoff / 4)))
	t.nextAttempt = now.Add(t.backoff - jitter)
	s.effects = append(s.effects, core.Dial{Addr: addr})
	return true
}
