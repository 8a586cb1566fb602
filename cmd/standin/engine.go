package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/standin/engine"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// crashExitStatus is the exit status of the process when an engine crashes.
const crashExitStatus = 3

// engineCommand runs stand-ins for model engines.
type engineCommand struct {
	instanceFlags
	options engine.Options
	poison  string
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run model engine stand-ins" }
func (*engineCommand) Usage() string {
	return "standin engine [flags]\nEach flag is also an environment variable JUJUBEFORD_STANDIN_<FLAG>.\n"
}

// SetFlags declares the flags.
func (c *engineCommand) SetFlags(flags *flag.FlagSet) {
	c.instanceFlags.register(flags, "engine")
	o := &c.options
	flags.IntVar(&o.Slots, "slots", 8, "streams that decode together before all become slower")
	flags.DurationVar(&o.TokenTime, "token-time", 20*time.Millisecond, "time of a token on an idle engine")
	flags.Float64Var(&o.LoadFactor, "load-factor", 0.5, "by how much a full batch is slower, as a part of -token-time")
	flags.DurationVar(&o.PrefillTime, "prefill-time", 200*time.Microsecond, "time of a prompt token that is not cached")
	flags.IntVar(&o.CacheBlocks, "cache-blocks", 256, "size of the prefix cache, in blocks of 16 tokens")
	flags.DurationVar(&o.LoadLag, "load-lag", 2*time.Second, "age of the load report")
	flags.DurationVar(&o.StreamGrace, "grace", 5*time.Second, "time that a stream lives without a connection")
	flags.BoolVar(&o.CheckFencing, "check-fencing", false, "refuse orders with an older fencing number")
	flags.DurationVar(&o.RestartAfter, "restart-after", 0, "time away after a crash; with 0 the process exits with status 3")
	flags.StringVar(&c.poison, "poison", "", "text in a request that crashes the engine; none if empty")
}

// Execute runs until SIGTERM.
func (c *engineCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnv(flags); err != nil {
		return usageError(err)
	}
	if err := c.validate(); err != nil {
		return usageError(err)
	}
	return c.run(ctx, c.newHandlers)
}

func (c *engineCommand) validate() error {
	var errs []error
	if err := c.instanceFlags.validate(); err != nil {
		errs = append(errs, err)
	}
	if c.options.Slots < 1 {
		errs = append(errs, errors.New("-slots must be at least 1"))
	}
	if c.options.TokenTime <= 0 {
		errs = append(errs, errors.New("-token-time must be positive"))
	}
	if c.options.LoadFactor < 0 {
		errs = append(errs, errors.New("-load-factor must not be negative"))
	}
	if c.options.PrefillTime < 0 || c.options.LoadLag < 0 || c.options.StreamGrace < 0 || c.options.RestartAfter < 0 {
		errs = append(errs, errors.New("-prefill-time, -load-lag, -grace and -restart-after must not be negative"))
	}
	if c.options.CacheBlocks < 0 {
		errs = append(errs, errors.New("-cache-blocks must not be negative"))
	}
	return joinErrors(errs)
}

func (c *engineCommand) newHandlers(
	name string, listener *netfault.Listener, onLeaving func(bool),
) (handler, control http.Handler) {
	options := c.options
	options.Name = name
	options.OnLeaving = onLeaving
	if options.RestartAfter == 0 {
		options.Exit = exitAsCrashed
	}
	e := engine.New(options, listener)
	if err := e.SetFaults(engine.Faults{Poison: c.poison}); err != nil {
		panic(err) // cannot happen: these faults do not change whether the listener refuses connections
	}
	return e.Handler(), e.Control()
}

// exitAsCrashed ends the process with crashExitStatus.
func exitAsCrashed() {
	klog.InfoS("standin: engine crashed; exiting")
	klog.Flush()
	os.Exit(crashExitStatus)
}
