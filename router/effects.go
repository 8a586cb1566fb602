package router

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// probeTimeout bounds the time an upstream may take to accept a probe's connection.
const probeTimeout = time.Second

// executeEffect executes one effect of the reducer. It runs in the reducer's loop and
// must not block; effects that wait run in their own goroutine.
func (r *Router) executeEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.Refuse:
		r.recordRefusal(e)
		r.sendCommand(e.Request, e)
	case core.Replay:
		r.sendCommand(e.Request, e)
	case core.Commit:
		r.sendCommand(e.Request, e)
	case core.Abort:
		r.recordAbort(e)
		r.sendCommand(e.Request, e)
	case core.Send:
		if c := r.findCall(e.Request); c != nil {
			go r.startAttempt(c, e)
		}
	case core.Cancel:
		if c := r.findCall(e.Request); c != nil {
			r.cancelAttempt(c, e.Attempt)
		}
	case core.SendPeer:
		r.peers.Send(e.To, e.Message)
	case core.Dial:
		r.peers.Dial(e.Addr)
	case core.Disconnect:
		r.peers.Disconnect(e.Peer)
	case core.KVGet, core.KVCAS, core.KVDelete:
		go r.runStoreEffect(e)
	case core.LeaseGrant, core.LeaseAcquire, core.LeaseRenew, core.LeaseRevoke:
		go r.runLeaseEffect(e)
	case core.Order:
		go r.sendOrder(e)
	case core.OrderQuery:
		go r.readOrders(e)
	case core.FetchConfig:
		r.fetchConfig()
	case core.DecodeConfig:
		go r.decodeConfig(e)
	case core.ApplyConfig:
		r.applyConfig(e)
	case core.Ready:
		r.ready.Store(e.Ready)
		klog.InfoS("Router: readiness changed.", "ready", e.Ready)
	case core.Probe:
		go r.probe(e)
	case core.Record:
		r.records.add(e, time.Now())
	case core.Observe:
		r.recordObservation(e)
	case core.Exit:
		close(r.drained)
	}
}

// applyConfig puts a configuration in force for requests that arrive from now on.
func (r *Router) applyConfig(e core.ApplyConfig) {
	index, err := config.NewIndex(e.Config)
	if err != nil {
		// The rollout only applies configurations that passed validation.
		panic(err)
	}
	r.index.Store(index)
	klog.InfoS("Config: generation in force.", "generation", e.Generation)
}

// probe checks whether an upstream accepts TCP connections and posts the result.
func (r *Router) probe(e core.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", e.Addr)
	if err == nil {
		conn.Close()
	}
	r.post(core.Probed{Probe: e, Alive: err == nil})
}
