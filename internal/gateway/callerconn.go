package gateway

import (
	"net"
	"sync/atomic"
)

// callerConn is a caller's connection. It knows whether a request has been read of which
// the handler has not heard: http.Server drops such a one without an answer once its
// Shutdown has begun.
type callerConn struct {
	*net.TCPConn
	// buffered has been read already.
	buffered []byte
	// pendingReads counts the connections that are begun.
	pendingReads *atomic.Int64
	// readPending means that part of a request has been read, handled that a handler runs.
	readPending, inHandler atomic.Bool
}

// wrap makes a caller's connection of which some bytes have been read already.
func (c *conns) wrap(conn *net.TCPConn, ahead []byte) *callerConn {
	w := &callerConn{TCPConn: conn, buffered: ahead, pendingReads: &c.pendingReads}
	if len(ahead) > 0 {
		w.markReadPending()
	}
	return w
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (n int, err error) {
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

// clearReadPending notes that what was read is no concern any more: its handler runs, or the
// connection has ended.
func (c *callerConn) clearReadPending() {
	if c.readPending.CompareAndSwap(true, false) {
		c.pendingReads.Add(-1)
	}
}

// clearReadPending is end for a caller's connection.
func clearReadPending(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.clearReadPending()
	}
}

// enterHandler notes that a handler runs; the function that it returns ends that.
func (c *callerConn) enterHandler() (leave func()) {
	c.inHandler.Store(true)
	c.clearReadPending()
	return func() { c.inHandler.Store(false) }
}
