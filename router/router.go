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
	// eventQueueSize is how many events may wait for the reducer.
	eventQueueSize = 4096
	// shutdownTimeout is how long servers may take to close once nothing is left.
	shutdownTimeout = 2 * time.Second
	// headerReadTimeout bounds how long a caller may take to send its header, and
	// idleTimeout how long its connection may stay unused.
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxBodyMemory bounds the bodies of all requests under way, in bytes.
	maxBodyMemory = 64 << 20
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
)

// Router is one instance of the fleet.
type Router struct {
	options       Options
	self          core.Peer
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

	index atomic.Pointer[config.Index]
	ready atomic.Bool
	// draining tells callers why the router is not ready.
	draining    atomic.Bool
	bodyMemory  memoryBudget
	serial      atomic.Uint64
	configReads chan struct{}
	storeSlots  chan struct{} // semaphore of key-value calls
	mu          sync.Mutex
	calls       map[core.RequestID]*call
	drained     chan struct{}
	loopDone    chan struct{}
}

// New checks the options and returns a router that is not running yet.
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

// member is this router's record as peers see it.
func (r *Router) member() *wire.Member {
	return &wire.Member{
		Id: string(r.self.ID), Name: r.self.Name, Domain: r.self.Domain,
		PeerAddr: r.self.PeerAddr, AdminAddr: r.self.AdminAddr,
	}
}

// Run serves until ctx ends or a drain has finished. It returns nil after a
// drain.
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

func serveCallers(s *http.Server, ln net.Listener, conf *tls.Config) error {
	if conf == nil {
		return s.Serve(ln)
	}
	s.TLSConfig = conf
	return s.ServeTLS(ln, "", "")
}

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

// close lets answers that are being written end before it shuts the servers.
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

// Drain stops the intake, finishes what was taken in and ends Run. What has not
// ended after the drain timeout is ended with an explicit error.
func (r *Router) Drain() {
	klog.InfoS("Router: draining.", "id", r.self.ID)
	r.draining.Store(true)
	r.post(core.Drain{})
	time.AfterFunc(r.options.DrainTimeout, r.Expire)
}

// Expire ends a drain: every request that is left gets its final answer at once,
// and Run ends.
func (r *Router) Expire() { r.post(core.Expire{}) }
