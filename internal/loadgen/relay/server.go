package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// CutRequest is the body of POST /cut: the failure domains to isolate. It replaces
// the previous set.
type CutRequest struct {
	Domains []string `json:"domains"`
}

// Run starts the relays of a fleet and serves the control endpoint at the fleet's
// relay address. It returns when ctx is done or when any of them fails.
func Run(ctx context.Context, f *fleet.Fleet) error {
	partition := NewPartition()
	serveErrors := make(chan error, 2*len(f.Routers)+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serve := func(addr string, r *Relay) error {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrap(err, "listen for relay connections")
		}
		go func() { serveErrors <- r.Serve(ctx, listener) }()
		return nil
	}
	for _, router := range f.Routers {
		peers := &Relay{Partition: partition, Target: router.Peer, CallerDomain: DomainOfRouter(f), TargetDomain: router.Domain}
		store := &Relay{Partition: partition, Target: f.Store, CallerDomain: fixedDomain(router.Domain)}
		if err := serve(router.PeerRelay, peers); err != nil {
			return err
		}
		if err := serve(router.StoreRelay, store); err != nil {
			return err
		}
	}
	go func() { serveErrors <- serveControl(ctx, f.Relay, partition) }()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}

// fixedDomain returns a DomainFunc for a relay whose callers are all in the given
// failure domain.
func fixedDomain(domain string) DomainFunc {
	return func(net.Conn) string { return domain }
}

// serveControl serves POST /cut, which changes the partition, until ctx is done.
func serveControl(ctx context.Context, addr string, partition *Partition) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) {
		var cut CutRequest
		if err := json.NewDecoder(r.Body).Decode(&cut); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		partition.Isolate(cut.Domains)
	})
	server := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return errors.Wrap(server.ListenAndServe(), "serve the relay control endpoint")
}
