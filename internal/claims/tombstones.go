package claims

// maxTombstones bounds the nonces that a router remembers as never sent. Beyond
// it, the oldest is forgotten; its state is then reported as unknown, so that a
// repeat of the operation is refused instead of taking the record over.
const maxTombstones = 1 << 16

// tombstones is a bounded set of nonces under which nothing was sent and nothing
// will be sent.
type tombstones struct {
	capacity int
	set      map[string]struct{}
	// ring holds the nonces in order of insertion. Once it is full, next is the
	// position of the oldest.
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

// add adds a nonce and, if the set is full, evicts the oldest one.
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
