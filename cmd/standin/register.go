package main

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/store"
	"github.com/jujubeford/jujubeford/store/consul"
)

const (
	// registerRetryInterval is the time between attempts to register.
	registerRetryInterval = 500 * time.Millisecond
	// deregisterTimeout bounds the attempt to deregister at shutdown.
	deregisterTimeout = time.Second
)

// registrar keeps one instance registered in the platform's instance list. The
// methods of a nil registrar do nothing.
type registrar struct {
	client   *consul.Client
	instance store.Instance
	leaving  atomic.Bool
	changed  chan struct{}
}

// newRegistrar returns a registrar for the platform at addr, nil if addr is empty.
func newRegistrar(addr string, instance store.Instance) *registrar {
	if addr == "" {
		return nil
	}
	return &registrar{
		client:   consul.New(consul.Options{Addr: addr}),
		instance: instance,
		changed:  make(chan struct{}, 1),
	}
}

// setLeaving sets whether the instance is registered as leaving.
func (r *registrar) setLeaving(leaving bool) {
	if r == nil {
		return
	}
	r.leaving.Store(leaving)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// run registers the instance, and again after each change, until the context ends.
// Then it deregisters the instance.
func (r *registrar) run(ctx context.Context) {
	if r == nil {
		return
	}
	for ctx.Err() == nil {
		if !r.register(ctx) {
			sleep(ctx, registerRetryInterval)
			continue
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
		}
	}
	deregisterCtx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.client.Deregister(deregisterCtx, r.instance.ID); err != nil {
		klog.InfoS("standin: deregistering the instance failed", "instance", r.instance.ID, "err", err)
	}
}

func (r *registrar) register(ctx context.Context) bool {
	instance := r.instance
	instance.State = store.InstanceLive
	if r.leaving.Load() {
		instance.State = store.InstanceLeaving
	}
	err := r.client.Register(ctx, instance)
	if err != nil {
		klog.V(1).InfoS("standin: registering the instance failed; retrying", "instance", instance.ID, "err", err)
	}
	return err == nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
