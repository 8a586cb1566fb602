package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// maxHandshakes bounds the connections that are not authenticated yet.
	maxHandshakes = 64
	// maxBulkReads bounds the bulk frames that are read at one time.
	maxBulkReads = 4
)

// ErrClosed means that the transport was closed.
var ErrClosed = errors.New("transport closed")

// Transport holds the connections to other routers.
type Transport struct {
	opts     Options
	counters counters
	// handshakes and bulkSlots are semaphores.
	handshakes chan struct{}
	bulkSlots  chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	pending   map[net.Conn]struct{}
	dialling  map[string]struct{}
	links     map[core.RouterID]*link
}

// New returns a transport without connections.
func New(opts Options) *Transport {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		opts:       opts,
		handshakes: make(chan struct{}, maxHandshakes),
		bulkSlots:  make(chan struct{}, maxBulkReads),
		ctx:        ctx,
		cancel:     cancel,
		listeners:  map[net.Listener]struct{}{},
		pending:    map[net.Conn]struct{}{},
		dialling:   map[string]struct{}{},
		links:      map[core.RouterID]*link{},
	}
}

// Serve accepts connections until the listener or the transport is closed.
func (t *Transport) Serve(ln net.Listener) error {
	if !t.addListener(ln) {
		return ErrClosed
	}
	for {
		conn, err := ln.Accept()
		if t.ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return ErrClosed
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		t.accept(conn)
	}
}

func (t *Transport) addListener(ln net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		ln.Close()
		return false
	}
	t.listeners[ln] = struct{}{}
	return true
}

// accept starts the handshake of an incoming connection, or closes it if too
// many others are still unauthenticated.
func (t *Transport) accept(conn net.Conn) {
	select {
	case t.handshakes <- struct{}{}:
	default:
		conn.Close()
		return
	}
	if !t.startTask() {
		<-t.handshakes
		conn.Close()
		return
	}
	go func() {
		defer t.tasks.Done()
		defer func() { <-t.handshakes }()
		if _, err := t.establish(conn, roleAcceptor, ""); err != nil {
			klog.V(1).InfoS("peer: connection refused", "remote", conn.RemoteAddr(), "reason", err)
		}
	}()
}

// startTask registers a goroutine that Close waits for.
func (t *Transport) startTask() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.tasks.Add(1)
	return true
}

// Dial connects to an address in the background. It ends in PeerUp or
// DialFailed, or in neither if the router at the address is already connected.
// While one dial to an address runs, others to it do nothing.
func (t *Transport) Dial(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, running := t.dialling[addr]; running || t.closed {
		return
	}
	t.dialling[addr] = struct{}{}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		t.dial(addr)
	}()
}

func (t *Transport) dial(addr string) {
	id, err := t.connect(addr)
	t.mu.Lock()
	delete(t.dialling, addr)
	_, connected := t.links[id]
	t.mu.Unlock()
	if err == nil || errors.Is(err, ErrDuplicate) && connected {
		return
	}
	klog.V(1).InfoS("peer: dial failed", "addr", addr, "reason", err)
	t.opts.Handler.DialFailed(addr)
}

func (t *Transport) connect(addr string) (core.RouterID, error) {
	dialer := net.Dialer{Timeout: t.opts.DialTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "dial")
	}
	return t.establish(conn, roleDialler, addr)
}

func (t *Transport) addPending(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.pending[conn] = struct{}{}
	return true
}

func (t *Transport) removePending(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, conn)
}

// Send queues a message for a router and reports whether it was queued. It
// never blocks: a peer that does not drain its queue is disconnected.
func (t *Transport) Send(to core.RouterID, env *wire.Envelope) bool {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	return l != nil && l.send(env)
}

// Hangup sends what is queued for a router and closes its connection.
func (t *Transport) Hangup(id core.RouterID) {
	t.mu.Lock()
	l := t.links[id]
	t.mu.Unlock()
	if l != nil {
		l.shutdown()
	}
}

// Stats returns the counts so far.
func (t *Transport) Stats() Stats {
	s := t.counters.snapshot()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Connections = len(t.links)
	return s
}

// Close stops listening and dialling, sends what is queued and closes every
// connection. When ctx ends first, it cuts the remaining ones and returns the
// context's error.
func (t *Transport) Close(ctx context.Context) error {
	links := t.stop()
	for _, l := range links {
		l.shutdown()
	}
	done := make(chan struct{})
	go func() {
		t.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, l := range links {
		l.closeNow(errClosing)
	}
	<-done
	return ctx.Err()
}

// stop refuses new connections and returns the standing ones.
func (t *Transport) stop() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.cancel()
	for ln := range t.listeners {
		ln.Close()
	}
	for conn := range t.pending {
		conn.Close()
	}
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	return links
}
