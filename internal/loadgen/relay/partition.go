// Package relay carries the connections of routers to each other and to the
// platform, so that a failure domain can be cut off and joined again.
package relay

import (
	"slices"
	"sync"
)

// Partition says which failure domains are cut off.
type Partition struct {
	mu       sync.Mutex
	isolated []string
	changed  chan struct{}
}

// NewPartition returns a gate with nothing cut off.
func NewPartition() *Partition { return &Partition{changed: make(chan struct{})} }

// Isolate cuts off the domains, each from all others and from the platform, in
// place of those before. Without domains, all are joined again.
func (p *Partition) Isolate(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = slices.Clone(domains)
	close(p.changed)
	p.changed = make(chan struct{})
}

// WaitReachable waits until bytes may go between two domains, or until done is closed,
// and then says which it was.
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

func (p *Partition) state(from, to string) (changed <-chan struct{}, reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable = from == to || !slices.Contains(p.isolated, from) && !slices.Contains(p.isolated, to)
	return p.changed, reachable
}
