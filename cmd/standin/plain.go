package main

import (
	"context"
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/standin/netfault"
	"github.com/jujubeford/jujubeford/internal/standin/plain"
)

// plainCommand runs stand-ins for plain services.
type plainCommand struct {
	instanceFlags
	options plain.Options
}

func (*plainCommand) Name() string     { return "plain" }
func (*plainCommand) Synopsis() string { return "run plain service stand-ins" }
func (*plainCommand) Usage() string {
	return "standin plain [flags]\nEach flag is also an environment variable JUJUBEFORD_STANDIN_<FLAG>.\n"
}

// SetFlags declares the flags.
func (c *plainCommand) SetFlags(flags *flag.FlagSet) {
	c.instanceFlags.register(flags, "plain")
	flags.DurationVar(&c.options.Work, "work", 10*time.Millisecond, "service time of a request without an X-Work-Ms header")
	flags.IntVar(&c.options.Slots, "slots", 0, "requests that run at a time, others wait; 0 is no bound")
}

// Execute runs until SIGTERM.
func (c *plainCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnv(flags); err != nil {
		return usageError(err)
	}
	if err := c.validate(); err != nil {
		return usageError(err)
	}
	return c.run(ctx, c.newHandlers)
}

func (c *plainCommand) validate() error {
	var errs []error
	if err := c.instanceFlags.validate(); err != nil {
		errs = append(errs, err)
	}
	if c.options.Work < 0 {
		errs = append(errs, errors.New("-work must not be negative"))
	}
	if c.options.Slots < 0 {
		errs = append(errs, errors.New("-slots must not be negative"))
	}
	return joinErrors(errs)
}

func (c *plainCommand) newHandlers(
	name string, listener *netfault.Listener, onLeaving func(bool),
) (handler, control http.Handler) {
	options := c.options
	options.Name = name
	options.OnLeaving = onLeaving
	s := plain.New(options, listener)
	return s.Handler(), s.Control()
}

// joinErrors returns one error with the texts of all errors, nil if there are none.
func joinErrors(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}
