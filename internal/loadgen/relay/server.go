package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// Order is the body of POST /cut: the failure domains that are cut off from now
// on.
type Order struct {
	Domains []string `json:"domains"`
}

// Run carries the connections of a fleet and takes orders at its relay address
// until the context ends.
func Run(ctx context.Context, f *fleet.Fleet) error {
	gate := NewGate()
	failed := make(chan error, 2*len(f.Routers)+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serve := func(addr string, r *Relay) error {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		go func() { failed <- r.Serve(ctx, listener) }()
		return nil
	}
	for _, router := range f.Routers {
		peers := &Relay{Gate: gate, Target: router.Peer, From: DomainOfRouter(f), To: router.Domain}
		store := &Relay{Gate: gate, Target: f.Store, From: fixed(router.Domain)}
		if err := serve(router.PeerRelay, peers); err != nil {
			return err
		}
		if err := serve(router.StoreRelay, store); err != nil {
			return err
		}
	}
	go func() { failed <- takeOrders(ctx, f.Relay, gate) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// fixed is a caller whose domain is known from the address that it calls.
func fixed(domain string) Domain {
	return func(net.Conn) string { return domain }
}

func takeOrders(ctx context.Context, addr string, gate *Gate) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) {
		var order Order
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		gate.Cut(order.Domains)
	})
	server := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return errors.Wrap(server.ListenAndServe(), "take orders")
}
