package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// dialTimeout bounds connection establishment. A lost SYN is retransmitted only
	// after a second, and by then trying another upstream is the better choice.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes that find dead connections while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// readBufferSize is the size of a connection's input buffer, in bytes.
	readBufferSize = 4 << 10
	// idleTimeoutMargin is how long before the timeout that the upstream announced
	// an idle connection is closed.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies to connections whose upstream announced no
	// timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdlePerUpstream bounds the number of idle connections to one address.
	maxIdlePerUpstream = 8
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	// reader reads through limiter, which bounds headers.
	reader  *bufio.Reader
	limiter *headerLimitReader
	// idleSince and idleTimeout bound how long the connection stays idle in the
	// pool.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused means that an earlier request has used the connection.
	reused bool
}

// pool keeps the idle connections by address.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer net.Dialer
}

func newPool() *pool {
	return &pool{
		idle: make(map[string][]*conn),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: sockets.UserTimeout(tcpUserTimeout),
		},
	}
}

// get returns an idle connection that has been idle for at most maxIdle, or a new
// one.
func (p *pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for c := p.popIdle(addr); c != nil; c = p.popIdle(addr) {
		idle := time.Since(c.idleSince)
		if idle <= min(maxIdle, c.idleTimeout) && c.isQuiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, addr)
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	limiter := &headerLimitReader{src: raw}
	return &conn{Conn: raw, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}, nil
}

// popIdle removes the most recently used idle connection to an address and returns
// it, nil if there is none.
func (p *pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	if conns = conns[:len(conns)-1]; len(conns) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = conns
	}
	return c
}

// putIdle keeps a connection for the next request, or closes it if the pool has
// enough of them.
func (p *pool) putIdle(addr string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerUpstream {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closeExpired closes the connections whose idle timeout has expired.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// isQuiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) isQuiet() bool {
	return c.reader.Buffered() == 0 && sockets.IsIdle(c.Conn)
}
