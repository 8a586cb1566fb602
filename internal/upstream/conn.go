package upstream

import (
	"net"
	"sync"
)

// conn is a connection to an upstream that counts as used by a request from
// its first write on. Once sealed it writes nothing more.
type conn struct {
	net.Conn
	tracker *connTracker
	addr    string

	mu sync.Mutex
	// owner is the request that has the connection, nil while it is idle.
	owner  *guard
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

// beginWrite notes that bytes may go out from now on.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.wrote = true
	return true
}

// assign gives the connection to a request.
func (c *conn) assign(g *guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = g
	c.wrote = false
}

// release ends a request's use. The transport may have assigned the connection
// anew before the request knew that its answer was whole.
func (c *conn) release(g *guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == g {
		c.owner = nil
	}
}

// seal stops all further writes if the request still has the connection, and
// reports whether the request may have written any. A write that has begun
// counts.
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

// sealIdle seals the connection unless a request has it.
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

// connTracker knows the open connections by address, so that the idle ones can be
// given up when one of their kind has gone silent.
type connTracker struct {
	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: map[string]map[*conn]struct{}{}} }

// add wraps a new connection.
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

// sealIdle gives up the idle connections to an address.
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
