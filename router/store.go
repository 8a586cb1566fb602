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
	// maxStoreCalls bounds the key-value calls under way.
	maxStoreCalls = 64
	// storeTimeout bounds one call that does not wait.
	storeTimeout = 2 * time.Second
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = time.Minute
	// storeRetryDelay is the pause after a failed call.
	storeRetryDelay = time.Second
)

// watchPlatform starts the goroutines that read from the platform.
func (r *Router) watchPlatform(ctx context.Context) {
	go r.watchConfig(ctx)
	go r.watchInstances(ctx)
}

// watchConfig watches the configuration, and reads it at once when the reducer
// asks.
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

// postConfig passes what the store gave to the reducer.
func (r *Router) postConfig(head core.ConfigHead, err error) {
	if err != nil {
		klog.V(1).InfoS("Config: not read from the store.", "err", err)
		return
	}
	r.platformTimes.config.setNow()
	r.post(head)
}

func (r *Router) fetchConfig() {
	select {
	case r.configReads <- struct{}{}:
	default: // one read is due already
	}
}

func (r *Router) decodeConfig(e core.DecodeConfig) {
	head, err := configstore.Decode(e.Parts.Head, e.Parts.Parts)
	if err != nil {
		klog.InfoS("Config: parts of a peer refused.", "err", err)
		return
	}
	r.post(head)
}

// watchInstances reads the platform's instance list as it changes.
func (r *Router) watchInstances(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		list, next, err := r.options.Directory.Instances(ctx, index, watchTimeout)
		if err != nil {
			klog.V(1).InfoS("Store: instance list not read.", "err", err)
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

// runStoreEffect carries out one key-value effect and answers with its result.
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
