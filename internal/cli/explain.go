package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"

	"github.com/google/subcommands"

	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/router"
)

// explainPath starts the path of a request's explanation.
const explainPath = "/v1/explain/"

// ExplainCommand is the command "explain".
func ExplainCommand() subcommands.Command {
	return &explainCommand{adminFlags: adminFlags{console: newConsole()}}
}

// explainCommand tells what became of one request.
type explainCommand struct{ adminFlags }

// Name is the command's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis is the command in one line.
func (*explainCommand) Synopsis() string {
	return "tell why a request waited, went where and ended how"
}

// Usage is the command's help.
func (*explainCommand) Usage() string {
	return `explain [-admin IP:port,...] [-o text|json] REQUEST-ID:
  Tell why a request waited, which organisations were ahead and by how much, which
  upstreams were weighed, what was retried or hedged, and what ended it. The id
  stands in the header Jujubeford-Request-Id of the answer. Any router may be
  asked; records are kept in memory for the latest requests.
`
}

// SetFlags registers the flags.
func (c *explainCommand) SetFlags(fs *flag.FlagSet) { c.register(settings.New(fs), formText, formJSON) }

// Execute runs the command.
func (c *explainCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.prepare(fs, 1) {
		return exitUsage
	}
	var e router.Explanation
	return c.show(ctx, explainPath+url.PathEscape(fs.Arg(0)), &e, func() error {
		printExplanation(c.out, &e)
		return nil
	})
}

// printExplanation prints the sentences, and below them the steps with their
// times.
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
