package gateway

import (
	"net"
	"sync/atomic"
	"time"
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
}

// wrap returns a caller's connection from which the given bytes have been read already.
func (c *conns) wrap(conn *net.TCPConn, buffered []byte) *callerConn {
	w := &callerConn{TCPConn: conn, buffered: buffered, pendingReads: &c.pendingReads}
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
	}
	return n, err
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
	return func() { c.inHandler.Store(false) }
}
