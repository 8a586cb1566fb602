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
	// Shares of the maximum number of callers' connections: above crowdedShare callers
	// are asked to close theirs, above fullShare the router fails its readiness check
	// so that no new ones come, and above evictShare it closes idle ones. The remainder
	// is left for connections to upstreams.
	crowdedShare = 0.4
	fullShare    = 0.7
	evictShare   = 0.8
	// acceptShare is the share above which a new connection is closed unless an idle one can be.
	acceptShare = 0.9
	// connBytes is the memory of a caller's connection with its goroutine and buffers
	// (net/http: two buffers of 4 KiB, a stack of 8 KiB, the rest). connMemory is the
	// share of the process's memory that all callers' connections may take.
	connBytes  = 24 << 10
	connMemory = 0.5
	// readPoll is how often a stopping router polls connections for unread requests: a
	// small fraction of the time that a stop may last.
	readPoll = 2 * time.Millisecond
	// quietPolls is how many polls in a row must find no unread request.
	quietPolls = 5
)

// conns tracks the connections of callers. It is safe for concurrent use.
type conns struct {
	// max is the number of connections that descriptors and memory allow; 0 if there is
	// no known limit.
	max int
	// room and metrics are those of the gateway.
	room    *room
	metrics *metrics
	// refusing is the number of connections that are being refused without a server.
	refusing atomic.Int64

	mu sync.Mutex
	// open is the number of callers' connections, in which offloaded ones count twice,
	// and offloaded is the number of these.
	open, offloaded int
	// idle maps connections without a request to the time at which they became idle.
	idle map[net.Conn]time.Time
	// pendingReads counts the connections from which part of a request has been read, or
	// that were taken of another router, and whose handler does not run yet.
	pendingReads atomic.Int64
	// refusals counts the connections that are being refused or offloaded.
	refusals atomic.Int64
	// charges holds what admission control has charged for the next request of a
	// connection.
	charges map[net.Conn]charge
}

// charge says what admission control has charged for a connection's next request.
type charge struct {
	// admitted means that processor time for the request has been taken from the
	// admission budget; attributed that it has been added to its organisation's usage
	// as well.
	admitted, attributed bool
}

func newConns(max int) *conns {
	return &conns{max: max, idle: make(map[net.Conn]time.Time), charges: make(map[net.Conn]charge)}
}

// setCharge records what admission control has charged for the next request of a
// connection.
func (c *conns) setCharge(conn net.Conn, ch charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges[conn] = ch
}

// takeCharge returns and clears the charge of a connection's next request.
func (c *conns) takeCharge(conn net.Conn) charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.charges[conn]
	delete(c.charges, conn)
	return taken
}

// maxConns is the number of connections that a number of descriptors and a memory size
// in bytes allow; 0 for either means that it is not limited.
func maxConns(descriptors int, memory int64) int {
	room := int(connMemory * float64(memory) / connBytes)
	if descriptors == 0 || room == 0 {
		return max(descriptors, room)
	}
	return min(descriptors, room)
}

// onConnState is the http.Server's ConnState callback.
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
		// Bytes read since the handler returned were the rest of its request.
		clearReadPending(conn)
		if caller, ok := conn.(*callerConn); ok {
			caller.beginHead()
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.charges, conn)
		clearReadPending(conn)
		if caller, ok := conn.(*callerConn); ok {
			caller.releaseHead()
		}
	}
}

// makeRoom reports whether there is room for one more connection. If there is none, it closes
// the one that has been idle for longest, unless that has an unread request.
func (c *conns) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Offloaded connections are among those being refused.
	if taken := c.open - c.offloaded + int(c.refusing.Load()); c.max == 0 || float64(taken) < acceptShare*float64(c.max) {
		return true
	}
	var longest net.Conn
	for conn, since := range c.idle {
		if longest == nil || since.Before(c.idle[longest]) {
			longest = conn
		}
	}
	if longest == nil || sockets.HasUnread(longest) {
		return false
	}
	delete(c.idle, longest)
	go closeIdle(longest)
	return true
}

// beginOffload counts a connection that is going to be offloaded. It reports false if too
// many are.
func (c *conns) beginOffload() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.max > 0 && float64(2*(c.offloaded+1)) > offloadConnShare*float64(c.max) {
		return false
	}
	c.offloaded++
	c.open += 2
	return true
}

func (c *conns) endOffload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offloaded--
	c.open -= 2
}

// sweep closes connections that have been idle for longer than limit and, while there
// are too many connections, those that have been idle for longest. Connections with an
// unread request stay open.
func (c *conns) sweep(now time.Time, limit time.Duration) {
	for _, conn := range c.evictIdle(now, limit) {
		closeIdle(conn)
	}
}

// closeIdle closes a connection that was found without a request, unless a handler runs for it
// by now.
func closeIdle(conn net.Conn) {
	if caller, ok := conn.(*callerConn); ok && !caller.markClosed() {
		return
	}
	conn.Close()
}

// evictIdle removes the connections that sweep has to close from the idle ones and
// returns them.
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
		// Sorting the idle connections on every sweep would be too expensive.
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

// evict moves an idle connection to the list unless it has an unread request.
func (c *conns) evict(list []net.Conn, conn net.Conn) []net.Conn {
	if sockets.HasUnread(conn) {
		return list
	}
	delete(c.idle, conn)
	return append(list, conn)
}

// awaitNoPendingReads waits until several polls in a row find no connection with a
// request that is unread or whose handler does not run yet. A single poll is not
// enough: between the system call that reads the bytes and the update of readPending
// neither shows the request.
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

// awaitRefused waits until no connection is being refused or offloaded.
func (c *conns) awaitRefused(ctx context.Context) error {
	for c.refusals.Load() > 0 {
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
		if sockets.HasUnread(conn) {
			return true
		}
	}
	return false
}

// crowded reports whether callers should be asked to close their connections.
func (c *conns) crowded() bool { return c.exceeds(crowdedShare) }

// full reports whether the router should get no new connections.
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

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the http.Server's ConnContext callback.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf is the connection of a request, nil if it is not known.
func connOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}
