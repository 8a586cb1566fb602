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
	// connRequested means that the transport has asked for a connection.
	connRequested bool
	// closed means that the request may have no connection any more.
	closed bool
	// disabled switches the guard off.
	disabled bool
}

// guardKey is the context key of a request's guard.
type guardKey struct{}

// attach hooks the guard into the transport and into the dialling for it.
func (g *guard) attach(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, guardKey{}, g)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: g.getConn, GotConn: g.gotConn})
}

// mayDial reports whether a connection may be made for the request of ctx.
func mayDial(ctx context.Context) bool {
	g, ok := ctx.Value(guardKey{}).(*guard)
	if !ok {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed
}

// getConn runs when the transport looks for a connection. The second time it is
// about to send again by itself, which ends the request.
func (g *guard) getConn(string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connRequested && !g.disabled {
		g.closed = true
		g.cancel(errSecondConn)
	}
	g.connRequested = true
}

// gotConn runs before the transport writes to the connection. The first one
// is assigned to the request; any other is sealed.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn.(*conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.assign(g)
	if (g.conn != nil || g.closed) && !g.disabled {
		c.seal(g)
		g.cancel(errSecondConn)
		return
	}
	g.conn, g.reused = c, info.Reused
}

// abort stops the request where it stands and reports whether any byte of it
// may have gone out.
func (g *guard) abort() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn != nil && g.conn.seal(g)
}

// release gives the connection back after the whole answer was read.
func (g *guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.release(g)
	}
}

// connected reports whether a connection was assigned, and whether it is an old one.
func (g *guard) connected() (ok, reused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil, g.reused
}
