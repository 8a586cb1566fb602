package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/configcheck"
	"github.com/jujubeford/jujubeford/internal/gateway"
	"github.com/jujubeford/jujubeford/internal/settings"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// maxCheckedBytes bounds the files that are read. What the store does not accept is an
	// error already; far larger files are not configurations.
	maxCheckedBytes = 4 * store.MaxValue
	// fetchTimeout bounds reading the version in force from the store.
	fetchTimeout = 5 * time.Second
)

// PlatformConfigs decodes the configurations that a platform's operator writes.
type PlatformConfigs struct {
	// Parse decodes a text; without faults the document can be checked.
	Parse func(text []byte) (configcheck.Document, []configcheck.Fault)
	// Fetch reads the text in force from the store at an address.
	Fetch func(ctx context.Context, addr string) ([]byte, error)
}

// CheckConfigCommand returns the command "check-config", which checks a configuration of the
// platform's operator before it is sent.
func CheckConfigCommand(configs PlatformConfigs, loadSettings LoadSettings) subcommands.Command {
	return &checkConfigCommand{
		console: &console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv},
		configs: configs, loadSettings: loadSettings,
	}
}

type checkConfigCommand struct {
	*console
	configs      PlatformConfigs
	loadSettings LoadSettings
	flags        *settings.Set
	against      string
	settingsPath string
	json, strict bool
}

// Name returns the command's name.
func (*checkConfigCommand) Name() string { return "check-config" }

// Synopsis describes the command in one line.
func (*checkConfigCommand) Synopsis() string {
	return "check a configuration of the platform's operator before it is sent"
}

// Usage returns the command's help text.
func (*checkConfigCommand) Usage() string {
	return `check-config [flags] [FILE]:
  Check a configuration as the operator of the platform writes it: errors, entries that can
  never match, and limits that contradict each other. With -against, print what differs from
  the version in force as well, and whom it concerns. Without FILE, or with -, the standard
  input is read. Nothing is sent.
  The exit status is 0 without errors, 1 with errors (with -strict also with warnings), and 2
  if the configuration cannot be checked.
`
}

// SetFlags registers the flags.
func (c *checkConfigCommand) SetFlags(fs *flag.FlagSet) {
	s := settings.New(fs)
	s.String(&c.against, "against", "`file` with the version in force, or the IP:port of the store that holds it")
	s.String(&c.settingsPath, "settings", "`file` with the settings of an instance, whose memory limits are checked against")
	s.Bool(&c.json, "json", "print JSON")
	s.Bool(&c.strict, "strict", "exit with status 1 for warnings too")
	c.flags = s
}

