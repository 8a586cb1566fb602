package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// guard lets one request have one connection. Invariant: at most one
// connection ever carries a byte of the request.
type guard struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	conn   *conn
	reused bool
	// over tells that the request was abandoned.
	over bool
}

// trace hooks the guard into the transport.
func (g *guard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: g.gotConn}
}

// gotConn runs before the transport writes to the connection. The first one
// is lent to the request; any other is the transport sending again by itself.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn.(*conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.lend(g)
	if g.conn != nil || g.over {
		c.seal(g)
		g.cancel(errSecondUse)
		return
	}
	g.conn, g.reused = c, info.Reused
}

// abandon stops the request where it stands and tells whether any byte of it
// may have gone out.
func (g *guard) abandon() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
	return g.conn != nil && g.conn.seal(g)
}

// finish gives the connection back after the whole answer was read.
func (g *guard) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.giveBack(g)
	}
}

// connected tells whether a connection was lent, and whether it is an old one.
func (g *guard) connected() (ok, reused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil, g.reused
}
