package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/router"
)

// ReleaseCommand returns the command "release".
func ReleaseCommand() subcommands.Command {
	return &releaseCommand{console: newConsole()}
}

// releaseCommand lifts the quarantine of a request.
type releaseCommand struct {
	*console
	flags *settings.Set
	addrs []string
}

// Name returns the command's name.
func (*releaseCommand) Name() string { return "release" }

// Synopsis describes the command in one line.
func (*releaseCommand) Synopsis() string { return "let a request that was refused as poison run again" }

// Usage returns the command's help text.
func (*releaseCommand) Usage() string {
	return `release [-admin IP:port,...] ORGANISATION FINGERPRINT:
  Let a request run again that is refused as poison, since upstreams crashed while
  they ran it. Its fingerprint stands in the header Jujubeford-Fingerprint of the
  refusal. Any router may be told; routers tell each other.
`
}

// SetFlags registers the flags.
func (c *releaseCommand) SetFlags(fs *flag.FlagSet) {
	c.flags = settings.New(fs)
	c.addrs = []string{defaultAdmin}
	c.flags.Addrs(&c.addrs, "admin", "`addresses` of routers for operators, IP:port divided by commas; the first that answers is told", settings.NotEmpty)
}

// Execute runs the command.
func (c *releaseCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.flags.Resolve(c.env)
	if err == nil && fs.NArg() != 2 {
		err = errors.New("release takes an organisation and a fingerprint")
	}
	if err != nil {
		fmt.Fprintln(c.err, err)
		return exitUsage
	}
	release := router.Release{Organisation: fs.Arg(0), Fingerprint: fs.Arg(1)}
	var failures []string
	for _, addr := range c.addrs {
		if err := postRelease(ctx, addr, release); err != nil {
			failures = append(failures, fmt.Sprintf("%s: %v", addr, err))
			continue
		}
		fmt.Fprintf(c.out, "released: %s\n", release.Fingerprint)
		return subcommands.ExitSuccess
	}
	return c.reportFailure(errors.New(strings.Join(failures, "\n")))
}

// postRelease sends a release to the router at an admin address.
func postRelease(ctx context.Context, addr string, release router.Release) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(release)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+router.ReleasePath, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return errors.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
