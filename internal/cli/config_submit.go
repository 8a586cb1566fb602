package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/platform"
)

const storeUsage = "address of the key-value service as `IP:port`"

// submitCommand puts a configuration in force.
type submitCommand struct {
	*console
	set        *settings.Set
	store      string
	base       string
	submission string
	operator   string
	admin      string
	wait       time.Duration
}

// Name is the command's name.
func (*submitCommand) Name() string { return "submit" }

// Synopsis is the command in one line.
func (*submitCommand) Synopsis() string { return "put a configuration in force" }

// Usage is the command's help.
func (*submitCommand) Usage() string {
	return `submit -store IP:port [flags] FILE:
  Put the configuration of FILE, or of the standard input for -, in force as the
  next generation. Exit with status 0 if it is accepted, 1 if not, 2 on faults,
  and 3 if no answer came; then the same command with -submission settles it.
`
}

// SetFlags registers the flags.
func (c *submitCommand) SetFlags(fs *flag.FlagSet) {
	c.set = settings.New(fs)
	c.set.Addr(&c.store, "store", storeUsage, settings.Required)
	c.set.String(&c.base, "base", "`generation` that FILE is based on, 0 for none; the one in force if not set", wholeNumber)
	c.set.String(&c.submission, "submission", "`name` of the submission, to settle one that had no answer")
	c.operator = "operator"
	c.set.String(&c.operator, "operator", "`name` that starts the name of the submission", settings.Required)
	c.set.Addr(&c.admin, "admin", "address of a router for operators as `IP:port`, to tell where it is in force")
	c.set.Duration(&c.wait, "wait", "longest `duration` to wait until it is in force at all routers; needs -admin")
	c.set.Check(func() error {
		if c.wait > 0 && c.admin == "" {
			return errors.New("-wait needs -admin")
		}
		return nil
	})
}

// Execute runs the command.
func (c *submitCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.set.Resolve(c.env); err != nil {
		return c.refuse(err)
	}
	if fs.NArg() != 1 {
		return c.refuse(errors.New("name one file, or - for the standard input"))
	}
	cfg, ok := c.load(fs.Arg(0))
	if !ok {
		return exitUsage
	}
	store := c.open(c.store)
	before, err := configstore.Load(ctx, store)
	if err != nil {
		return c.fail(errors.WithMessage(err, "nothing was changed"))
	}
	result, err := configstore.Submit(ctx, store, cfg, c.baseGeneration(before), c.submissionName())
	if err != nil {
		return c.notAccepted(err)
	}
	return c.accepted(ctx, before, cfg, result)
}

// baseGeneration is the generation that the submission replaces.
func (c *submitCommand) baseGeneration(before core.ConfigHead) uint64 {
	if c.base == "" {
		return before.Generation
	}
	base, _ := parseGeneration(c.base)
	return base
}

// submissionName names the submission, by chance if no name was given.
func (c *submitCommand) submissionName() string {
	if c.submission == "" {
		var random [8]byte
		rand.Read(random[:])
		c.submission = c.operator + "-" + hex.EncodeToString(random[:])
	}
	return c.submission
}

// notAccepted reports why a submission was not accepted.
func (c *submitCommand) notAccepted(err error) subcommands.ExitStatus {
	var conflict *configstore.ConflictError
	switch {
	case errors.Is(err, configstore.ErrUnsettled):
		fmt.Fprintf(c.err, "%v\nrun the same command with -submission %s to settle it\n", err, c.submission)
		return exitUnsettled
	case errors.As(err, &conflict):
		fmt.Fprintf(c.err, "not accepted: %v\n", err)
		return exitFailure
	case errors.Is(err, platform.ErrUnavailable):
		fmt.Fprintf(c.err, "not accepted, the key-value service is unavailable: %v\n", err)
		return exitFailure
	}
	return c.fail(errors.WithMessage(err, "not accepted"))
}

// accepted reports the generation, its changes and where it is in force.
func (c *submitCommand) accepted(ctx context.Context, before core.ConfigHead, cfg *config.Config,
	result configstore.Result) subcommands.ExitStatus {
	if result.Unchanged {
		fmt.Fprintf(c.out, "unchanged: generation %d, %s\n", result.Generation, result.Digest)
	} else {
		fmt.Fprintf(c.out, "accepted: generation %d, %s, submission %s\n",
			result.Generation, result.Digest, result.Submission)
	}
	if before.Config != nil && before.Generation < result.Generation {
		for _, change := range config.Diff(before.Config, cfg) {
			fmt.Fprintf(c.out, "  %s\n", change)
		}
	}
	if c.admin == "" {
		return subcommands.ExitSuccess
	}
	return c.report(ctx, result.Generation)
}

// report tells where the generation is in force, waiting for all routers if it
// was asked for.
func (c *submitCommand) report(ctx context.Context, generation uint64) subcommands.ExitStatus {
	client := newAdminClient(c.admin)
	spread, err := client.awaitGeneration(ctx, generation, c.wait)
	if err != nil {
		return c.fail(errors.WithMessage(err, "accepted, but it is not known where it is in force"))
	}
	fmt.Fprintln(c.out, spread)
	if c.wait > 0 && !spread.everywhere() {
		return exitFailure
	}
	return subcommands.ExitSuccess
}
