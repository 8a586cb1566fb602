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

// serverGroup is the servers of one process.
type serverGroup struct {
	servers []*http.Server
	failed  chan error
}

func newServerGroup() *serverGroup { return &serverGroup{failed: make(chan error, 1)} }

// serve answers on a listener in the background.
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

// serveControl answers on the control address, if there is one.
func (g *serverGroup) serveControl(addr string, handler http.Handler) error {
	if addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "control port")
	}
	klog.InfoS("standin: control port is open", "addr", listener.Addr().String())
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	g.serve(listener, mux)
	return nil
}

// wait runs until the context ends or a server fails, then stops all.
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

// servedInstance is one instance among the -count of a process.
type servedInstance struct {
	name     string
	listener *netfault.Listener
	handler  http.Handler
	control  http.Handler
}

// controlByName serves the control ports of several instances on one: ?name=NAME
// chooses an instance, without it a call goes to all, and the answers follow
// each other.
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

// offsetPort is addr with its port moved up by i; port 0 stays.
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

// usageError reports a fault of the settings.
func usageError(err error) subcommands.ExitStatus {
	klog.ErrorS(err, "standin: bad settings")
	return subcommands.ExitUsageError
}

// runtimeError reports a fault while running.
func runtimeError(err error) subcommands.ExitStatus {
	klog.ErrorS(err, "standin: failed")
	return subcommands.ExitFailure
}
