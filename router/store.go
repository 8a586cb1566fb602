package router

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// maxStoreCalls bounds the key-value and lease calls in flight.
	maxStoreCalls = 64
	// storeTimeout bounds one call other than a watch.
	storeTimeout = 2 * time.Second
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = time.Minute
	// storeRetryDelay is the delay before a failed watch is repeated.
	storeRetryDelay = time.Second
)

// watchPlatform starts the goroutines that watch the configuration and the instance
// list until ctx ends.
func (r *Router) watchPlatform(ctx context.Context) {
	go r.watchConfig(ctx)
	go r.watchInstances(ctx)
}

// watchConfig watches the configuration, and reads it at once when fetchConfig is
// called.
func (r *Router) watchConfig(ctx context.Context) {
	go func() {
		reader := configstore.NewReader(r.options.Store)
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.configReads:
				r.postConfig(reader.Read(ctx))
			}
		}
	}()
	reader := configstore.NewReader(r.options.Store)
	for ctx.Err() == nil {
		head, err := reader.Watch(ctx, watchTimeout)
		r.postConfig(head, err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
		}
	}
}

// postConfig posts a configuration that was read from the store; a failed read is only
// logged.
func (r *Router) postConfig(head core.ConfigHead, err error) {
	if err != nil {
		klog.V(1).InfoS("Config: cannot read the configuration from the store.", "err", err)
		return
	}
	r.platformTimes.config.setNow()
	r.post(head)
}

// fetchConfig requests a read of the configuration.
func (r *Router) fetchConfig() {
	select {
	case r.configReads <- struct{}{}:
	default: // a read is already pending
	}
}

// decodeConfig decodes configuration parts that a peer sent and posts the result;
// invalid parts are logged and dropped.
func (r *Router) decodeConfig(e core.DecodeConfig) {
	head, err := configstore.Decode(e.Parts.Head, e.Parts.Parts)
	if err != nil {
		klog.InfoS("Config: invalid configuration parts from a peer; dropping them.", "err", err)
		return
	}
	r.post(head)
}

// watchInstances watches the platform's instance list and posts each change.
func (r *Router) watchInstances(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		list, next, err := r.options.Directory.Instances(ctx, index, watchTimeout)
		if err != nil {
			klog.V(1).InfoS("Store: cannot read the instance list; retrying.", "err", err)
			sleep(ctx, storeRetryDelay)
			continue
		}
		r.platformTimes.instances.setNow()
		if next != index || index == 0 {
			r.post(instancesEvent(list))
		}
		index = next
	}
}

// instancesEvent turns an instance list into an event: instances of RouterService are
// routers, all others are upstreams.
func instancesEvent(list []store.Instance) core.Instances {
	var ev core.Instances
	for _, i := range list {
		if i.Service == store.RouterService {
			ev.Routers = append(ev.Routers, i.Addr)
			continue
		}
		state := core.UpstreamUp
		if i.State != store.InstanceLive {
			state = core.UpstreamLeaving
		}
		ev.Upstreams = append(ev.Upstreams, core.Upstream{
			ID: i.ID, Service: i.Service, Addr: i.Addr, Domain: i.Domain, State: state,
		})
	}
	return ev
}

// runStoreEffect executes one key-value effect and posts its KVResult. It waits for one
// of the maxStoreCalls slots.
func (r *Router) runStoreEffect(effect core.Effect) {
	r.storeSlots <- struct{}{}
	defer func() { <-r.storeSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	switch e := effect.(type) {
	case core.KVGet:
		entry, err := r.options.Store.Get(ctx, e.Key)
		r.post(core.KVResult{Op: e.Op, Key: e.Key, Status: kvStatus(true, err), Value: entry.Value, Index: entry.Index})
	case core.KVCAS:
		ok, err := r.options.Store.CAS(ctx, e.Key, e.Value, e.Index)
		r.post(core.KVResult{Op: e.Op, Key: e.Key, Status: kvStatus(ok, err)})
	case core.KVDelete:
		ok, err := r.options.Store.Delete(ctx, e.Key, e.Index)
		r.post(core.KVResult{Op: e.Op, Key: e.Key, Status: kvStatus(ok, err)})
	}
}

// kvStatus maps the result of a store call to a status; ok is false if a conditional
// write did not match.
func kvStatus(ok bool, err error) core.KVStatus {
	switch {
	case err == nil && ok:
		return core.KVOK
	case err == nil:
		return core.KVConflict
	case errors.Is(err, store.ErrNotFound):
		return core.KVNotFound
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return core.KVUnavailable
	default:
		return core.KVUnknown
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
