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
	// registerRetryInterval is the time between tries to register.
	registerRetryInterval = 500 * time.Millisecond
	// deregisterTimeout bounds the farewell at a stop.
	deregisterTimeout = time.Second
)

// registrar keeps one instance in the platform's list. A nil one does nothing.
type registrar struct {
	client   *consul.Client
	instance store.Instance
	leaving  atomic.Bool
	changed  chan struct{}
}

// newRegistrar makes a registrar; nil without a platform address.
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

// setLeaving changes the listed state.
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

// run registers the instance, and again at each change, until the context ends;
// then it takes the instance off the list.
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
		klog.InfoS("standin: could not deregister", "instance", r.instance.ID, "err", err)
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
		klog.V(1).InfoS("standin: could not register", "instance", instance.ID, "err", err)
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
