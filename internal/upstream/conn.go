package upstream

import (
	"net"
	"sync"
)

// conn is a connection to an upstream. It tracks which request owns it and whether
// that request may have written to it. Once sealed it rejects all writes.
type conn struct {
	net.Conn
	tracker *connTracker
	addr    string

	mu sync.Mutex
	// owner is the request that uses the connection, nil while it is idle.
	owner *guard
	// wrote means that the owner has begun a write.
	wrote  bool
	sealed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// beginWrite records that bytes may be written from now on. It returns false if the
// connection is sealed.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.wrote = true
	return true
}

// assign makes a request the owner of the connection.
func (c *conn) assign(g *guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = g
	c.wrote = false
}

// release ends a request's ownership. The transport may already have assigned the
// connection to another request, since it can see the end of the response before
// this request does.
func (c *conn) release(g *guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == g {
		c.owner = nil
	}
}

// seal rejects all further writes and closes the connection if the request still
// owns it. It reports whether the request may have written any byte. A write that
// has begun counts, and a connection that the request no longer owns counts as
// written.
func (c *conn) seal(g *guard) (wrote bool) {
	c.mu.Lock()
	if c.owner != g {
		c.mu.Unlock()
		return true
	}
	c.sealed = true
	wrote = c.wrote
	c.mu.Unlock()
	c.Close()
	return wrote
}

// sealIdle seals and closes the connection unless a request owns it.
func (c *conn) sealIdle() {
	c.mu.Lock()
	idle := c.owner == nil
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// connTracker tracks the open connections by address, so that the idle ones can be
// closed after a failure on another connection to the same address.
type connTracker struct {
	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: map[string]map[*conn]struct{}{}} }

// add wraps a new connection and tracks it.
func (t *connTracker) add(addr string, raw net.Conn) *conn {
	c := &conn{Conn: raw, tracker: t, addr: addr}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[addr] == nil {
		t.conns[addr] = map[*conn]struct{}{}
	}
	t.conns[addr][c] = struct{}{}
	return c
}

func (t *connTracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns[c.addr], c)
	if len(t.conns[c.addr]) == 0 {
		delete(t.conns, c.addr)
	}
}

// sealIdle seals and closes the idle connections to an address.
func (t *connTracker) sealIdle(addr string) {
	for _, c := range t.connsTo(addr) {
		c.sealIdle()
	}
}

func (t *connTracker) connsTo(addr string) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*conn, 0, len(t.conns[addr]))
	for c := range t.conns[addr] {
		conns = append(conns, c)
	}
	return conns
}
