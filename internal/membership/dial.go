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
	// maxDials bounds the dials in one step, firstDials while nobody is known:
	// each first contact sends its whole view.
	maxDials   = 8
	firstDials = 3
)

// dialTarget is an address that may be dialled.
type dialTarget struct {
	// listed means that the seeds or the latest instance list name it.
	listed      bool
	nextAttempt time.Time
	backoff     time.Duration
}

func (t *dialTarget) reset() { t.nextAttempt, t.backoff = time.Time{}, 0 }

// setListed takes the addresses of a new instance list; an empty one is taken for an
// outage of the platform and ignored.
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

func (s *State) dialTargetAt(addr string) *dialTarget {
	t := s.dialTargets[addr]
	if t == nil {
		t = &dialTarget{}
		s.dialTargets[addr] = t
	}
	return t
}

// dialMissing connects to neighbours first, then to addresses whose router is unknown
// or dead: it may have come back, or the cut may be over.
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

func (s *State) disconnectedNeighbourAddrs() []string {
	var addrs []string
	for _, id := range s.neighbours {
		if r := s.members[id]; r != nil && !r.connected && r.isAlive() {
			addrs = append(addrs, r.member.PeerAddr)
		}
	}
	return addrs
}

// unknownOrDeadAddrs returns, in random order, the listed addresses at which no live
// router is known, and those of the dead that are still remembered.
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

// redial dials without waiting for the backoff of earlier failures.
func (s *State) redial(now time.Time, addr string) {
	t := s.dialTargetAt(addr)
	if t.backoff <= minBackoff {
		t.nextAttempt = time.Time{}
	}
	s.tryDial(now, addr)
}

// tryDial dials an address unless its backoff still runs.
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
