package router

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/store"
)

// readOrdersTimeout bounds a read of the orders that an upstream has carried out.
const readOrdersTimeout = 2 * time.Second

// runLeaseEffect executes one lease effect at the store and posts its LeaseResult. It
// waits for one of the maxStoreCalls slots.
func (r *Router) runLeaseEffect(effect core.Effect) {
	r.storeSlots <- struct{}{}
	defer func() { <-r.storeSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	switch e := effect.(type) {
	case core.LeaseGrant:
		lease, err := r.options.Store.Grant(ctx, e.TTL)
		r.post(core.LeaseResult{Op: e.Op, Status: leaseKVStatus(true, err), Lease: core.LeaseID(lease)})
	case core.LeaseAcquire:
		ok, err := r.options.Store.Acquire(ctx, e.Key, e.Value, store.LeaseID(e.Lease))
		if ok && err == nil {
			klog.InfoS("Orders: lease acquired.", "key", e.Key)
		}
		r.post(core.LeaseResult{Op: e.Op, Status: leaseKVStatus(ok, err)})
	case core.LeaseRenew:
		err := r.options.Store.Renew(ctx, store.LeaseID(e.Lease))
		r.post(core.LeaseResult{Op: e.Op, Status: leaseKVStatus(true, err)})
	case core.LeaseRevoke:
		err := r.options.Store.Revoke(ctx, store.LeaseID(e.Lease))
		r.post(core.LeaseResult{Op: e.Op, Status: leaseKVStatus(true, err)})
	}
}

// leaseKVStatus maps the result of a lease call to a status.
func leaseKVStatus(ok bool, err error) core.KVStatus {
	if errors.Is(err, store.ErrLeaseLost) {
		return core.KVLeaseLost
	}
	return kvStatus(ok, err)
}

// sendOrder sends an order to an upstream and posts its OrderResult.
func (r *Router) sendOrder(e core.Order) {
	status := r.orders.Send(context.Background(), e)
	klog.InfoS("Orders: order finished.", "upstream", e.Upstream, "order", e.Name, "number", e.FencingToken, "end", status)
	r.post(core.OrderResult{Op: e.Op, Status: status})
}

// readOrders reads the orders that an upstream has carried out and posts the result.
func (r *Router) readOrders(e core.OrderQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), readOrdersTimeout)
	defer cancel()
	r.post(r.orders.ReadOrders(ctx, e))
}
