package peer

import (
	"sync"

	"github.com/pkg/errors"
)

// Bounds of what may wait to be sent to one peer, in bytes.
const (
	maxControlQueue = 2 << 20
	maxBulkQueue    = 32 << 20
	// maxIdleBuffer is the largest buffer that is kept for reuse.
	maxIdleBuffer = 64 << 10
)

// errQueueFull means that a peer does not drain its control messages.
var errQueueFull = errors.New("peer does not drain its messages")

// sendQueue holds frames that wait to be written. Control frames are kept as one
// buffer, so that everything queued together is written together.
type sendQueue struct {
	mu        sync.Mutex
	control   []byte
	bulk      [][]byte
	bulkBytes int
	closed    bool
	// controlReady and bulkReady have a buffer of one: a set one means that
	// there may be something to take.
	controlReady chan struct{}
	bulkReady    chan struct{}
}

func newSendQueue() *sendQueue {
	return &sendQueue{controlReady: make(chan struct{}, 1), bulkReady: make(chan struct{}, 1)}
}

// addControl queues a control frame. It reports whether the queue took it, and
// errQueueFull if the peer must be dropped.
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

// addBulk queues a bulk frame, if there is room.
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

// takeControl hands out everything queued and takes spare for what comes next.
// done means that nothing will come any more.
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

// takeBulk hands out the next bulk frame.
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

// close refuses further frames; those queued can still be taken.
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

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
