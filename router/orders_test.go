package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/orders"
	"github.com/jujubeford/jujubeford/internal/standin/kv"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
	"github.com/jujubeford/jujubeford/store/consul"
)

// newLeaseRouter returns a router that can only make store calls, and the key-value
// test server that it calls over HTTP.
func newLeaseRouter(t *testing.T) (*Router, *kv.Server) {
	t.Helper()
	listener, err := netfault.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := kv.New(kv.Options{}, listener)
	web := &http.Server{Handler: server.Handler()}
	go func() { _ = web.Serve(listener) }()
	client := consul.New(consul.Options{
		Addr: listener.Addr().String(), Timeout: 200 * time.Millisecond, WaitMargin: time.Second,
	})
	t.Cleanup(func() {
		client.Close()
		_ = web.Close()
	})
	return &Router{
		options:    Options{Store: client},
		events:     make(chan core.Event, 1),
		loopDone:   make(chan struct{}),
		storeSlots: make(chan struct{}, 1),
	}, server
}

// TestLeaseCalls checks the status that each lease effect returns when two leases
// compete for a key and the store fails in different ways. The steps depend on each
// other.
func TestLeaseCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	r, server := newLeaseRouter(t)
	call := func(e core.Effect) core.LeaseResult {
		r.runLeaseEffect(e)
		return (<-r.events).(core.LeaseResult)
	}
	grant := func() core.LeaseID {
		made := call(core.LeaseGrant{Op: 1, TTL: orders.LeaseTTL})
		g.Expect(made.Op).To(gomega.Equal(core.OpID(1)))
		g.Expect(made.Status).To(gomega.Equal(core.KVOK))
		g.Expect(made.Lease).NotTo(gomega.BeEmpty())
		return made.Lease
	}
	first, second := grant(), grant()
	acquire := func(lease core.LeaseID) core.Effect {
		return core.LeaseAcquire{Op: 2, Lease: lease, Key: orders.LeaseKey("a"), Value: []byte("r1.1")}
	}
	for _, c := range []struct {
		what   string
		effect core.Effect
		faults kv.Faults
		want   core.KVStatus
	}{
		{"the first acquires", acquire(first), kv.Faults{}, core.KVOK},
		{"the second finds the key held", acquire(second), kv.Faults{}, core.KVConflict},
		{"the first renews", core.LeaseRenew{Op: 2, Lease: first}, kv.Faults{}, core.KVOK},
		{"the answer to acquiring again is lost", acquire(first), kv.Faults{LoseAnswers: 1}, core.KVUnknown},
		{"the service refuses connections", acquire(first), kv.Faults{Outage: kv.OutageRefuse}, core.KVUnavailable},
		{"the service does not answer", acquire(first), kv.Faults{Outage: kv.OutageSilent}, core.KVUnknown},
		{"the first revokes", core.LeaseRevoke{Op: 2, Lease: first}, kv.Faults{}, core.KVOK},
		{"the first lease is lost", core.LeaseRenew{Op: 2, Lease: first}, kv.Faults{}, core.KVLeaseLost},
		{"the first cannot acquire again", acquire(first), kv.Faults{}, core.KVLeaseLost},
		{"the second acquires", acquire(second), kv.Faults{}, core.KVOK},
	} {
		g.Expect(server.SetFaults(c.faults)).To(gomega.Succeed())
		g.Expect(call(c.effect)).To(gomega.Equal(core.LeaseResult{Op: 2, Status: c.want}), c.what)
	}
}
