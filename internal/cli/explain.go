package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/logfile"
	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/router"
)

// explainPath is the path prefix of explanations; the request ID follows it.
const explainPath = "/v1/explain/"

// ExplainCommand returns the command "explain".
func ExplainCommand() subcommands.Command {
	return &explainCommand{adminFlags: adminFlags{console: newConsole()}}
}

// explainCommand prints how a request was handled.
type explainCommand struct {
	adminFlags
	// logs are the paths of log files of routers, separated by commas.
	logs string
}

// Name returns the command's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis describes the command in one line.
func (*explainCommand) Synopsis() string {
	return "tell why a request waited, went where and ended how"
}

// Usage returns the command's help text.
func (*explainCommand) Usage() string {
	return `explain [-admin IP:port,...] [-o text|json] REQUEST-ID
explain -logs FILE,... REQUEST-ID:
  Tell why a request waited, which organisations were ahead and by how much, which
  upstreams were weighed, what was retried or hedged, and what ended it. The id
  stands in the header Jujubeford-Request-Id of the answer. Any router may be
  asked; records are kept in memory for the latest requests.

  With -logs no router is asked: the lines about the request in log files of any
  number of machines are printed, with what each router lost or regained (~) around
  that time. Times are since the first line in the same file.
`
}

// SetFlags registers the flags.
func (c *explainCommand) SetFlags(fs *flag.FlagSet) {
	set := settings.New(fs)
	c.registerFlags(set, formatText, formatJSON)
	set.String(&c.logs, "logs", "log `files` of routers, divided by commas, to read in place of asking a router")
}

// Execute runs the command.
func (c *explainCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolveFlags(fs, 1) {
		return exitUsage
	}
	if c.logs != "" {
		if err := c.explainLogs(fs.Arg(0)); err != nil {
			return c.reportFailure(err)
		}
		return subcommands.ExitSuccess
	}
	var e router.Explanation
	return c.fetchAndPrint(ctx, explainPath+url.PathEscape(fs.Arg(0)), &e, func() error {
		printExplanation(c.out, &e)
		return nil
	})
}

// explainLogs prints the excerpts of the log files about a request.
func (c *explainCommand) explainLogs(id string) error {
	var parts []*logfile.Excerpt
	for _, path := range strings.Split(c.logs, ",") {
		part, err := findInFile(path, id)
		if err != nil {
			return err
		}
		if part != nil {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return errors.Errorf("log files %s have no line about request %s", c.logs, id)
	}
	logfile.Print(c.out, id, parts)
	return nil
}

func findInFile(path, id string) (*logfile.Excerpt, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "-logs")
	}
	defer f.Close()
	return logfile.Find(path, f, id)
}

// printExplanation prints the summary, then the steps with the times since the
// request arrived.
func printExplanation(out io.Writer, e *router.Explanation) {
	fmt.Fprintf(out, "request %s\n\n", e.Request)
	for _, sentence := range e.Summary {
		fmt.Fprintf(out, "  %s\n", sentence)
	}
	t := newTable(out, "STEPS", "AFTER STEP UPSTREAM DETAIL")
	for _, line := range e.Lines {
		t.row(fmt.Sprintf("%.1fms", line.At.Sub(e.Arrived).Seconds()*1000), line.What, line.Upstream, line.Detail)
	}
	t.end()
}
