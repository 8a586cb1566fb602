package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Defaults of the options.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultDialTimeout      = 2 * time.Second
	DefaultWriteTimeout     = 3 * time.Second
	DefaultKeepAlive        = 5 * time.Second
	DefaultProbeTimeout     = time.Second
)

const (
	// maxHandshakes bounds the connections that are not authenticated yet.
	maxHandshakes = 64
	// maxBulkReads bounds the bulk frames that are read at one time.
	maxBulkReads = 4
	// streamOpenTimeout is how long a peer may take to accept a stream.
	streamOpenTimeout = 10 * time.Second
)

// ErrClosed tells that the transport was closed.
var ErrClosed = errors.New("transport closed")

// Handler receives what happens on the connections. For one router the calls
// are ordered PeerUp, Message, PeerDown; calls for different routers, and bulk
// messages of one router, may be concurrent. A call that blocks holds back that
// router's connection.
type Handler interface {
	// PeerUp tells that an authenticated connection to a router stands.
	PeerUp(*wire.Member)
	// PeerDown tells that the connection to a router is gone.
	PeerDown(core.RouterID)
	// DialFailed tells that a Dial led to no connection.
	DialFailed(addr string)
	// Message is a message from a router.
	Message(core.RouterID, *wire.Envelope)
}

// Options configures a transport.
type Options struct {
	// Self gives this router's current member record.
	Self func() *wire.Member
	// Key is the fleet's shared key.
	Key []byte
	// TLS wraps the connections if it is not nil.
	TLS *tls.Config
	// Handler receives the events.
	Handler Handler
	// HandshakeTimeout bounds the handshake, with that of TLS.
	HandshakeTimeout time.Duration
	// DialTimeout bounds the TCP connect.
	DialTimeout time.Duration
	// WriteTimeout is how long a write may wait for the peer to read.
	WriteTimeout time.Duration
	// ProbeTimeout is how long a peer may take to answer a keepalive.
	ProbeTimeout time.Duration
	// KeepAlive is how long a connection may be quiet before it is probed.
	KeepAlive time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

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

// establish authenticates a connection and starts its link. It closes the
// connection on failure.
func (t *Transport) establish(raw net.Conn, side role, addr string) (core.RouterID, error) {
	conn := &countingConn{Conn: raw, counters: &t.counters, writeTimeout: t.opts.WriteTimeout}
	if !t.addPending(conn) {
		raw.Close()
		return "", ErrClosed
	}
	l, id, err := t.handshake(conn, side, addr)
	t.removePending(conn)
	if err != nil {
		raw.Close()
		return id, err
	}
	go l.run()
	return id, nil
}

func (t *Transport) handshake(conn *countingConn, side role, addr string) (*link, core.RouterID, error) {
	if err := conn.SetDeadline(time.Now().Add(t.opts.HandshakeTimeout)); err != nil {
		return nil, "", errors.Wrap(err, "handshake deadline")
	}
	secured := t.secure(conn, side, addr)
	self := t.opts.Self()
	member, err := authenticate(secured, self, t.opts.Key, side)
	if err != nil {
		return nil, "", err
	}
	id := core.RouterID(member.Id)
	l := newLink(t, member, conn)
	if err := t.agree(l, secured, self.Id < member.Id); err != nil {
		return nil, id, err
	}
	if err := t.startSession(l, secured, side); err != nil {
		t.abandon(l)
		return nil, id, err
	}
	return l, id, nil
}

// secure wraps a connection in TLS if the options ask for it.
func (t *Transport) secure(conn net.Conn, side role, addr string) net.Conn {
	switch {
	case t.opts.TLS == nil:
		return conn
	case side == roleAcceptor:
		return tls.Server(conn, t.opts.TLS)
	}
	config := t.opts.TLS.Clone()
	if host, _, err := net.SplitHostPort(addr); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return tls.Client(conn, config)
}

// agree settles which connection to the router stands. The router with the
// smaller id keeps the first that it sees; the other follows its verdict.
func (t *Transport) agree(l *link, rw net.Conn, decides bool) error {
	if !decides {
		if err := readVerdict(rw); err != nil {
			return err
		}
		return t.register(l, true)
	}
	if err := t.register(l, false); err != nil {
		if errors.Is(err, ErrDuplicate) {
			_ = sendVerdict(rw, verdictDuplicate)
		}
		return err
	}
	if err := sendVerdict(rw, verdictKeep); err != nil {
		t.abandon(l)
		return err
	}
	return nil
}

// register makes l the link to its router. A standing link is replaced if
// replace is set; otherwise it is probed, since the other end may have lost it.
func (t *Transport) register(l *link, replace bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	if old := t.links[l.id]; old != nil {
		if !replace && !old.replaceable() {
			t.probe(old)
			return ErrDuplicate
		}
		old.fail(errReplaced)
		l.previous = old.done
	}
	t.probeNamesakes(l)
	t.links[l.id] = l
	t.tasks.Add(1)
	return nil
}

// probe pings a link in the background, once it has a session. The caller
// holds the lock.
func (t *Transport) probe(l *link) {
	if l.session == nil {
		return
	}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		l.probe()
	}()
}

// probeNamesakes pings links to earlier incarnations of the same router.
func (t *Transport) probeNamesakes(l *link) {
	for _, other := range t.links {
		if other.member.Name == l.member.Name && other.id != l.id {
			t.probe(other)
		}
	}
}

// abandon undoes register for a link that never ran.
func (t *Transport) abandon(l *link) {
	l.fail(errClosing)
	if l.previous != nil {
		<-l.previous
	}
	t.remove(l)
	close(l.done)
}

// remove forgets a link.
func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.id] == l {
		delete(t.links, l.id)
	}
	t.tasks.Done()
}

func (t *Transport) startSession(l *link, conn net.Conn, side role) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear deadline")
	}
	config := &yamux.Config{
		AcceptBacklog:          maxStreams,
		EnableKeepAlive:        false,
		KeepAliveInterval:      t.opts.KeepAlive,
		ConnectionWriteTimeout: t.opts.WriteTimeout,
		MaxStreamWindowSize:    yamuxWindow,
		StreamOpenTimeout:      streamOpenTimeout,
		StreamCloseTimeout:     bulkTimeout,
		Logger:                 sessionLogger{l.id},
	}
	start := yamux.Client
	if side == roleAcceptor {
		start = yamux.Server
	}
	session, err := start(&coalescingConn{Conn: conn}, config)
	if err != nil {
		return errors.Wrap(err, "start session")
	}
	t.mu.Lock()
	l.session = session
	t.mu.Unlock()
	return nil
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
		l.fail(errClosing)
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
