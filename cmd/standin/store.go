package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/platform/standin/revkv"
)

// storeCommand runs the stand-in for the users' metadata store.
type storeCommand struct{ listen, control string }

func (*storeCommand) Name() string     { return "store" }
func (*storeCommand) Synopsis() string { return "run the stand-in for the users' metadata store" }
func (*storeCommand) Usage() string {
	return "standin store [flags]\nEach flag is also an environment variable JUJUBEFORD_STANDIN_<FLAG>.\n"
}

// SetFlags declares the flags.
func (c *storeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:8600", "IP:port for callers")
	flags.StringVar(&c.control, "control", "", "IP:port of the control port; none if empty")
}

// Execute runs until SIGTERM.
func (c *storeCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnv(flags); err != nil {
		return usageError(err)
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return runtimeError(errors.Wrap(err, "-listen"))
	}
	server := revkv.New()
	servers := newServerGroup()
	servers.serve(listener, server.Handler())
	if err := servers.serveControl(c.control, storeControl(server)); err != nil {
		return runtimeError(err)
	}
	klog.InfoS("standin: store is listening", "addr", listener.Addr().String())
	if err := servers.wait(ctx); err != nil {
		return runtimeError(err)
	}
	return subcommands.ExitSuccess
}

// storeControl returns the control handler of the store. It writes and removes keys as
// an operator does, compacts the history, copies the store and restores it, and injects faults.
func storeControl(s *revkv.Server) http.Handler {
	faults := map[string]revkv.Fault{
		"none": revkv.None, "busy": revkv.Busy, "limited": revkv.RateLimited, "reset": revkv.Reset,
		"silent": revkv.NoResponse, "lose": revkv.DropResponses,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /keys", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Put(r.URL.Query().Get("key"), value)
	})
	mux.HandleFunc("DELETE /keys", func(_ http.ResponseWriter, r *http.Request) { s.Remove(r.URL.Query().Get("key")) })
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
	var copied atomic.Pointer[revkv.Snapshot]
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { copied.Store(s.Snapshot()) })
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, _ *http.Request) {
		c := copied.Load()
		if c == nil {
			http.Error(w, "there is no copy to restore", http.StatusConflict)
			return
		}
		s.Restore(c)
	})
	mux.HandleFunc("POST /fault/{name}", func(w http.ResponseWriter, r *http.Request) {
		fault, ok := faults[r.PathValue("name")]
		if !ok {
			http.Error(w, "no such fault", http.StatusNotFound)
			return
		}
		s.SetFault(fault)
	})
	return mux
}
