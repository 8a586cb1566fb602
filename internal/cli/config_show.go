package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/settings"
)

// showCommand prints the configuration in force.
type showCommand struct {
	*console
	flags *settings.Set
	store string
}

// Name returns the command's name.
func (*showCommand) Name() string { return "show" }

// Synopsis describes the command in one line.
func (*showCommand) Synopsis() string { return "print the configuration in force" }

// Usage returns the command's help text.
func (*showCommand) Usage() string {
	return `show -store IP:port:
  Print the configuration in force on the standard output, and its generation and
  submission on the standard error.
`
}

// SetFlags registers the flags.
func (c *showCommand) SetFlags(fs *flag.FlagSet) {
	c.flags = settings.New(fs)
	c.flags.Addr(&c.store, "store", storeUsage, settings.Required)
}

// Execute runs the command.
func (c *showCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(c.env); err != nil {
		return c.reportUsageError(err)
	}
	if fs.NArg() != 0 {
		return c.reportUsageError(errors.New("show takes no arguments"))
	}
	active, err := configstore.Load(ctx, c.open(c.store))
	if err != nil {
		return c.reportFailure(err)
	}
	if active.Config == nil {
		return c.reportFailure(errors.New("no configuration is in force"))
	}
	digest, err := active.Config.Digest()
	if err != nil {
		return c.reportFailure(err)
	}
	if digest != active.Digest {
		return c.reportFailure(errors.Errorf("generation %d: the head has digest %s, but the configuration has %s",
			active.Generation, active.Digest, digest))
	}
	head, err := configstore.DecodeHead(active.Head)
	if err != nil {
		return c.reportFailure(err)
	}
	fmt.Fprintf(c.err, "generation %d, submission %s\n", head.Generation, head.Submission)
	return c.printConfig(active.Config)
}

// parseGeneration parses a generation number.
func parseGeneration(text string) (uint64, error) {
	return strconv.ParseUint(text, 10, 64)
}

// checkGeneration returns an error if text is neither empty nor a generation number.
func checkGeneration(text string) error {
	if text == "" {
		return nil
	}
	if _, err := parseGeneration(text); err != nil {
		return errors.Errorf("%q is not a whole number", text)
	}
	return nil
}
