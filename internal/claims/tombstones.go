package claims

// maxTombstones bounds the nonces that a router remembers as never sent. Beyond
// it the oldest is forgotten; its claim then counts as unknown, which refuses
// a repeat instead of taking it over.
const maxTombstones = 1 << 16

// tombstones is a bounded set of nonces that were never sent and never will be.
type tombstones struct {
	capacity int
	set      map[string]struct{}
	// ring holds the set in order of age, from next on once it is full.
	ring []string
	next int
}

func newTombstones(capacity int) tombstones {
	return tombstones{capacity: capacity, set: map[string]struct{}{}}
}

func (t *tombstones) has(nonce string) bool {
	_, ok := t.set[nonce]
	return ok
}

// add remembers a nonce and forgets the oldest one if there are too many.
func (t *tombstones) add(nonce string) {
	if t.has(nonce) {
		return
	}
	t.set[nonce] = struct{}{}
	if len(t.ring) < t.capacity {
		t.ring = append(t.ring, nonce)
		return
	}
	delete(t.set, t.ring[t.next])
	t.ring[t.next] = nonce
	t.next = (t.next + 1) % t.capacity
}
