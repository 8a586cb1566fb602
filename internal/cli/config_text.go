package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/settings"
)

// printCommand prints the canonical text of a configuration.
type printCommand struct{ *console }

// Name returns the command's name.
func (*printCommand) Name() string { return "print" }

// Synopsis describes the command in one line.
func (*printCommand) Synopsis() string { return "print the canonical text of a configuration" }

// Usage returns the command's help text.
func (*printCommand) Usage() string {
	return `print [FILE]:
  Print the canonical text with its digest. Without FILE, or with -, read the
  standard input.
`
}

// SetFlags registers no flags.
func (*printCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *printCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, ok := c.loadSingleArgument(fs)
	if !ok {
		return exitUsage
	}
	return c.printConfig(cfg)
}

// printConfig prints the canonical text of a configuration.
func (c *console) printConfig(cfg *config.Config) subcommands.ExitStatus {
	text, err := cfg.Print()
	if err == nil {
		_, err = c.out.Write(text)
	}
	if err != nil {
		return c.reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// checkCommand reports every fault of a configuration.
type checkCommand struct{ *console }

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis describes the command in one line.
func (*checkCommand) Synopsis() string { return "name every fault of a configuration" }

// Usage returns the command's help text.
func (*checkCommand) Usage() string {
	return `check [FILE]:
  Name every fault with its place, and exit with status 2 if there is one.
  Without FILE, or with -, read the standard input.
`
}

// SetFlags registers no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, ok := c.loadSingleArgument(fs)
	if !ok {
		return exitUsage
	}
	digest, err := cfg.Digest()
	if err != nil {
		return c.reportFailure(err)
	}
	fmt.Fprintf(c.out, "no fault: fleet %s, services %d, organisations %d, digest %s\n",
		cfg.Fleet, len(cfg.Services), len(cfg.Organisations), digest)
	return subcommands.ExitSuccess
}

// diffCommand prints the differences between two configurations.
type diffCommand struct {
	*console
	flags *settings.Set
	store string
}

// Name returns the command's name.
func (*diffCommand) Name() string { return "diff" }

// Synopsis describes the command in one line.
func (*diffCommand) Synopsis() string { return "list what differs between two configurations" }

// Usage returns the command's help text.
func (*diffCommand) Usage() string {
	return `diff OLD NEW, or diff -store IP:port NEW:
  List the changes from OLD, or from what is in force, to NEW. Exit with status 0
  if there is none, 1 if there are some, 2 on faults.
`
}

// SetFlags registers the flags.
func (c *diffCommand) SetFlags(fs *flag.FlagSet) {
	c.flags = settings.New(fs)
	c.flags.Addr(&c.store, "store", storeUsage)
}

// Execute runs the command.
func (c *diffCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(c.env); err != nil {
		return c.reportUsageError(err)
	}
	switch {
	case fs.NArg() == 2:
		before, ok := c.loadConfig(fs.Arg(0))
		after, okAfter := c.loadConfig(fs.Arg(1))
		if !ok || !okAfter {
			return exitUsage
		}
		return c.printDiff(before, after)
	case fs.NArg() == 1 && c.store != "":
		return c.diffWithActive(ctx, fs.Arg(0))
	}
	return c.reportUsageError(errors.New("diff takes two files, or one file with -store"))
}

// diffWithActive compares the configuration in force with that of a file.
func (c *diffCommand) diffWithActive(ctx context.Context, name string) subcommands.ExitStatus {
	after, ok := c.loadConfig(name)
	if !ok {
		return exitUsage
	}
	head, err := configstore.Load(ctx, c.open(c.store))
	if err != nil {
		return c.reportFailure(err)
	}
	before := head.Config
	if before == nil {
		before = &config.Config{}
	}
	return c.printDiff(before, after)
}

// printDiff prints the changes between two configurations. It returns exitFailure if
// there are any.
func (c *console) printDiff(before, after *config.Config) subcommands.ExitStatus {
	changes := config.Diff(before, after)
	for _, change := range changes {
		fmt.Fprintln(c.out, change)
	}
	if len(changes) > 0 {
		return exitFailure
	}
	return subcommands.ExitSuccess
}
