package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/evacuation"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/mirror"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/internal/sockets"
	"github.com/jujubeford/jujubeford/store"
)

// Gateway is one router in front of a platform's upstreams.
type Gateway struct {
	options Options
	client  *exchange.Client
	metrics *metrics

	// mu guards dispatcher and calls.
	mu         sync.Mutex
	dispatcher *dispatch.State
	calls      map[string]*call

	// mirrorMu guards mirror, evacuations, decoded, tableDecoded and inForce.
	mirrorMu    sync.Mutex
	mirror      *mirror.Mirror
	evacuations *evacuation.State
	// decoded holds the decoded entries of upstreams by key, and tableDecoded is the
	// position of the configuration's entry that was decoded last.
	decoded      map[string]decodedInstance
	tableDecoded store.Position
	// inForce is the entry of the configuration in force, which the store may have lost.
	inForce tableEntry

	// listing is the list of the store's keys that is being read, and isListing tells that
	// there is one that brings an earlier copy up to date.
	listing   listing
	isListing atomic.Bool

	table    atomic.Pointer[routing.Table]
	listed   atomic.Bool
	draining atomic.Bool
	// stopping is the time of Stop and stopEnd that at which requests have to end; zero
	// before. They are set before draining.
	stopping, stopEnd time.Time
	// bodies is the total size of the bodies of all requests in progress, in bytes.
	bodies   atomic.Int64
	pressure pressure
	// lag is used by runTicks only.
	lag   schedLag
	conns *conns
	// room is the account of the memory that is held for callers.
	room *room
	// offloader is nil if there are no peers to offload connections to.
	offloader *offloader
	// offloadPort is the port at which connections of other routers are taken, 0 if they
	// are not.
	offloadPort atomic.Uint32
	peers       *peers
	stop        chan struct{}
	stopOnce    sync.Once
}

// New checks the options and returns a gateway that is not running yet.
func New(o Options) (*Gateway, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		options:     o,
		client:      exchange.New(int64(bodyShare * float64(o.Memory))),
		conns:       newConns(maxConns(o.Descriptors, o.Memory)),
		pressure:    pressure{cores: o.Cores, admission: newAdmission(o.Cores)},
		dispatcher:  dispatch.New(o.Dispatch),
		calls:       make(map[string]*call),
		mirror:      mirror.New(o.Directory.InstancePrefix(), o.maxRetention()),
		evacuations: evacuation.New(),
		stop:        make(chan struct{}),
	}
	var err error
	if g.metrics, err = newMetrics(g); err != nil {
		return nil, err
	}
	g.room = &room{state: holding.New(o.Memory), metrics: g.metrics}
	g.conns.room, g.conns.metrics = g.room, g.metrics
	g.client.OnHeld(g.room.note)
	g.peers = newPeers(g)
	g.offloader = newOffloader(g)
	return g, nil
}

// Ready reports whether the router accepts requests.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.listed.Load() && !g.draining.Load()
}

// Run serves until Stop is called, ctx ends or a server fails. After Stop it returns
// once the router is drained.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serveCaller), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: serverLog,
		ConnState: g.conns.onConnState, ConnContext: withConn,
	}
	listener, err := listenForCallers(ctx, g.options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	defer callers.Close()
	serveErrors := make(chan error, 4)
	served := make(chan struct{})
	shed := newShedListener(listener, g)
	go func() {
		serveErrors <- callers.Serve(shed)
		close(served)
	}()
	offloaded := g.listenForPeers(ctx)
	if offloaded != nil {
		defer offloaded.Close()
		go shed.takeOffloaded(offloaded)
	}
	for _, s := range []struct {
		server *http.Server
		addr   string
	}{
		{g.newServer(http.HandlerFunc(g.serveReady)), g.options.ReadyListen},
		{g.newServer(g.peers.mux()), g.options.PeerListen},
		{g.newServer(g.metrics.mux()), g.options.MetricsListen},
	} {
		if s.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen for readiness checks, peers or metrics")
		}
		defer s.server.Close()
		go func() { serveErrors <- s.server.Serve(ln) }()
	}
	if err := g.peers.start(ctx); err != nil {
		return err
	}
	go g.followStore(ctx)
	go g.keepRegistered(ctx)
	go g.runTicks(ctx)
	klog.InfoS("Gateway: started.", "name", g.options.Name, "domain", g.options.Domain, "listen", g.options.Listen,
		"cores", g.options.Cores, "memory", g.options.Memory, "descriptors", g.options.Descriptors)
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stop:
	}
	g.drain(callers, listener, offloaded, served)
	klog.InfoS("Gateway: stopped.", "name", g.options.Name)
	return nil
}

func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: serverLog}
}

// Stop starts to drain the router. Run returns once all accepted requests have ended or
// the grace period is over.
func (g *Gateway) Stop() {
	g.stopOnce.Do(func() {
		g.beginStop(time.Now())
		close(g.stop)
	})
}

func (g *Gateway) beginStop(now time.Time) {
	g.stopping, g.stopEnd = now, now.Add(g.options.Grace-graceMargin)
	g.draining.Store(true)
}

// Reload applies the settings that can change while the router runs: the peer addresses
// of other routers to start from.
func (g *Gateway) Reload(seeds []string) {
	g.peers.setSeeds(seeds)
	klog.InfoS("Gateway: reloaded.", "name", g.options.Name, "seeds", seeds)
}

