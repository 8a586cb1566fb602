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
	// maxHandshakes bounds the incoming connections that are in the handshake.
	maxHandshakes = 64
	// maxBulkReads bounds the bulk frames that are read concurrently.
	maxBulkReads = 4
)

// ErrClosed is returned after the transport was closed.
var ErrClosed = errors.New("transport closed")

// Transport manages the connections to other routers.
type Transport struct {
	opts     Options
	counters counters
	// handshakes and bulkSlots are semaphores.
	handshakes chan struct{}
	bulkSlots  chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	// tasks are the goroutines and links that Close waits for.
	tasks sync.WaitGroup

	// mu guards the fields below, and link.session until the link runs.
	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	// pending contains the connections that are in the handshake.
	pending map[net.Conn]struct{}
	// dialling contains the addresses that are being dialled.
	dialling map[string]struct{}
	links    map[core.RouterID]*link
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
			return errors.Wrap(err, "accept peer connection")
		}
		t.accept(conn)
	}
}

// addListener registers a listener that stop closes. If the transport is already
// closed, it closes the listener and returns false.
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

// accept starts the handshake of an incoming connection in the background. It
// closes the connection if maxHandshakes others are in the handshake.
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
			klog.V(1).InfoS("peer: incoming connection rejected", "remote", conn.RemoteAddr(), "reason", err)
		}
	}()
}

// startTask adds a task that Close waits for. It returns false if the transport is
// closed.
func (t *Transport) startTask() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.tasks.Add(1)
	return true
}

// Dial connects to an address in the background. The result is a PeerUp or
// DialFailed event, or neither if the router at the address is already connected.
// Dial does nothing while another dial to the same address is running.
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

// dial connects to an address and reports a failure to the handler.
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

// connect opens a TCP connection and establishes a link on it. It returns the id of
// the remote router under the same condition as establish.
func (t *Transport) connect(addr string) (core.RouterID, error) {
	dialer := net.Dialer{Timeout: t.opts.DialTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "dial")
	}
	return t.establish(conn, roleDialler, addr)
}

// addPending registers a connection in the handshake, which stop closes. It returns
// false if the transport is closed.
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

// Send queues a message for a router and reports whether it was queued. It never
// blocks: a peer whose control queue is full is disconnected.
func (t *Transport) Send(to core.RouterID, env *wire.Envelope) bool {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	return l != nil && l.send(env)
}

// Disconnect sends the queued messages of a router and closes its connection.
func (t *Transport) Disconnect(id core.RouterID) {
	t.mu.Lock()
	l := t.links[id]
	t.mu.Unlock()
	if l != nil {
		l.shutdown()
	}
}

// Stats returns a snapshot of the traffic counters.
func (t *Transport) Stats() Stats {
	s := t.counters.snapshot()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Connections = len(t.links)
	return s
}

// Close stops listening and dialling, sends the queued messages and closes all
// connections. If ctx ends first, it closes the remaining connections at once and
// returns the context's error.
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

// stop closes the listeners and the connections in the handshake, rejects new ones
// and returns the registered links.
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
