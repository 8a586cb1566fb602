package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// readHeaderTimeout bounds how long a caller may take for a request's header.
const readHeaderTimeout = 10 * time.Second

// serverGroup holds the HTTP servers of the process.
type serverGroup struct {
	servers []*http.Server
	failed  chan error
}

func newServerGroup() *serverGroup { return &serverGroup{failed: make(chan error, 1)} }

// serve serves a listener in the background.
func (g *serverGroup) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	g.servers = append(g.servers, server)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case g.failed <- err:
		default:
		}
	}()
}

// serveControl serves the control port, unless addr is empty. It adds GET /health.
func (g *serverGroup) serveControl(addr string, handler http.Handler) error {
	if addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "control port")
	}
	klog.InfoS("standin: control port is listening", "addr", listener.Addr().String())
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	g.serve(listener, mux)
	return nil
}

// wait blocks until the context ends or a server fails, then closes all servers.
func (g *serverGroup) wait(ctx context.Context) error {
	var err error
	select {
	case <-ctx.Done():
	case err = <-g.failed:
	}
	for _, server := range g.servers {
		_ = server.Close()
	}
	return errors.Wrap(err, "serve")
}

// servedInstance is one of the -count instances of the process.
type servedInstance struct {
	name     string
	listener *netfault.Listener
	handler  http.Handler
	control  http.Handler
}

// controlByName returns a handler that serves the control requests of several
// instances on one port. The query parameter name selects an instance; without it, a
// request goes to all of them and their answers are returned as a JSON array.
func controlByName(instances []servedInstance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(instances) == 1 {
			instances[0].control.ServeHTTP(w, r)
			return
		}
		name := r.URL.Query().Get("name")
		if name == "" {
			broadcastControl(instances, w, r)
			return
		}
		for _, m := range instances {
			if m.name == name {
				m.control.ServeHTTP(w, r)
				return
			}
		}
		http.Error(w, "no instance "+strconv.Quote(name), http.StatusNotFound)
	})
}

// offsetPort adds i to the port of addr. Port 0 stays, so that each listener gets a
// free port.
func offsetPort(addr string, i int) (string, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return "", errors.Wrap(err, "address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", errors.Wrap(err, "port")
	}
	if port > 0 {
		port += i
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// usageError logs an error in the flags or the environment and returns the exit status
// for it.
func usageError(err error) subcommands.ExitStatus {
	klog.ErrorS(err, "standin: invalid flags or environment")
	return subcommands.ExitUsageError
}

// runtimeError logs an error that ends the command and returns the exit status for it.
func runtimeError(err error) subcommands.ExitStatus {
	klog.ErrorS(err, "standin: command failed")
	return subcommands.ExitFailure
}
