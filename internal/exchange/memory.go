package exchange

import (
	"sync"
)

// chargedBody is the size, in bytes, from which a body that has to give way counts as a
// failure of its upstream. Smaller ones show only that this process is short of memory.
const chargedBody = 1 << 20

// exemptBody is the size, in bytes, up to which a body does not give way to larger ones: it
// takes no more than the buffers of its connections. exemptShare bounds it by the limit.
const (
	exemptBody  = 4 << 10
	exemptShare = 1.0 / 1024
)

// memory bounds the total size of the bodies that are held whole. Once they exceed it, the
// upstream that holds most gives way: bytes without an end fail their own requests, not
// those of other upstreams. It is safe for concurrent use.
type memory struct {
	// limit is in bytes; 0 means no bound.
	limit int64
	// note gets each change of the total.
	note func(change int64)

	mu sync.Mutex
	// total is the size of the bodies that are held, and evicted the part of it that has
	// given way and is not released yet.
	total, evicted int64
	// readers holds the responses whose bodies they are.
	readers map[*Response]struct{}
}

// take records that n more bytes of a response's body are held. If that exceeds the limit,
// it makes the largest body of the upstream that holds most give way. It returns an error if
// that is, or has been, this one.
func (m *memory) take(r *Response, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.held += n
	m.total += n
	m.note(n)
	m.readers[r] = struct{}{}
	if r.evicted != nil {
		m.evicted += n
		return r.evicted
	}
	if m.limit <= 0 || m.total-m.evicted <= m.limit {
		return nil
	}
	victim := m.victim(r)
	if victim == r && float64(r.held) <= min(exemptBody, exemptShare*float64(m.limit)) {
		return nil
	}
	victim.evicted = errMemoryLimit
	if victim.held >= chargedBody {
		victim.evicted = errBodyGaveWay
	}
	m.evicted += victim.held
	if victim != r {
		// Its reader fails at once and releases the body.
		go victim.exchange.interrupt()
	}
	return r.evicted
}

// victim is the largest body that is still being read of the upstream whose bodies take
// most. Among equals it is that of r, which is being read. The caller holds mu.
func (m *memory) victim(r *Response) *Response {
	held := make(map[string]int64)
	for other := range m.readers {
		if other.evicted == nil {
			held[other.addr()] += other.held
		}
	}
	largest := r
	for other := range m.readers {
		if other.evicted != nil || other.whole {
			continue
		}
		if a, b := held[other.addr()], held[largest.addr()]; a > b || a == b && other.held > largest.held {
			largest = other
		}
	}
	return largest
}

// finish records that a response's body has been read whole: it cannot give way any more.
func (m *memory) finish(r *Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.whole = true
}

// release records that a response's body is not held any more. It reports whether the body
// had to give way, so that its connection is being closed.
func (m *memory) release(r *Response) (evicted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.readers[r]; !ok {
		return r.evicted != nil
	}
	delete(m.readers, r)
	m.total -= r.held
	m.note(-r.held)
	if r.evicted != nil {
		m.evicted -= r.held
	}
	r.held = 0
	return r.evicted != nil
}
