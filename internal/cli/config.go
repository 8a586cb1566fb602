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
	// exitFailure: the command failed and changed nothing. For diff: there are
	// differences.
	exitFailure = subcommands.ExitFailure
	// exitUsage: flags, arguments or the configuration are invalid.
	exitUsage = subcommands.ExitUsageError
	// exitUnknown: it is not known whether the configuration is accepted.
	exitUnknown = subcommands.ExitStatus(3)
	// exitPropagating: the configuration is accepted, but not known to be in force at
	// all routers.
	exitPropagating = subcommands.ExitStatus(4)
)

// OpenStore returns a client of the key-value service at an address.
type OpenStore func(addr string) store.Store

// ConfigCommand returns the command "config" with its subcommands.
func ConfigCommand(open func(addr string) store.Store) subcommands.Command {
	return &configCommand{&console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv, open: open}}
}

// console holds what commands share and tests replace: streams, environment and
// store.
type console struct {
	in       io.Reader
	out, err io.Writer
	env      func(string) string
	open     OpenStore
}

// configCommand dispatches to the subcommands of "config".
type configCommand struct{ *console }

// Name returns the command's name.
func (*configCommand) Name() string { return "config" }

// Synopsis describes the command in one line.
func (*configCommand) Synopsis() string {
	return "print, check, compare, submit or show a configuration"
}

// Usage returns the command's help text.
func (*configCommand) Usage() string {
	return `config print|check|diff|submit|show [flags] [arguments]:
  Work with the configuration of a fleet. "config help" lists the subcommands.
`
}

// SetFlags registers no flags; the subcommands have their own.
func (*configCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand named by the arguments.
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

// reportFailure prints an error and returns exitFailure.
func (c *console) reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(c.err, err)
	return exitFailure
}

// reportUsageError prints an error in the flags, the arguments or the configuration
// and returns exitUsage.
func (c *console) reportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(c.err, err)
	return exitUsage
}

// standardInput is the argument that stands for the standard input.
const standardInput = "-"

// readInput reads a file or the standard input. It stops one byte above
// config.MaxSize, which is enough for config.Parse to reject an oversized text.
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

// loadConfig reads and parses a configuration. If it returns false, it has printed
// all faults, each with the file and the position.
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

// loadSingleArgument loads the configuration that the only argument names, or the
// standard input if there is no argument.
func (c *console) loadSingleArgument(fs *flag.FlagSet) (*config.Config, bool) {
	switch fs.NArg() {
	case 0:
		return c.loadConfig(standardInput)
	case 1:
		return c.loadConfig(fs.Arg(0))
	}
	c.reportUsageError(errors.Errorf("got %d files, want at most one", fs.NArg()))
	return nil, false
}
