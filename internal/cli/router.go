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

	"github.com/jujubeford/jujubeford/platform"
	"github.com/jujubeford/jujubeford/router"
)

// Platform opens the platform at an address, IP:port.
type Platform func(addr string) (platform.Store, platform.Directory)

// RouterCommand is "jujubeford router": the daemon.
func RouterCommand(open Platform) subcommands.Command {
	return &routerCommand{open: open}
}

type routerCommand struct {
	open       Platform
	options    router.Options
	store      string
	clusterKey string
	peers      string
	policy     string
}

// Name is the name of the subcommand.
func (*routerCommand) Name() string { return "router" }

// Synopsis is one line of help.
func (*routerCommand) Synopsis() string { return "run one instance of the router fleet" }

// Usage is the head of the command's help.
func (*routerCommand) Usage() string {
	return "jujubeford router [flags]\n\nRuns one router until SIGTERM drains it; a second SIGTERM ends what is left.\nEach flag is also an environment variable: -peer-listen is JUJUBEFORD_PEER_LISTEN.\n\n"
}

// SetFlags defines the settings.
func (c *routerCommand) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.Name, "name", "", "`name` of this instance, unique in the fleet")
	f.StringVar(&o.Domain, "domain", "", "failure `domain` of this instance, such as ga-east/a")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:8100", "`IP:port` for callers")
	f.StringVar(&o.PeerListen, "peer-listen", "127.0.0.1:8200", "`IP:port` for other routers")
	f.StringVar(&o.AdminListen, "admin-listen", "127.0.0.1:8300", "`IP:port` for operators")
	f.StringVar(&o.PeerAdvertise, "peer-advertise", "", "`IP:port` that other routers reach this one at (default: -peer-listen)")
	f.StringVar(&o.AdminAdvertise, "admin-advertise", "", "`IP:port` that operators reach this one at (default: -admin-listen)")
	f.StringVar(&c.peers, "peers", "", "peer `addresses` of other routers to start from, separated by commas")
	f.StringVar(&c.store, "store", "127.0.0.1:8500", "`IP:port` of the platform's key-value service")
	f.StringVar(&c.clusterKey, "cluster-key", "", "`file` with the fleet's shared key, at least 16 bytes")
	f.StringVar(&c.policy, "policy", string(router.PolicyOwner), "`policy` of sharing: owner, or baseline to measure against")
	f.IntVar(&o.Routers, "routers", 1, "`number` of routers that slice the upstreams under -policy baseline")
	f.Int64Var(&o.MaxBody, "max-body", router.DefaultMaxBody, "largest request body, `bytes`")
	f.DurationVar(&o.DrainTimeout, "drain-timeout", router.DefaultDrainTimeout, "how long a drain may last, `duration`")
}

// Execute runs the router.
func (c *routerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.settings(f); err != nil {
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
		klog.ErrorS(err, "Router: ended.")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// settings completes the options from the environment and the files they name.
func (c *routerCommand) settings(f *flag.FlagSet) error {
	if err := fromEnvironment(f); err != nil {
		return err
	}
	if c.clusterKey != "" {
		key, err := os.ReadFile(c.clusterKey)
		if err != nil {
			return errors.Wrap(err, "cluster-key")
		}
		c.options.ClusterKey = []byte(strings.TrimSpace(string(key)))
	}
	if c.peers != "" {
		c.options.Peers = strings.Split(c.peers, ",")
	}
	c.options.Policy = router.Policy(c.policy)
	c.options.Store, c.options.Directory = c.open(c.store)
	return nil
}

// fromEnvironment sets the flags that were not given from the environment.
func fromEnvironment(f *flag.FlagSet) error {
	given := make(map[string]bool)
	f.Visit(func(x *flag.Flag) { given[x.Name] = true })
	var faults []string
	f.VisitAll(func(x *flag.Flag) {
		name := "JUJUBEFORD_" + strings.ToUpper(strings.ReplaceAll(x.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || given[x.Name] {
			return
		}
		if err := f.Set(x.Name, value); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %v", name, err))
		}
	})
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	return nil
}
