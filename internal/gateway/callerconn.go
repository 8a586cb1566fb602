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
	// ahead has been read already.
	ahead []byte
	// reading counts the connections that are begun.
	reading *atomic.Int64
	// begun means that part of a request has been read, handled that a handler runs.
	begun, handled atomic.Bool
}

// wrap makes a caller's connection of which some bytes have been read already.
func (c *conns) wrap(conn *net.TCPConn, ahead []byte) *callerConn {
	w := &callerConn{TCPConn: conn, ahead: ahead, reading: &c.reading}
	if len(ahead) > 0 {
		w.begin()
	}
	return w
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (n int, err error) {
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
	} else {
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 && !c.handled.Load() {
		c.begin()
	}
	return n, err
}

func (c *callerConn) begin() {
	if c.begun.CompareAndSwap(false, true) {
		c.reading.Add(1)
	}
}

// end notes that what was read is no concern any more: its handler runs, or the
// connection has ended.
func (c *callerConn) end() {
	if c.begun.CompareAndSwap(true, false) {
		c.reading.Add(-1)
	}
}

// endRead is end for a caller's connection.
func endRead(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.end()
	}
}

// enter notes that a handler runs; the function that it returns ends that.
func (c *callerConn) enter() (leave func()) {
	c.handled.Store(true)
	c.end()
	return func() { c.handled.Store(false) }
}
