package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// crowdedShare is the part of the room for callers' connections from which
	// callers are asked to close theirs, and fullShare the part from which no new
	// ones should come. Over evictShare idle ones are closed. The three are choices
	// that leave room for connections to upstreams; they were not measured apart.
	crowdedShare = 0.4
	fullShare    = 0.7
	evictShare   = 0.8
	// connBytes is the memory that a caller's connection takes with its goroutine
	// and buffers (net/http: two buffers of 4 KiB, a stack of 8 KiB, the rest), and
	// connMemory the part of the process's memory that all of them may take.
	connBytes  = 24 << 10
	connMemory = 0.5
	// readPoll is how often connections are looked through for unread requests
	// before the rest is closed: a small part of what a stop may last.
	readPoll = 2 * time.Millisecond
	// quietPolls is how many looks in a row find none. A choice.
	quietPolls = 5
)

// conns follows the connections of callers. It is safe for concurrent use.
type conns struct {
	// max is for how many connections there are descriptors and memory; 0 if that
	// is not known.
	max int

	mu   sync.Mutex
	open int
	// idle are the connections without a request, with the time of the last one.
	idle map[net.Conn]time.Time
	// pendingReads counts connections with a request that has been read and not handled.
	pendingReads atomic.Int64
	// charges are the connections whose first request the intake has charged.
	charges map[net.Conn]charge
}

// charge is what the intake has charged of a connection's first request.
type charge struct {
	// admitted means that its processor time has been taken, counted that it has been
	// counted for its organisation as well.
	admitted, attributed bool
}

func newConns(max int) *conns {
	return &conns{max: max, idle: make(map[net.Conn]time.Time), charges: make(map[net.Conn]charge)}
}

// setCharge notes that the intake has charged the next request of a connection.
func (c *conns) setCharge(conn net.Conn, p charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges[conn] = p
}

// takeCharge returns, once, what the intake has charged of a connection's request.
func (c *conns) takeCharge(conn net.Conn) charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.charges[conn]
	delete(c.charges, conn)
	return taken
}

// maxConns is for how many connections there are descriptors and memory, in bytes;
// 0 for either means that it is not bounded.
func maxConns(descriptors int, memory int64) int {
	room := int(connMemory * float64(memory) / connBytes)
	if descriptors == 0 || room == 0 {
		return max(descriptors, room)
	}
	return min(descriptors, room)
}

// onConnState is the http.Server's ConnState.
func (c *conns) onConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.idle[conn] = time.Now()
	case http.StateIdle:
		c.idle[conn] = time.Now()
		// What was read since the handler ended was the rest of its request.
		clearReadPending(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.charges, conn)
		clearReadPending(conn)
	}
}

// sweep closes connections that have been idle for longer than callers may reuse
// them, and those idle for longest while there are too many, but for those on which
// a request has come.
func (c *conns) sweep(now time.Time, limit time.Duration) {
	for _, conn := range c.evictIdle(now, limit) {
		conn.Close()
	}
}

// evictIdle takes the connections to be closed off the idle ones.
func (c *conns) evictIdle(now time.Time, limit time.Duration) (list []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if limit > 0 && now.Sub(since) > limit {
			list = c.evict(list, conn)
		}
	}
	if c.max == 0 {
		return list
	}
	excess := c.open - int(evictShare*float64(c.max))
	if len(list) >= excess {
		// Ordering them costs too much to do it each time.
		return list
	}
	longest := slices.SortedFunc(maps.Keys(c.idle), func(a, b net.Conn) int { return c.idle[a].Compare(c.idle[b]) })
	for _, conn := range longest {
		if len(list) >= excess {
			break
		}
		list = c.evict(list, conn)
	}
	return list
}

// evict moves an idle connection to a list unless a request has come on it.
func (c *conns) evict(list []net.Conn, conn net.Conn) []net.Conn {
	if sockets.Unread(conn) {
		return list
	}
	delete(c.idle, conn)
	return append(list, conn)
}

// awaitNoPendingReads waits until no connection has a request that its handler has not heard of,
// for some time: between a system call that reads and the note of it nothing shows.
func (c *conns) awaitNoPendingReads(ctx context.Context) error {
	for quiet := 0; quiet < quietPolls; quiet++ {
		if c.pendingReads.Load() > 0 || c.hasUnread() {
			quiet = 0
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readPoll):
		}
	}
	return nil
}

func (c *conns) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		if sockets.Unread(conn) {
			return true
		}
	}
	return false
}

// crowded reports whether callers should close their connections.
func (c *conns) crowded() bool { return c.exceeds(crowdedShare) }

// full reports whether no new connections should come.
func (c *conns) full() bool { return c.exceeds(fullShare) }

// count is the number of open connections.
func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *conns) exceeds(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.max > 0 && float64(c.open) > share*float64(c.max)
}

// connKey finds a request's connection in its context.
type connKey struct{}

// withConn is the http.Server's ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf is the connection of a request, nil if it is not known.
func connOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}
