package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/settings"
)

const storeUsage = "address of the key-value service as `IP:port`"

// submitCommand submits a configuration, to be in force as the next generation.
type submitCommand struct {
	*console
	flags      *settings.Set
	store      string
	base       string
	submission string
	operator   string
	admin      string
	wait       time.Duration
}

// Name returns the command's name.
func (*submitCommand) Name() string { return "submit" }

// Synopsis describes the command in one line.
func (*submitCommand) Synopsis() string { return "put a configuration in force" }

// Usage returns the command's help text.
func (*submitCommand) Usage() string {
	return `submit -store IP:port [flags] FILE:
  Put the configuration of FILE, or of the standard input for -, in force as the
  next generation. Exit with status 0 if it is accepted, 1 if not, 2 on faults,
  3 if it is not known (the same command with the printed -base and -submission
  settles it), and 4 if it is accepted but not known to be in force everywhere.
`
}

// SetFlags registers the flags.
func (c *submitCommand) SetFlags(fs *flag.FlagSet) {
	c.flags = settings.New(fs)
	c.flags.Addr(&c.store, "store", storeUsage, settings.Required)
	c.flags.String(&c.base, "base", "`generation` that FILE is based on, 0 for none; the one in force if not set", checkGeneration)
	c.flags.String(&c.submission, "submission", "`name` of the submission, to settle one that had no answer; needs -base")
	c.operator = "operator"
	c.flags.String(&c.operator, "operator", "`name` that starts the name of the submission", settings.Required)
	c.flags.Addr(&c.admin, "admin", "address of a router for operators as `IP:port`, to tell where it is in force")
	c.flags.Duration(&c.wait, "wait", "longest `duration` to wait until it is in force at all routers; needs -admin")
	c.flags.Check(c.checkFlags)
}

// checkFlags returns an error if a flag is set without another one that it needs.
func (c *submitCommand) checkFlags() error {
	if c.wait > 0 && c.admin == "" {
		return errors.New("-wait needs -admin")
	}
	if c.submission != "" && c.base == "" {
		return errors.New("-submission needs -base")
	}
	return nil
}

// Execute runs the command.
func (c *submitCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(c.env); err != nil {
		return c.reportUsageError(err)
	}
	if fs.NArg() != 1 {
		return c.reportUsageError(errors.New("submit takes one argument: a file, or - for the standard input"))
	}
	cfg, ok := c.loadConfig(fs.Arg(0))
	if !ok {
		return exitUsage
	}
	repeated := c.submission != ""
	store := c.open(c.store)
	active, err := configstore.Load(ctx, store)
	if err != nil {
		return c.reportNotAccepted(errors.WithMessage(err, "nothing was written"), repeated)
	}
	c.setDefaults(active)
	base, _ := parseGeneration(c.base)
	result, err := configstore.Submit(ctx, store, cfg, base, c.submission)
	if err != nil {
		return c.reportNotAccepted(err, repeated)
	}
	return c.reportAccepted(ctx, active, cfg, result)
}

// setDefaults sets the base to the active generation, and the name of the submission
// to a random one, if they are not set.
func (c *submitCommand) setDefaults(active core.ConfigHead) {
	if c.base == "" {
		c.base = strconv.FormatUint(active.Generation, 10)
	}
	if c.submission == "" {
		var random [8]byte
		rand.Read(random[:])
		c.submission = c.operator + "-" + hex.EncodeToString(random[:])
	}
}

// reportNotAccepted reports the error of a submission. The outcome is unknown if the
// error says so, and for a repeated submission, since an earlier attempt may have been
// accepted; a conflict or a reused name shows that none was.
func (c *submitCommand) reportNotAccepted(err error, repeated bool) subcommands.ExitStatus {
	var conflict *configstore.ConflictError
	final := errors.As(err, &conflict) || errors.Is(err, configstore.ErrSubmissionReused)
	if errors.Is(err, configstore.ErrOutcomeUnknown) || repeated && !final {
		fmt.Fprintf(c.err, "not known whether accepted: %v\nsettle it by the same command with -base %s -submission %s\n",
			err, c.base, c.submission)
		return exitUnknown
	}
	return c.reportFailure(errors.WithMessage(err, "not accepted"))
}

// reportAccepted reports the generation and its changes and, if -admin is set, where
// it is in force.
func (c *submitCommand) reportAccepted(ctx context.Context, active core.ConfigHead, cfg *config.Config,
	result configstore.Result) subcommands.ExitStatus {
	if result.Unchanged {
		fmt.Fprintf(c.out, "unchanged: generation %d, %s\n", result.Generation, result.Digest)
	} else {
		fmt.Fprintf(c.out, "accepted: generation %d, %s, submission %s\n",
			result.Generation, result.Digest, result.Submission)
	}
	if active.Config != nil && active.Generation < result.Generation {
		for _, change := range config.Diff(active.Config, cfg) {
			fmt.Fprintf(c.out, "  %s\n", change)
		}
	}
	if c.admin == "" {
		return subcommands.ExitSuccess
	}
	return c.reportPropagation(ctx, result.Generation)
}

// reportPropagation reports at which routers the generation is in force. With -wait it
// first waits until it is in force at all of them.
func (c *submitCommand) reportPropagation(ctx context.Context, generation uint64) subcommands.ExitStatus {
	client := newAdminClient(c.admin)
	found, err := client.awaitGeneration(ctx, generation, c.wait)
	if err != nil {
		fmt.Fprintf(c.err, "accepted, but it is not known where it is in force: %v\n", err)
		return exitPropagating
	}
	fmt.Fprintln(c.out, found)
	if c.wait > 0 && !found.complete() {
		return exitPropagating
	}
	return subcommands.ExitSuccess
}
