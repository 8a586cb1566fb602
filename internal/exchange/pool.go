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
	// dialTimeout bounds the making of a connection. A lost opening packet is
	// sent again only after a second, when another upstream is the better try.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before a
	// connection counts as dead.
	tcpUserTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that have gone
	// silent while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// readBufferSize is the size of a connection's input buffer, in bytes.
	readBufferSize = 4 << 10
	// idleTimeoutMargin is how much sooner than its announced timeout an idle
	// connection is given up.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept that announced no timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one address.
	maxIdlePerUpstream = 8
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	// reader reads through head, which bounds headers.
	reader  *bufio.Reader
	limiter *headerLimitReader
	// idleSince and idleFor bound the time that it waits to be used again.
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
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

// get returns an idle connection that has waited no longer than maxIdle, or a
// new one.
func (p *pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for c := p.popIdle(addr); c != nil; c = p.popIdle(addr) {
		idle := time.Since(c.idleSince)
		if idle <= min(maxIdle, c.idleTimeout) && c.isQuiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	limiter := &headerLimitReader{src: raw}
	return &conn{Conn: raw, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}, nil
}

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

// putIdle keeps a connection for the next request.
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

// closeExpired closes the connections whose idle time is over.
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
	return c.reader.Buffered() == 0 && sockets.Quiet(c.Conn)
}
