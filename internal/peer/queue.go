package peer

import (
	"sync"

	"github.com/pkg/errors"
)

// Sizes in bytes.
const (
	// maxControlQueue and maxBulkQueue bound the frames queued for one peer.
	maxControlQueue = 2 << 20
	maxBulkQueue    = 32 << 20
	// maxIdleBuffer is the largest buffer that is kept for reuse.
	maxIdleBuffer = 64 << 10
)

// errQueueFull is returned if a peer reads its control messages too slowly.
var errQueueFull = errors.New("control queue full: peer reads too slowly")

// sendQueue holds the frames to be written to one peer. Control frames are kept in
// one buffer, so that frames queued together are written together.
type sendQueue struct {
	mu        sync.Mutex
	control   []byte
	bulk      [][]byte
	bulkBytes int
	closed    bool
	// controlReady and bulkReady have a buffer of one. They are signalled when
	// frames are queued and when the queue is closed.
	controlReady chan struct{}
	bulkReady    chan struct{}
}

func newSendQueue() *sendQueue {
	return &sendQueue{controlReady: make(chan struct{}, 1), bulkReady: make(chan struct{}, 1)}
}

// addControl queues a control frame and reports whether it was queued. It returns
// errQueueFull if there is no room; the peer must then be disconnected.
func (q *sendQueue) addControl(frame []byte) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false, nil
	}
	if len(q.control)+len(frame) > maxControlQueue {
		return false, errQueueFull
	}
	q.control = appendFrame(q.control, frame)
	signal(q.controlReady)
	return true, nil
}

// addBulk queues a bulk frame if there is room, and reports whether it was queued.
func (q *sendQueue) addBulk(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.bulkBytes+len(frame) > maxBulkQueue {
		return false
	}
	q.bulk = append(q.bulk, frame)
	q.bulkBytes += len(frame)
	signal(q.bulkReady)
	return true
}

// takeControl removes and returns all queued control frames. It reuses spare as the
// buffer for later frames. done reports that the queue is empty and closed.
func (q *sendQueue) takeControl(spare []byte) (frames []byte, done bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.control) == 0 {
		return nil, q.closed
	}
	if cap(spare) > maxIdleBuffer {
		spare = nil
	}
	frames, q.control = q.control, spare[:0]
	return frames, false
}

// takeBulk removes and returns the next bulk frame. done reports that the queue is
// empty and closed.
func (q *sendQueue) takeBulk() (frame []byte, done bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.bulk) == 0 {
		return nil, q.closed
	}
	frame, q.bulk = q.bulk[0], q.bulk[1:]
	q.bulkBytes -= len(frame)
	return frame, false
}

// close makes the queue reject further frames. Queued frames can still be taken.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	signal(q.controlReady)
	signal(q.bulkReady)
}

// isClosed reports whether close was called.
func (q *sendQueue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// signal sets a channel with a buffer of one without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
