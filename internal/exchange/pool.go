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
	// userTimeout is how long sent bytes may stay unacknowledged before a
	// connection counts as dead.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that have gone
	// silent while an answer is awaited.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// readBuffer is the size of a connection's input buffer, in bytes.
	readBuffer = 4 << 10
	// idleMargin is how much sooner than its announced timeout an idle
	// connection is given up.
	idleMargin = 500 * time.Millisecond
	// idleDefault is how long a connection is kept that announced no timeout.
	idleDefault = 2 * time.Second
	// idlePerUpstream bounds the idle connections to one address.
	idlePerUpstream = 8
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	// in reads through head, which bounds headers.
	in   *bufio.Reader
	head *headReader
	// idleSince and idleFor bound the time that it waits to be used again.
	idleSince time.Time
	idleFor   time.Duration
	used      bool
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
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
			},
			Control: sockets.UserTimeout(userTimeout),
		},
	}
}

// get returns an idle connection that has waited no longer than maxIdle, or a
// new one.
func (p *pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for c := p.take(addr); c != nil; c = p.take(addr) {
		waited := time.Since(c.idleSince)
		if waited <= min(maxIdle, c.idleFor) && c.quiet() {
			c.used = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	head := &headReader{from: raw}
	return &conn{Conn: raw, head: head, in: bufio.NewReaderSize(head, readBuffer)}, nil
}

func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
	return c
}

// put keeps a connection for the next request.
func (p *pool) put(addr string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= idlePerUpstream {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// sweep closes the connections whose idle time is over.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleFor {
				keep = append(keep, c)
				continue
			}
			c.Close()
		}
		if p.idle[addr] = keep; len(keep) == 0 {
			delete(p.idle, addr)
		}
	}
}

// drop closes the idle connections to an address.
func (p *pool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	return c.in.Buffered() == 0 && sockets.Quiet(c.Conn)
}
