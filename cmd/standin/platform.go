package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/standin/kv"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// platformCommand runs the stand-in for the platform.
type platformCommand struct {
	listen  string
	control string
	options kv.Options
}

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run the platform stand-in: key-value service and instance list"
}
func (*platformCommand) Usage() string {
	return "standin platform [flags]\nEach flag is also an environment variable JUJUBEFORD_STANDIN_<FLAG>.\n"
}

// SetFlags declares the flags.
func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:8500", "IP:port for callers")
	flags.StringVar(&c.control, "control", "", "IP:port of the control port; none if empty")
	flags.Float64Var(&c.options.ReadRate, "read-rate", 2000, "reads a second; 0 is no bound")
	flags.Float64Var(&c.options.WriteRate, "write-rate", 400, "writes a second; 0 is no bound")
	flags.DurationVar(&c.options.ListLag, "list-lag", time.Second, "how late the instance list shows a change")
	flags.DurationVar(&c.options.MinTTL, "min-ttl", 10*time.Second, "shortest session")
	flags.DurationVar(&c.options.MaxTTL, "max-ttl", 24*time.Hour, "longest session")
}

// Execute runs until SIGTERM.
func (c *platformCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnv(flags); err != nil {
		return usageError(err)
	}
	if err := c.validate(); err != nil {
		return usageError(err)
	}
	listener, err := netfault.Listen(c.listen)
	if err != nil {
		return runtimeError(err)
	}
	server := kv.New(c.options, listener)
	servers := newServerGroup()
	servers.serve(listener, server.Handler())
	if err := servers.serveControl(c.control, server.Control()); err != nil {
		return runtimeError(err)
	}
	klog.InfoS("standin: platform is listening", "addr", listener.Addr().String())
	if err := servers.wait(ctx); err != nil {
		return runtimeError(err)
	}
	return subcommands.ExitSuccess
}

func (c *platformCommand) validate() error {
	var errs []error
	if _, err := offsetPort(c.listen, 0); err != nil {
		errs = append(errs, errors.Wrap(err, "-listen"))
	}
	if c.options.ReadRate < 0 || c.options.WriteRate < 0 {
		errs = append(errs, errors.New("-read-rate and -write-rate must not be negative"))
	}
	if c.options.ListLag < 0 || c.options.MinTTL < 0 || c.options.MaxTTL < c.options.MinTTL {
		errs = append(errs, errors.New("-list-lag and -min-ttl must not be negative, and -max-ttl must be at least -min-ttl"))
	}
	return joinErrors(errs)
}