// configReport is what check-config prints.
type configReport struct {
	Version     uint64                   `json:"version"`
	Bytes       int                      `json:"bytes"`
	Pieces      int                      `json:"pieces"`
	Errors      int                      `json:"errors"`
	Warnings    int                      `json:"warnings"`
	Findings    []reportedFinding        `json:"findings"`
	Omitted     int                      `json:"omitted,omitempty"`
	InForce     uint64                   `json:"inForce,omitempty"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

type reportedFinding struct {
	Severity configcheck.Severity `json:"severity"`
	configcheck.Fault
}

func (r *configReport) add(s configcheck.Severity, faults ...configcheck.Fault) {
	for _, f := range faults {
		if r.Findings = append(r.Findings, reportedFinding{s, f}); s == configcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
}

// Execute checks a configuration and prints what it finds.
func (c *checkConfigCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(c.env); err != nil {
		return c.reportUsageError(err)
	}
	name := standardInput
	switch fs.NArg() {
	case 0:
	case 1:
		name = fs.Arg(0)
	default:
		return c.reportUsageError(errors.Errorf("got %d files, want at most one", fs.NArg()))
	}
	text, err := c.readChecked(name)
	if err != nil {
		return c.reportUsageError(err)
	}
	report, err := c.check(ctx, text)
	if err != nil {
		return c.reportUsageError(err)
	}
	if err := c.print(name, report); err != nil {
		return c.reportUsageError(err)
	}
	if report.Errors > 0 || c.strict && report.Warnings > 0 {
		return exitFailure
	}
	return subcommands.ExitSuccess
}

// readChecked reads a file or the standard input, which may have maxCheckedBytes.
func (c *checkConfigCommand) readChecked(name string) ([]byte, error) {
	in := c.in
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, maxCheckedBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, name)
	case len(text) > maxCheckedBytes:
		return nil, errors.Errorf("%s: more than %d bytes are not a configuration: the store accepts %d", name, maxCheckedBytes, store.MaxValue)
	}
	return text, nil
}

// check checks a text, and compares it with the version in force if there is one.
func (c *checkConfigCommand) check(ctx context.Context, text []byte) (*configReport, error) {
	r := &configReport{Bytes: len(text), Pieces: gateway.Pieces(len(text)), Findings: []reportedFinding{}}
	if len(text) > store.MaxValue {
		r.add(configcheck.Error, configcheck.Fault{Message: fmt.Sprintf("%d bytes cannot be sent: the store accepts %d", len(text), store.MaxValue)})
	}
	memory := int64(0)
	if c.settingsPath != "" {
		o, err := c.loadSettings(c.settingsPath)
		if err != nil {
			return nil, err
		}
		memory = o.Memory
	}
	doc, faults := c.configs.Parse(text)
	r.add(configcheck.Error, faults...)
	if len(faults) > 0 {
		return r, nil
	}
	next := doc.Config()
	r.Version = next.Version
	found := configcheck.Check(next, gateway.ContradictedLimits(next.Limits, memory))
	if c.against != "" {
		inForce, err := c.inForce(ctx)
		if err != nil {
			return nil, err
		}
		found.CheckAgainst(inForce.Config(), next)
		r.InForce, r.Differences = inForce.Config().Version, configcheck.Diff(inForce.Config(), next)
	}
	for i, fault := range doc.Locate(found.List) {
		r.add(found.List[i].Severity, fault)
	}
	r.add(configcheck.Warning, doc.Warnings()...)
	r.Omitted = found.OmittedErrors + found.OmittedWarnings
	r.Errors, r.Warnings = r.Errors+found.OmittedErrors, r.Warnings+found.OmittedWarnings
	return r, nil
}

// inForce reads the version in force from a file or from the store.
func (c *checkConfigCommand) inForce(ctx context.Context) (configcheck.Document, error) {
	var text []byte
	_, err := netip.ParseAddrPort(c.against)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		text, err = c.configs.Fetch(ctx, c.against)
	} else {
		text, err = c.readChecked(c.against)
	}
	if err != nil {
		return nil, errors.Wrap(err, "version in force")
	}
	doc, faults := c.configs.Parse(text)
	if doc.Config().Version == 0 {
		message := "it has no version"
		if len(faults) > 0 {
			message = faults[0].Message
		}
		return nil, errors.Errorf("version in force: %s", message)
	}
	return doc, nil
}

func (c *checkConfigCommand) print(name string, r *configReport) error {
	if c.json {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(r), "print")
	}
	if name == standardInput {
		name = "standard input"
	}
	for _, f := range r.Findings {
		place := name
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d:%d", name, f.Line, f.Column)
		}
		path := ""
		if f.Path != "" {
			path = f.Path + ": "
		}
		fmt.Fprintf(c.out, "%s: %s: %s%s\n", place, f.Severity, path, f.Message)
	}
	if r.Omitted > 0 {
		fmt.Fprintf(c.out, "%d more are not shown\n", r.Omitted)
	}
	if r.InForce > 0 {
		fmt.Fprintf(c.out, "%d differences from version %d\n", len(r.Differences), r.InForce)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(c.out, "%s %s\n", d.Change, d.Subject)
		for _, detail := range d.Details {
			fmt.Fprintf(c.out, "  %s\n", detail)
		}
		for _, concerned := range d.Concerns {
			fmt.Fprintf(c.out, "  concerns %s\n", concerned)
		}
	}
	_, err := fmt.Fprintf(c.out, "version %d, %d bytes, %d errors, %d warnings\n", r.Version, r.Bytes, r.Errors, r.Warnings)
	return errors.Wrap(err, "print")
}
