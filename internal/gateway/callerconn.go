package gateway

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a caller's
	// connection, in bytes, which also bound what arrives unread and what is sent to a caller
	// that does not read. The kernel doubles them. Within a region they do for some 100 MB/s.
	receiveBuffer, sendBuffer = 64 << 10, 64 << 10
	// callerStall is how long a caller may read nothing of its answer. Callers abandon an
	// answer themselves after a gap of a few seconds.
	callerStall = 10 * time.Second
	// streamAhead is how much of a stream is kept for a caller that reads slowly, in bytes:
	// twice the largest event.
	streamAhead = 2 * eventBytes
	// streamAheadWait is how long the reading of an upstream may wait for such a caller; an
	// upstream cuts off an answer that stays unread for some seconds.
	streamAheadWait = time.Second
	// connHead is how much of a head a connection may have without asking for room, in bytes:
	// part of connBytes. headLine is what a line of a head takes beside its text.
	connHead = 8 << 10
	headLine = 128
)

// callerConn is a caller's connection. It tracks whether bytes of a request have been
// read for which no handler runs yet: once Shutdown has begun, http.Server closes such
// a connection without an answer.
type callerConn struct {
	*net.TCPConn
	// buffered was read from the connection before it was handed to the server.
	buffered []byte
	// offloaded means that another router has passed the connection on to this one.
	offloaded bool
	// expiresAt is when an offloaded request has to end, by the router that has passed it on;
	// zero until that has been read.
	expiresAt time.Time
	// pendingReads counts the connections whose readPending is set.
	pendingReads *atomic.Int64
	// readPending is set while part of a request has been read and its handler does not
	// run yet, also from when a connection of another router is taken; inHandler while a
	// handler runs.
	readPending, inHandler atomic.Bool
	// closed means that the connection is being closed: no handler may begin, since its answer
	// would be lost.
	closed atomic.Bool

	room    *room
	metrics *metrics
	// writer is nil if the connection does not expose its socket.
	writer *sockets.Writer
	// unframed means that an answer without a length ends with the connection (HTTP/1.0). It
	// is set before the request is dispatched.
	unframed bool
	// backlog is not nil while the answer is a stream. It belongs to the server's goroutine.
	backlog *sockets.Backlog
	// head is what the head of the request being read takes, in bytes, and headHold the room
	// for it; nil if it takes none. aheadHold is the room for what is kept of a stream, and
	// belongs to the writer.
	head                int
	headHold, aheadHold *hold
	// headEnded means that the head has been read whole; headTail are its last bytes before.
	headEnded bool
	headTail  []byte
}

