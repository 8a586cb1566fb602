// Package netfault provides a TCP listener that injects network faults: it can
// close or silence open connections and refuse new ones while the process runs.
package netfault

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Listener is a TCP listener with fault injection.
type Listener struct {
	addr string

	mu sync.Mutex
	// inner is the open socket, nil while connections are refused.
	inner net.Listener
	// reopened is closed when connections are accepted again, or by Close.
	reopened chan struct{}
	closed   bool
	conns    map[*conn]struct{}
}

// Listen opens a TCP listener on addr.
func Listen(addr string) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Listener{
		addr:     inner.Addr().String(),
		inner:    inner,
		reopened: make(chan struct{}),
		conns:    make(map[*conn]struct{}),
	}, nil
}

// Addr returns the bound address, also while connections are refused.
func (l *Listener) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		panic(err) // cannot happen: l.addr is the address of a bound socket
	}
	return addr
}

// Accept waits for the next connection. While connections are refused it blocks
// until they are accepted again.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, reopened, closed := l.current()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-reopened
			continue
		}
		c, err := inner.Accept()
		if err == nil {
			return l.track(c), nil
		}
		if !l.closedByRefuse(inner) {
			return nil, err
		}
	}
}

// Close closes the listener; open connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.inner == nil {
		close(l.reopened)
		return nil
	}
	return l.inner.Close()
}

// Refuse closes the listening socket, so that the operating system refuses new
// connections, or opens it again on the same address. Open connections stay open.
func (l *Listener) Refuse(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refuse == (l.inner == nil) {
		return nil
	}
	if refuse {
		inner := l.inner
		l.inner = nil
		l.reopened = make(chan struct{})
		return errors.Wrap(inner.Close(), "refuse connections")
	}
	inner, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	l.inner = inner
	close(l.reopened)
	return nil
}

// Silence permanently silences all connections that are open now: data that
// arrives is dropped, and writes succeed but send nothing. Later connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Cut closes all open connections.
func (l *Listener) Cut() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

func (l *Listener) current() (inner net.Listener, reopened chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner, l.reopened, l.closed
}

// closedByRefuse reports whether inner was closed by Refuse rather than by a failure.
func (l *Listener) closedByRefuse(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && l.inner != inner
}

func (l *Listener) track(inner net.Conn) net.Conn {
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read reads from the connection. Once the connection is silenced, it discards all
// data and returns only when the connection fails or is closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. Once the connection is silenced, it discards the
// data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.listener.untrack(c)
	return c.Conn.Close()
}
