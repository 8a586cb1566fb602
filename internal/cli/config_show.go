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

// showCommand prints what is in force.
type showCommand struct {
	*console
	set   *settings.Set
	store string
}

// Name is the command's name.
func (*showCommand) Name() string { return "show" }

// Synopsis is the command in one line.
func (*showCommand) Synopsis() string { return "print the configuration in force" }

// Usage is the command's help.
func (*showCommand) Usage() string {
	return `show -store IP:port:
  Print the configuration in force on the standard output, and its generation and
  submission on the standard error.
`
}

// SetFlags registers the flags.
func (c *showCommand) SetFlags(fs *flag.FlagSet) {
	c.set = settings.New(fs)
	c.set.Addr(&c.store, "store", storeUsage, settings.Required)
}

// Execute runs the command.
func (c *showCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.set.Resolve(c.env); err != nil {
		return c.refuse(err)
	}
	if fs.NArg() != 0 {
		return c.refuse(errors.New("show takes no argument"))
	}
	force, err := configstore.Load(ctx, c.open(c.store))
	if err != nil {
		return c.fail(err)
	}
	if force.Config == nil {
		return c.fail(errors.New("no configuration is in force"))
	}
	digest, err := force.Config.Digest()
	if err != nil {
		return c.fail(err)
	}
	if digest != force.Digest {
		return c.fail(errors.Errorf("generation %d: the head says %s, the configuration has %s",
			force.Generation, force.Digest, digest))
	}
	head, err := configstore.DecodeHead(force.Head)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.err, "generation %d, submission %s\n", head.Generation, head.Submission)
	return c.write(force.Config)
}

// parseGeneration reads a generation.
func parseGeneration(text string) (uint64, error) {
	return strconv.ParseUint(text, 10, 64)
}

// wholeNumber refuses what is neither empty nor a generation.
func wholeNumber(text string) error {
	if text == "" {
		return nil
	}
	if _, err := parseGeneration(text); err != nil {
		return errors.Errorf("%q is not a whole number", text)
	}
	return nil
}
