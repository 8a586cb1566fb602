// Package cli holds the commands of the program jujubeford.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/router"
	"github.com/jujubeford/jujubeford/store"
)

// OpenPlatform returns clients for the store and the instance directory of the
// platform at an address, IP:port.
type OpenPlatform func(addr string) (store.Store, store.Directory)

// RouterCommand returns the command "router", which runs one router as a daemon.
func RouterCommand(open OpenPlatform) subcommands.Command {
	return &routerCommand{openPlatform: open}
}

type routerCommand struct {
	openPlatform   OpenPlatform
	flags          *settings.Set
	options        router.Options
	store          string
	clusterKeyFile string
	policy         string
	callerTLS      tlsFiles
	peerTLS        tlsFiles
}

// Name returns the command's name.
func (*routerCommand) Name() string { return "router" }

// Synopsis describes the command in one line.
func (*routerCommand) Synopsis() string { return "run one instance of the router fleet" }

// Usage returns the command's help text.
func (*routerCommand) Usage() string {
	return `router [flags]:
  Run one router until SIGTERM drains it; a second SIGTERM ends what is left.
  Each flag is also an environment variable: -peer-listen is
  JUJUBEFORD_PEER_LISTEN.
`
}

// SetFlags registers the flags.
func (c *routerCommand) SetFlags(fs *flag.FlagSet) {
	o := &c.options
	o.Listen, o.PeerListen, o.AdminListen = "127.0.0.1:8100", "127.0.0.1:8200", "127.0.0.1:8300"
	o.Routers, o.MaxBody, o.DrainTimeout = 1, router.DefaultMaxBody, router.DefaultDrainTimeout
	c.store, c.policy = "127.0.0.1:8500", string(router.PolicyOwner)

	s := settings.New(fs)
	s.String(&o.Name, "name", "`name` of this instance, unique in the fleet", settings.Required)
	s.String(&o.Domain, "domain", "failure `domain` of this instance, such as ga-east/a", settings.Required)
	s.Addr(&o.Listen, "listen", "`IP:port` for callers", settings.Required)
	s.Addr(&o.PeerListen, "peer-listen", "`IP:port` for other routers", settings.Required)
	s.Addr(&o.AdminListen, "admin-listen", "`IP:port` for operators", settings.Required)
	s.Addr(&o.PeerAdvertise, "peer-advertise", "`IP:port` at which other routers reach this one, if not -peer-listen")
	s.Addr(&o.AdminAdvertise, "admin-advertise", "`IP:port` at which operators reach this one, if not -admin-listen")
	s.Addrs(&o.Peers, "peers", "`addresses` of other routers to start from, divided by commas")
	s.Addr(&c.store, "store", "`IP:port` of the platform's key-value service", settings.Required)
	s.String(&c.clusterKeyFile, "cluster-key", "`file` with the fleet's shared key", settings.Required)
	s.String(&c.callerTLS.cert, "tls-cert", "PEM `file` with the certificate shown to callers; none means plain HTTP")
	s.String(&c.callerTLS.key, "tls-key", "PEM `file` with the key of -tls-cert")
	s.String(&c.peerTLS.cert, "peer-cert", "PEM `file` with the certificate shown to other routers; none means plain TCP")
	s.String(&c.peerTLS.key, "peer-key", "PEM `file` with the key of -peer-cert")
	s.String(&c.peerTLS.ca, "peer-ca", "PEM `file` with the authorities that other routers' certificates come from")
	s.String(&c.policy, "policy", "`policy` of sharing: owner, or baseline to measure against")
	s.Int(&o.Routers, "routers", "`number` of routers that slice the upstreams under -policy baseline", settings.Positive)
	s.Int(&o.MaxBody, "max-body", "largest request body, `bytes`", settings.Positive)
	s.Duration(&o.DrainTimeout, "drain-timeout", "how long a drain may last, `duration`", settings.Positive)
	c.flags = s
}

// Execute runs the router until it has drained.
func (c *routerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.resolveOptions(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	r, err := router.New(c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.Drain()
		<-signals
		r.Expire()
	}()
	if err := r.Run(ctx); err != nil {
		klog.ErrorS(err, "Router: stopped with an error.")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// resolveOptions resolves the flags, reads the files that they name and creates the
// platform's clients.
func (c *routerCommand) resolveOptions() error {
	if err := c.flags.Resolve(os.Getenv); err != nil {
		return err
	}
	key, err := os.ReadFile(c.clusterKeyFile)
	if err != nil {
		return errors.Wrap(err, "cluster-key")
	}
	c.options.ClusterKey = []byte(strings.TrimSpace(string(key)))
	if c.options.TLS, err = c.callerTLS.serverConfig(); err != nil {
		return errors.Wrap(err, "tls-cert")
	}
	if c.options.PeerTLS, err = c.peerTLS.mutualConfig(); err != nil {
		return errors.Wrap(err, "peer-cert")
	}
	c.options.Policy = router.Policy(c.policy)
	c.options.Store, c.options.Directory = c.openPlatform(c.store)
	return nil
}
