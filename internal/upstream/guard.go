package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// guard restricts a request to one connection, because the transport may retry a
// request by itself. Invariant: at most one connection ever carries a byte of the
// request.
type guard struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	conn   *conn
	reused bool
	// connRequested means that the transport has asked for a connection.
	connRequested bool
	// closed means that the request may no longer be assigned a connection.
	closed bool
	// disabled turns off the restriction to one connection; see
	// Client.disableGuard.
	disabled bool
}

// guardKey is the context key of a request's guard.
type guardKey struct{}

// attach returns a context through which the transport and the dialer call the
// guard.
func (g *guard) attach(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, guardKey{}, g)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: g.getConn, GotConn: g.gotConn})
}

// mayDial reports whether a connection may be dialled for the request of ctx.
func mayDial(ctx context.Context) bool {
	g, ok := ctx.Value(guardKey{}).(*guard)
	if !ok {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed
}

// getConn is called when the transport looks for a connection. A second call means
// that the transport is about to retry the request, so the request is cancelled.
func (g *guard) getConn(string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connRequested && !g.disabled {
		g.closed = true
		g.cancel(errSecondConn)
	}
	g.connRequested = true
}

// gotConn is called before the transport writes to a connection. The first
// connection is assigned to the request; any other is sealed and the request is
// cancelled.
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

// abort ends the request and seals its connection. It reports whether any byte of
// the request may have been written.
func (g *guard) abort() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn != nil && g.conn.seal(g)
}

// release ends the request's ownership of its connection after the whole response
// was read.
func (g *guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.release(g)
	}
}

// connected reports whether a connection was assigned, and whether an earlier
// request had used it.
func (g *guard) connected() (ok, reused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil, g.reused
}
