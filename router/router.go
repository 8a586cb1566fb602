package router

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/peer"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/upstream"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// eventQueueSize is the capacity of the reducer's event queue.
	eventQueueSize = 4096
	// shutdownTimeout bounds the graceful shutdown of the servers.
	shutdownTimeout = 2 * time.Second
	// headerReadTimeout bounds the time a caller may take to send its header, and
	// idleTimeout the time its connection may stay idle.
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxBodyMemory bounds the memory for the bodies of all requests in flight.
	maxBodyMemory = 64 << 20
	// maxHeaderBytes bounds a caller's request header.
	maxHeaderBytes = 64 << 10
)

// Router is one router of the fleet.
type Router struct {
	options Options
	self    core.Peer
	// state is the reducer; only the goroutine of loop accesses it. events and
	// inspections are the events that it handles and the functions of withState.
	state         *reducer.State
	events        chan core.Event
	inspections   chan func(*reducer.State)
	peers         *peer.Transport
	client        *upstream.Client
	orders        *upstream.OrderClient
	metrics       *metrics
	records       *records
	queries       *queries
	platformTimes platformTimes
	queryClient   *http.Client
	ledger        *lockedLedger

	// index is the configuration in force, nil until there is one.
	index atomic.Pointer[config.Index]
	ready atomic.Bool
	// draining is set by Drain; requests are then refused with the reason "draining".
	draining   atomic.Bool
	bodyMemory memoryBudget
	// serial is the number of the latest request id.
	serial atomic.Uint64
	// configReads holds a value while a read by fetchConfig is pending.
	configReads chan struct{}
	storeSlots  chan struct{} // semaphore for key-value and lease calls
	// mu guards calls, which holds the calls whose handlers run.
	mu    sync.Mutex
	calls map[core.RequestID]*call
	// drained is closed when a drain has finished, loopDone when loop has returned.
	drained  chan struct{}
	loopDone chan struct{}
}

// New validates the options and returns a router that is not running yet.
func New(o Options) (*Router, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	r := &Router{
		options: o,
		self: core.Peer{
			ID:     core.RouterID(fmt.Sprintf("%s.%08x", o.Name, uint32(seed>>32))),
			Name:   o.Name,
			Domain: o.Domain,
		},
		events:      make(chan core.Event, eventQueueSize),
		inspections: make(chan func(*reducer.State)),
		client:      upstream.New(upstream.DefaultOptions()),
		orders:      upstream.NewOrderClient(),
		records:     newRecords(),
		queries:     newQueries(),
		queryClient: newQueryClient(),
		ledger:      &lockedLedger{Ledger: burn.New(time.Now())},
		configReads: make(chan struct{}, 1),
		storeSlots:  make(chan struct{}, maxStoreCalls),
		calls:       make(map[core.RequestID]*call),
		drained:     make(chan struct{}),
		loopDone:    make(chan struct{}),
	}
	r.bodyMemory.available.Store(maxBodyMemory)
	r.self.PeerAddr = firstNonEmpty(o.PeerAdvertise, o.PeerListen)
	r.self.AdminAddr = firstNonEmpty(o.AdminAdvertise, o.AdminListen)
	r.state = reducer.New(reducer.Options{
		Self: r.self, Seeds: o.Peers, Seed: seed, Policy: o.Policy, Routers: o.Routers,
	})
	r.peers = peer.New(peer.Options{Self: r.member, Key: o.ClusterKey, TLS: o.PeerTLS, Handler: peerHandler{r}})
	r.metrics, err = newMetrics(r)
	return r, err
}

// randomSeed returns the seed of the reducer's random numbers; its upper half becomes
// the incarnation in the router's id.
func randomSeed() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "read random seed")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// member returns the record of this router that is sent to peers.
func (r *Router) member() *wire.Member {
	return &wire.Member{
		Id: string(r.self.ID), Name: r.self.Name, Domain: r.self.Domain,
		PeerAddr: r.self.PeerAddr, AdminAddr: r.self.AdminAddr,
	}
}

// Run serves until ctx ends, a server fails or a drain has finished. It returns nil
// after a drain.
func (r *Router) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	callers := r.newServer(r.callerMux())
	admin := r.newServer(r.adminMux())
	failed := make(chan error, len(listeners))
	serve := func(f func() error) {
		go func() { failed <- f() }()
	}
	serve(func() error { return serveCallers(callers, listeners[0], r.options.TLS) })
	serve(func() error { return r.peers.Serve(listeners[1]) })
	serve(func() error { return admin.Serve(listeners[2]) })
	go r.loop(ctx)
	r.watchPlatform(ctx)
	klog.InfoS("Router: running.", "id", r.self.ID, "domain", r.self.Domain, "listen", r.options.Listen)

	select {
	case err = <-failed:
	case <-ctx.Done():
		err = ctx.Err()
	case <-r.drained:
		err = nil
	}
	r.close(callers, admin)
	return err
}

// serveCallers serves over TLS if conf is set.
func serveCallers(s *http.Server, ln net.Listener, conf *tls.Config) error {
	if conf == nil {
		return s.Serve(ln)
	}
	s.TLSConfig = conf
	return s.ServeTLS(ln, "", "")
}

// newServer returns an HTTP server with limits for slow clients. It accepts HTTP/1 and
// HTTP/2, the latter also without TLS.
func (r *Router) newServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: &protocols,
	}
}

// listen opens the ports for callers, peers and operators, in this order. If one fails
// it closes the others.
func (r *Router) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range []string{r.options.Listen, r.options.PeerListen, r.options.AdminListen} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, ln)
	}
	return listeners, nil
}

// close shuts the servers down; answers that are being written get shutdownTimeout to
// end.
func (r *Router) close(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
	r.peers.Close(ctx)
	r.client.Close()
	klog.InfoS("Router: stopped.", "id", r.self.ID)
}

// Drain stops the admission of requests, finishes the admitted ones and then ends Run.
// Requests still running after DrainTimeout end with an explicit error.
func (r *Router) Drain() {
	klog.InfoS("Router: draining.", "id", r.self.ID)
	r.draining.Store(true)
	r.post(core.Drain{})
	time.AfterFunc(r.options.DrainTimeout, r.Expire)
}

// Expire ends a drain at once: every remaining request gets its final answer, and Run
// ends.
func (r *Router) Expire() { r.post(core.DrainExpired{}) }