// wrap returns a caller's connection from which the given bytes have been read already.
func (c *conns) wrap(conn *net.TCPConn, buffered []byte) *callerConn {
	w := &callerConn{TCPConn: conn, buffered: buffered, pendingReads: &c.pendingReads, room: c.room, metrics: c.metrics}
	var err error
	if w.writer, err = sockets.NewWriter(conn, w); err != nil {
		logs.Info("caller-socket", "Gateway: a caller's connection does not expose its socket.", "err", err)
	}
	if len(buffered) > 0 {
		w.markReadPending()
	}
	return w
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (n int, err error) {
	if c.offloaded && c.expiresAt.IsZero() {
		left, err := readTimeLeft(c.TCPConn)
		if err != nil {
			return 0, err
		}
		c.expiresAt = time.Now().Add(left)
	}
	if len(c.buffered) > 0 {
		n = copy(p, c.buffered)
		if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
			c.buffered = nil
		}
	} else {
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 && !c.inHandler.Load() {
		c.markReadPending()
		if !c.takeHead(p[:n]) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// takeHead takes room for a part of a request's head; what follows the head is not counted. It
// reports false if there is none.
func (c *callerConn) takeHead(part []byte) bool {
	if c.headEnded {
		return true
	}
	part = c.untilHeadEnd(part)
	before := max(c.head, connHead)
	c.head += len(part) + headLine*bytes.Count(part, []byte{'\n'})
	if c.head <= connHead {
		return true
	}
	if c.headHold == nil {
		c.headHold = newHold("", func() { c.TCPConn.Close() })
	}
	return c.room.grow(c.headHold, holding.Heads, c.head-before)
}

// untilHeadEnd returns a part of a head up to the empty line, which may have begun in the part
// before, and records whether there is one.
func (c *callerConn) untilHeadEnd(part []byte) []byte {
	around := append(c.headTail, part[:min(len(part), len(endOfHeader)-1)]...)
	if i := bytes.Index(around, endOfHeader); i >= 0 {
		c.headEnded = true
		return part[:i+len(endOfHeader)-len(c.headTail)]
	}
	if i := bytes.Index(part, endOfHeader); i >= 0 {
		c.headEnded = true
		return part[:i+len(endOfHeader)]
	}
	if len(part) >= len(endOfHeader) {
		around = part
	}
	c.headTail = append(c.headTail[:0], around[max(0, len(around)-len(endOfHeader)+1):]...)
	return part
}

// beginHead begins the next request's head.
func (c *callerConn) beginHead() {
	c.releaseHead()
	c.head, c.headEnded, c.headTail = 0, false, c.headTail[:0]
}

// releaseHead gives back the room of a head.
func (c *callerConn) releaseHead() {
	if c.headHold != nil {
		c.room.release(c.headHold)
		c.headHold = nil
	}
}

// streamBacklog bounds what is kept of a stream for a caller that reads slowly.
var streamBacklog = &sockets.Backlog{Limit: streamAhead, Wait: streamAheadWait, Stall: callerStall}

// keepAhead makes later writes not wait for a caller that reads slowly; c may be nil.
func (c *callerConn) keepAhead() {
	if c != nil {
		c.backlog = streamBacklog
	}
}

// GrowBacklog implements sockets.Account.
func (c *callerConn) GrowBacklog(n int) bool {
	if c.aheadHold == nil {
		c.aheadHold = newHold("", c.writer.Reset)
		// What the kernel keeps counts too.
		n += 2 * sendBuffer
	}
	return c.room.grow(c.aheadHold, holding.Ahead, n)
}

// ReleaseBacklog implements sockets.Account.
func (c *callerConn) ReleaseBacklog() {
	c.room.release(c.aheadHold)
	c.aheadHold = nil
}

// EndedUnread implements sockets.Account.
func (c *callerConn) EndedUnread(err error) { c.recordSlow(holding.Ahead, err) }

func (c *callerConn) recordSlow(k holding.Kind, err error) {
	logs.Info("caller-slow", "Gateway: an answer was cut off, its caller does not read it.", "addr", c.RemoteAddr(), "kind", k.Name(), "err", err)
	c.metrics.recordGaveWay(k.Name(), "slow")
}

// abort closes the connection and drops what has not been written, in a way that does not
// complete the answer; c may be nil.
func (c *callerConn) abort() {
	switch {
	case c == nil:
	case c.writer != nil && c.unframed:
		c.writer.Reset()
	case c.writer != nil:
		c.writer.Abort()
	default:
		c.TCPConn.Close()
	}
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	switch {
	case c.writer == nil:
		return c.TCPConn.Write(p)
	case c.backlog != nil:
		return c.writer.WriteAhead(p, c.backlog)
	}
	n, err := c.writer.Write(p, callerStall)
	if err == sockets.ErrStalled {
		c.recordSlow(holding.Answers, err)
	}
	return n, err
}

// markClosed marks that the connection is being closed. It reports false if a handler runs.
func (c *callerConn) markClosed() bool {
	c.closed.Store(true)
	// A handler that begins now sees closed.
	if c.inHandler.Load() {
		c.closed.Store(false)
		return false
	}
	return true
}

// Close implements net.Conn. A backlog is written before, and a request may arrive meanwhile.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	if c.writer == nil {
		return c.TCPConn.Close()
	}
	return c.writer.Close()
}

// CloseWrite ends the sending side.
func (c *callerConn) CloseWrite() error {
	if c.writer == nil {
		return c.TCPConn.CloseWrite()
	}
	return c.writer.CloseWrite()
}

func (c *callerConn) markReadPending() {
	if c.readPending.CompareAndSwap(false, true) {
		c.pendingReads.Add(1)
	}
}

// clearReadPending clears readPending: the handler of the request that was read runs,
// or the connection is closed.
func (c *callerConn) clearReadPending() {
	if c.readPending.CompareAndSwap(true, false) {
		c.pendingReads.Add(-1)
	}
}

// clearReadPending clears readPending if conn is a caller's connection.
func clearReadPending(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.clearReadPending()
	}
}

// enterHandler marks that a handler runs; the returned function marks that it has
// returned.
func (c *callerConn) enterHandler() (leave func()) {
	c.inHandler.Store(true)
	c.clearReadPending()
	c.backlog = nil
	if c.headHold != nil && !c.room.settle(c.headHold, c.head) {
		c.closed.Store(true)
	}
	return func() {
		// The server may read the rest of a refused request before the next head.
		c.headEnded = true
		c.releaseHead()
		c.inHandler.Store(false)
	}
}
