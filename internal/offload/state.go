package offload

import (
	"time"
)

const (
	// usableShare is the share of a peer's reported time that one router plans with.
	// Other routers of the domain may be short of time at the same moment.
	usableShare = 0.5
	// burst is the time over which unused time of a peer accumulates. It bounds what
	// reaches a peer at once, and how long the last of it waits there.
	burst = 100 * time.Millisecond
	// reportTimeout is how long a report holds. Routers report at least every 0.4 s.
	reportTimeout = 1200 * time.Millisecond
	// refusalPause is how long a peer gets nothing after it has refused a connection or
	// could not be reached: until about its next measurement.
	refusalPause = 250 * time.Millisecond
)

// State is what one router knows of the processor time that its peers have to spare. The
// zero value is ready to use. It is not safe for concurrent use.
type State struct {
	peers map[string]*peer
}

// peer is a router that takes connections of others.
type peer struct {
	reportedAt time.Time
	// spare is the processor time, in cores, that it can spend on connections of others.
	spare float64
	// balance is the processor time that this router may still make it spend; it was
	// refilled at refilledAt.
	balance    time.Duration
	refilledAt time.Time
	// pausedUntil is the time before which it gets nothing.
	pausedUntil time.Time
	// silent means that it has not answered, and gets nothing until its next report.
	silent bool
}

// Report records what a peer has to spare, in cores. An address without time to spare
// gets no connections.
func (s *State) Report(now time.Time, addr string, spare float64) {
	if s.peers == nil {
		s.peers = make(map[string]*peer)
	}
	p := s.peers[addr]
	if p == nil {
		p = &peer{refilledAt: now}
		s.peers[addr] = p
	}
	p.refill(now)
	p.reportedAt, p.spare, p.silent = now, max(0, spare), false
	p.balance = min(p.balance, p.capacity())
}

// Choose returns the address of the peer with the most unspent time that can take a
// connection, and charges the connection's cost to it. It reports false if there is none.
func (s *State) Choose(now time.Time, cost time.Duration) (addr string, ok bool) {
	var best *peer
	for a, p := range s.peers {
		if now.Sub(p.reportedAt) > reportTimeout {
			delete(s.peers, a)
			continue
		}
		if !p.takes(now, cost) {
			continue
		}
		if best == nil || p.balance > best.balance || p.balance == best.balance && a < addr {
			best, addr = p, a
		}
	}
	if best == nil {
		return "", false
	}
	best.balance -= cost
	return addr, true
}

// Available reports whether Choose would find a peer.
func (s *State) Available(now time.Time, cost time.Duration) bool {
	for _, p := range s.peers {
		if now.Sub(p.reportedAt) <= reportTimeout && p.takes(now, cost) {
			return true
		}
	}
	return false
}

// Refused records that a peer refused a connection or could not be reached.
func (s *State) Refused(now time.Time, addr string) {
	if p := s.peers[addr]; p != nil {
		p.balance, p.refilledAt = 0, now
		p.pausedUntil = now.Add(refusalPause)
	}
}

// Silent records that a peer did not answer: its process may be frozen, and a report that
// it sends later shows that it no longer is.
func (s *State) Silent(addr string) {
	if p := s.peers[addr]; p != nil {
		p.silent = true
	}
}

// takes reports whether the peer may get a connection that costs it this much.
func (p *peer) takes(now time.Time, cost time.Duration) bool {
	p.refill(now)
	return p.balance >= cost && !p.silent && !now.Before(p.pausedUntil)
}

// refill adds the time that the peer has gained since the last refill.
func (p *peer) refill(now time.Time) {
	if now.After(p.refilledAt) {
		gained := time.Duration(usableShare * p.spare * float64(now.Sub(p.refilledAt)))
		p.balance = min(p.capacity(), p.balance+gained)
		p.refilledAt = now
	}
}

// capacity is the upper bound of the balance.
func (p *peer) capacity() time.Duration {
	return time.Duration(usableShare * p.spare * float64(burst))
}
