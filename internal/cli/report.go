package cli

import (
	"context"
	"flag"
	"net/url"

	"github.com/google/subcommands"

	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/settings"
)

// reportPath is the path of the report document.
const reportPath = "/v1/report"

// ReportCommand returns the command "report".
func ReportCommand() subcommands.Command {
	return &reportCommand{adminFlags: adminFlags{console: newConsole()}}
}

// reportCommand prints the report on service-level burn.
type reportCommand struct {
	adminFlags
	windows string
}

// Name returns the command's name.
func (*reportCommand) Name() string { return "report" }

// Synopsis describes the command in one line.
func (*reportCommand) Synopsis() string { return "report how fast error budgets are spent" }

// Usage returns the command's help text.
func (*reportCommand) Usage() string {
	return `report [-admin IP:port,...] [-o text|json|html] [-window 5m,1h,6h]:
  Report the service-level burn of services and organisations over the routers
  that the asked router can reach, with the worst minutes and their causes, and
  say which routers are missing. The HTML form is one page with nothing outside
  of it.
`
}

// SetFlags registers the flags.
func (c *reportCommand) SetFlags(fs *flag.FlagSet) {
	c.registerFlags(settings.New(fs), formatText, formatJSON, formatHTML)
	c.windows = "5m,1h,6h"
	c.flags.String(&c.windows, "window", "`windows` of burn in whole minutes, divided by commas, of 6h at most", settings.Required)
}

// Execute runs the command.
func (c *reportCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolveFlags(fs, 0) {
		return exitUsage
	}
	var report burn.Report
	return c.fetchAndPrint(ctx, reportPath+"?windows="+url.QueryEscape(c.windows), &report, func() error {
		if c.format == formatHTML {
			return printReportPage(c.out, &report)
		}
		printReport(c.out, &report)
		return nil
	})
}