// drain waits until the platform sends no new connections, and then for the requests in
// progress. Callers with persistent connections are asked to close them in the next
// answer. A request that has arrived is answered, even if it had not been read when the
// listener was closed, or does not end within the grace period. served is closed once the
// server accepts no more connections; offloaded is nil if those of other routers are not taken.
func (g *Gateway) drain(callers *http.Server, listener, offloaded *net.TCPListener, served <-chan struct{}) {
	klog.InfoS("Gateway: stopping.", "name", g.options.Name, "running", g.running(), "grace", g.options.Grace)
	ctx, cancel := context.WithDeadline(context.Background(), g.stopEnd)
	defer cancel()
	end := time.AfterFunc(time.Until(g.stopEnd)-endMargin, func() {
		klog.InfoS("Gateway: grace period over, ending the requests in progress.", "running", g.running())
		g.step(dispatch.Stopping{})
		g.offloader.stop()
	})
	defer end.Stop()
	time.Sleep(min(rotationDelay, time.Until(g.stopEnd)))
	if offloaded != nil {
		// Peers have heard that this router is leaving.
		if err := sockets.StopListening(ctx, offloaded); err != nil {
			klog.InfoS("Gateway: listener for other routers not emptied, waiting connections may be reset.", "err", err)
		}
	}
	if err := sockets.StopListening(ctx, listener); err != nil {
		klog.InfoS("Gateway: listener not emptied, waiting connections may be reset.", "err", err)
	}
	// Once Serve has returned, the server has all connections that were accepted.
	select {
	case <-served:
	case <-ctx.Done():
		klog.InfoS("Gateway: accepted connections may be reset before they are served.", "err", ctx.Err())
	}
	if err := g.conns.awaitNoPendingReads(ctx); err != nil {
		klog.InfoS("Gateway: requests may be reset before they are read.", "err", err)
	}
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("Gateway: connections were cut off at the end of the grace period.", "running", g.running())
	}
	g.offloader.wait(ctx)
	// Those that no peer takes any more are refused.
	if err := g.conns.awaitRefused(ctx); err != nil {
		klog.InfoS("Gateway: refusals were cut off at the end of the grace period.", "err", err)
	}
	for g.room.held(holding.Ahead) > 0 && ctx.Err() == nil {
		time.Sleep(readPoll) // slow callers have the end of their streams to come
	}
}

func (g *Gateway) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

// serveReady answers the platform's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() || g.pressure.isHigh() || g.conns.full() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// step passes an event to the dispatcher and delivers the resulting effects to the
// calls.
func (g *Gateway) step(e dispatch.Event) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.dispatcher.Step(now, e) {
		switch e := effect.(type) {
		case dispatch.BlockChanged:
			logs.Info("block", "Gateway: refusal of requests that crash upstreams changed.", "blocked", e.Blocked,
				"kind", e.Trait.Kind, "trait", e.Trait.ID, "crashes", e.Crashes, "reported", e.Reported)
			continue
		case dispatch.PaceChanged:
			logs.Info("pace", "Gateway: pace of an upstream changed.", "upstream", e.Upstream.ID, "phase", e.Phase, "before", e.Before, "window", e.Window)
			continue
		case dispatch.ColdChanged:
			logCold(e)
			continue
		case dispatch.LimitChanged:
			logs.Info("limit", "Gateway: limit of an upstream changed.", "upstream", e.Upstream.ID, "perSecond", e.PerSecond,
				"before", e.Before, "part", e.Part, "age", e.Age, "routers", e.Routers)
			continue
		case dispatch.SpeedChanged:
			logs.Info("speed", "Gateway: speed of an upstream changed.", "upstream", e.Upstream.ID, "speed", e.Speed, "slow", e.Slow, "fast", e.Fast)
			continue
		case dispatch.DomainEmptied:
			klog.InfoS("Evacuation: nothing runs in the domain any more.", "domain", e.Domain, "after", e.After)
			continue
		}
		if c := g.calls[effect.RequestID()]; c != nil {
			c.deliver(effect)
		}
	}
}

// unreported is how much this router's loads have changed since its last report.
func (g *Gateway) unreported() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.UnreportedTokens()
}

// samplePressure samples the process's CPU time and scheduling lag, and logs when that
// changes whether this router accepts new callers.
func (g *Gateway) samplePressure(now time.Time) {
	used, err := processorTime()
	if err != nil {
		logs.Info("pressure", "Gateway: reading the processor time of the process failed.", "err", err)
		return
	}
	lag := g.lag.read()
	stats := g.pressure.admission.stats()
	if stats.refused+stats.offloaded > 0 {
		logs.Info("intake", "Gateway: requests refused or offloaded for lack of processor time.", "taken", stats.admitted, "refused", stats.refused,
			"mostRefused", stats.mostRefused, "itsRefused", stats.mostRefusedCount, "offloaded", stats.offloaded, "spare", stats.spare,
			"cost", stats.cost, "balance", stats.balance, "used", used, "lag", lag, "cores", g.options.Cores)
	}
	if g.pressure.sample(now, used, lag) {
		klog.InfoS("Gateway: processor pressure changed.", "short", g.pressure.isHigh(), "running", g.running(), "used", used, "lag", lag)
	}
}

// runTicks sends the dispatcher its ticks, deletes expired entries of the store, and runs
// the periodic work: pressure samples and the sweep of idle connections.
func (g *Gateway) runTicks(ctx context.Context) {
	swept := time.Now()
	for {
		g.mu.Lock()
		wait := g.dispatcher.NextTick()
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		g.step(dispatch.Tick{})
		now := time.Now()
		g.expire(now)
		if now.Sub(swept) >= sweepInterval {
			swept = now
			g.samplePressure(now)
			g.client.CloseExpired(now)
			if t := g.table.Load(); t != nil {
				g.room.tick(now, bodyStall(t.Limits))
				g.conns.sweep(now, t.Limits.IdleTimeout)
			}
		}
	}
}
