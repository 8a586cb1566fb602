package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/router"
)

// maxRows bounds the rows of a table, so that the output fits on a screen.
const maxRows = 40

// StatusCommand returns the command "status".
func StatusCommand() subcommands.Command {
	return &statusCommand{adminFlags: adminFlags{console: newConsole()}}
}

// statusCommand prints the state of the fleet as one router knows it.
type statusCommand struct {
	adminFlags
	local bool
}

// Name returns the command's name.
func (*statusCommand) Name() string { return "status" }

// Synopsis describes the command in one line.
func (*statusCommand) Synopsis() string { return "show the fleet as one router knows it" }

// Usage returns the command's help text.
func (*statusCommand) Usage() string {
	return `status [-admin IP:port,...] [-o text|json] [-local]:
  Show the routers, the upstreams with their owners, what waits and how old each
  view is, as the asked router knows it. It asks the other owners for the slots
  that they grant and says which did not answer.
`
}

// SetFlags registers the flags.
func (c *statusCommand) SetFlags(fs *flag.FlagSet) {
	c.registerFlags(settings.New(fs), formatText, formatJSON)
	c.flags.Bool(&c.local, "local", "show only what the asked router itself knows, `true or false`")
}

// Execute runs the command.
func (c *statusCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolveFlags(fs, 0) {
		return exitUsage
	}
	path := statusPath
	if !c.local {
		path += "?fleet=true"
	}
	var status router.FleetStatus
	return c.fetchAndPrint(ctx, path, &status, func() error {
		printStatus(c.out, &status)
		return nil
	})
}

// printStatus prints the status as text.
func printStatus(out io.Writer, s *router.FleetStatus) {
	fmt.Fprintf(out, "router %s in %s: %s, up %s, %d requests\n",
		s.Router, s.Domain, readiness(s), s.Taken.Sub(s.Started).Round(time.Second), s.Requests)
	fmt.Fprintf(out, "configuration: generation %d, digest %s\n", s.Generation, s.Digest)
	fmt.Fprintf(out, "platform last answered: configuration %s, instance list %s\n",
		agoText(s.Taken, s.Platform.Config), agoText(s.Taken, s.Platform.Instances))
	printPause(out, s.Taken, string(s.Router), s.Pause)
	for _, a := range s.Asked {
		if a.Error != "" {
			fmt.Fprintf(out, "not reached: %s: %s\n", a.Router, a.Error)
		}
		printPause(out, s.Taken, string(a.Router), a.Pause)
	}
	printRouters(out, s)
	printUpstreams(out, s)
	printBacklog(out, s)
}

func readiness(s *router.FleetStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// agoText returns the age of a time for people, "never" for nil.
func agoText(now time.Time, at *time.Time) string {
	if at == nil {
		return "never"
	}
	return ageText(max(0, now.Sub(*at).Milliseconds())) + " ago"
}

func printPause(out io.Writer, now time.Time, id string, p *reducer.Pause) {
	if p != nil {
		fmt.Fprintf(out, "%s stood still for %s until %s\n", id, ageText(p.ForMS), agoText(now, &p.Until))
	}
}

// printRouters prints the routers, sorted by attentionRank.
func printRouters(out io.Writer, s *router.FleetStatus) {
	routers := slices.Clone(s.Routers)
	slices.SortStableFunc(routers, func(a, b reducer.RouterStatus) int {
		return attentionRank(s, a) - attentionRank(s, b)
	})
	t := newTable(out, fmt.Sprintf("ROUTERS (%d known)", len(routers)), "ID STATE DOMAIN GENERATION HEARD NOTE")
	for _, r := range routers[:min(len(routers), maxRows)] {
		lastHeard := "from others"
		if r.AgeMS != nil {
			lastHeard = ageText(*r.AgeMS) + " ago"
		}
		t.row(r.ID, r.State, r.Domain, r.Generation, lastHeard, routerNote(s, r))
	}
	t.end()
	printOmitted(out, len(routers))
}

// attentionRank orders the routers in the table: the one that was asked, then those
// not alive, then those at another generation, then the rest.
func attentionRank(s *router.FleetStatus, r reducer.RouterStatus) int {
	switch {
	case r.ID == s.Router:
		return 0
	case r.State != reducer.RouterAlive:
		return 1
	case r.Generation != s.Generation:
		return 2
	default:
		return 3
	}
}

// routerNote returns the text of the NOTE column for a router.
func routerNote(s *router.FleetStatus, r reducer.RouterStatus) string {
	var notes []string
	if r.ID == s.Router {
		notes = append(notes, "asked")
	}
	if r.ReplacedBy != "" {
		notes = append(notes, fmt.Sprintf("earlier incarnation, now %s", r.ReplacedBy))
	}
	if r.State == reducer.RouterAlive && r.Generation < s.Generation {
		notes = append(notes, "older configuration")
	}
	return strings.Join(notes, ", ")
}

func printUpstreams(out io.Writer, s *router.FleetStatus) {
	t := newTable(out, fmt.Sprintf("UPSTREAMS (%d listed)", len(s.Upstreams)), "SERVICE ID DOMAIN OWNER SLOTS GRANTED FREE SPEED STATE")
	for _, u := range s.Upstreams[:min(len(s.Upstreams), maxRows)] {
		if u.Owned == nil {
			t.row(u.Service, u.ID, u.Domain, u.Owner, "?", "?", "?", "?", upstreamState(u))
			continue
		}
		t.row(u.Service, u.ID, u.Domain, u.Owner, u.Owned.Slots, u.Owned.Granted, u.Owned.Free, speedText(u), upstreamState(u))
	}
	t.end()
	printOmitted(out, len(s.Upstreams))
}

// speedText returns the upstream's measured speed as a percentage of its best recent
// speed.
func speedText(u reducer.UpstreamStatus) string {
	if u.Owned.Best == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*u.Owned.Speed/u.Owned.Best)
}

// upstreamState returns the text of the STATE column for an upstream.
func upstreamState(u reducer.UpstreamStatus) string {
	var states []string
	if u.Leaving {
		states = append(states, "leaving")
	}
	if u.Owned != nil && u.Owned.Paused {
		states = append(states, "paused")
	}
	if u.Owned != nil && u.Owned.Slow {
		states = append(states, "slow")
	}
	if u.Owner == "" {
		states = append(states, "no owner")
	}
	if len(states) == 0 {
		return "up"
	}
	return strings.Join(states, ", ")
}

func printBacklog(out io.Writer, s *router.FleetStatus) {
	if len(s.Backlog) == 0 {
		fmt.Fprintln(out, "\nNo organisation waits at the owners that answered.")
		return
	}
	t := newTable(out, fmt.Sprintf("BACKLOGGED ORGANISATIONS (%d)", len(s.Backlog)), "SERVICE ORGANISATION SHARE WAITING OLDEST SERVED GAP")
	for _, b := range s.Backlog[:min(len(s.Backlog), maxRows)] {
		t.row(b.Service, b.Organisation, b.Share, b.Waiting, ageText(b.OldestMS), b.Served, fmt.Sprintf("%.0f", b.VirtualTimeGap))
	}
	t.end()
	printOmitted(out, len(s.Backlog))
}

// printOmitted prints how many rows the limit maxRows left out.
func printOmitted(out io.Writer, rows int) {
	if rows > maxRows {
		fmt.Fprintf(out, "and %d more; -o json lists all\n", rows-maxRows)
	}
}
