// Package relay proxies the TCP connections of routers to each other and to the
// platform, so that a load run can simulate network partitions between failure
// domains.
package relay

import (
	"slices"
	"sync"
)

// Partition records which failure domains are isolated by a simulated network
// partition. It is safe for concurrent use.
type Partition struct {
	mu       sync.Mutex
	isolated []string
	// changed is closed and replaced when isolated changes.
	changed chan struct{}
}

// NewPartition returns a partition that isolates no failure domain.
func NewPartition() *Partition { return &Partition{changed: make(chan struct{})} }

// Isolate isolates each of the domains from all other domains and from the
// platform. It replaces the previous set; an empty set heals the partition.
func (p *Partition) Isolate(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = slices.Clone(domains)
	close(p.changed)
	p.changed = make(chan struct{})
}

// WaitReachable blocks until the two domains can reach each other and returns true,
// or returns false if done is closed first. The platform's domain is empty.
func (p *Partition) WaitReachable(from, to string, done <-chan struct{}) bool {
	for {
		changed, reachable := p.state(from, to)
		if reachable {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// state returns whether the two domains can reach each other, and a channel that is
// closed at the next call of Isolate.
func (p *Partition) state(from, to string) (changed <-chan struct{}, reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable = from == to || !slices.Contains(p.isolated, from) && !slices.Contains(p.isolated, to)
	return p.changed, reachable
}
