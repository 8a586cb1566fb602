// Package cli holds the commands of the program jujubeford.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

// The exit statuses beside success.
const (
	// exitFailure: the command could not do what it was asked for; nothing was
	// changed. For diff: there are differences.
	exitFailure = subcommands.ExitFailure
	// exitUsage: flags, arguments or the configuration have faults.
	exitUsage = subcommands.ExitUsageError
	// exitUnsettled: it is not known whether the configuration is accepted.
	exitUnknown = subcommands.ExitStatus(3)
	// exitSpreading: the configuration is accepted, but it is not known to be in
	// force at all routers.
	exitPropagating = subcommands.ExitStatus(4)
)

// OpenStore opens the key-value service at an address.
type OpenStore func(addr string) store.Store

// ConfigCommand is the command "config" with its subcommands.
func ConfigCommand(open func(addr string) store.Store) subcommands.Command {
	return &configCommand{&console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv, open: open}}
}

// console is what commands share: streams, environment and store.
type console struct {
	in       io.Reader
	out, err io.Writer
	env      func(string) string
	open     OpenStore
}

// configCommand dispatches to the subcommands of "config".
type configCommand struct{ *console }

// Name is the command's name.
func (*configCommand) Name() string { return "config" }

// Synopsis is the command in one line.
func (*configCommand) Synopsis() string {
	return "print, check, compare, submit or show a configuration"
}

// Usage is the command's help.
func (*configCommand) Usage() string {
	return `config print|check|diff|submit|show [flags] [arguments]:
  Work with the configuration of a fleet. "config help" lists the subcommands.
`
}

// SetFlags registers no flag: the subcommands have their own.
func (*configCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand that the arguments name.
func (c *configCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(fs, "jujubeford config")
	commander.Output, commander.Error = c.out, c.err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&printCommand{c.console}, "")
	commander.Register(&checkCommand{c.console}, "")
	commander.Register(&diffCommand{console: c.console}, "")
	commander.Register(&submitCommand{console: c.console}, "")
	commander.Register(&showCommand{console: c.console}, "")
	return commander.Execute(ctx, args...)
}

// reportFailure reports an error and returns the exit status for it.
func (c *console) reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(c.err, err)
	return exitFailure
}

// reportUsageError reports faults of the flags or arguments.
func (c *console) reportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(c.err, err)
	return exitUsage
}

// standardInput names the standard input among the arguments.
const standardInput = "-"

// readInput reads a file, or the standard input, at most one byte above the limit,
// which config.Parse then refuses.
func (c *console) readInput(name string) ([]byte, error) {
	in := c.in
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return io.ReadAll(io.LimitReader(in, config.MaxSize+1))
}

// loadConfig reads and parses a configuration. When it returns false, the faults are
// already reported, each with the file and the place.
func (c *console) loadConfig(name string) (*config.Config, bool) {
	text, err := c.readInput(name)
	if err != nil {
		c.reportUsageError(err)
		return nil, false
	}
	cfg, err := config.Parse(text)
	if err == nil {
		return cfg, true
	}
	if name == standardInput {
		name = "standard input"
	}
	var faults config.Faults
	if !errors.As(err, &faults) {
		c.reportUsageError(errors.WithMessage(err, name))
		return nil, false
	}
	for _, fault := range faults {
		fmt.Fprintf(c.err, "%s: %s\n", name, fault)
	}
	return nil, false
}

// loadSingleArgument loads the only argument, or the standard input if there is none.
func (c *console) loadSingleArgument(fs *flag.FlagSet) (*config.Config, bool) {
	switch fs.NArg() {
	case 0:
		return c.loadConfig(standardInput)
	case 1:
		return c.loadConfig(fs.Arg(0))
	}
	c.reportUsageError(errors.Errorf("%d files, at most one fits", fs.NArg()))
	return nil, false
}
