package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/gateway"
	"github.com/jujubeford/jujubeford/internal/settings"
)

// Deploy describes how a platform builds and starts the programs.
type Deploy struct {
	Build    string
	Programs []Program
}

// Program is one program of a deploy file.
type Program struct {
	// Role is the program's name in the file.
	Role string
	// Path is the executable, started with Args and Env.
	Path string
	Args []string
	Env  map[string]string
	// Class is the class of instances that the program runs on: a Share of them, or a
	// Count of them.
	Class string
	Share float64
	Count int
	// ServesCallers is set if the platform routes callers to the program.
	ServesCallers bool
	// MetricsPort and MetricsPath are where the platform fetches the program's
	// metrics; the port is 0 if it fetches none.
	MetricsPort int
	MetricsPath string
	// Template is the path of the file that the settings are made from, empty if there
	// is none.
	Template string
}

const (
	// buildDir is where the platform expects the built executables.
	buildDir = "target/"
	// externalLinkFlag must be part of the build command: the platform can start only
	// programs that are linked against the system's C library.
	externalLinkFlag = "-linkmode=external"
	// templateSizeLimit is the platform's limit on the size of a template, in bytes; a
	// template must be smaller.
	templateSizeLimit = 64 << 10
)

// LoadDeploy reads a platform's deploy file.
type LoadDeploy func(path string) (*Deploy, error)

// CheckDeployCommand returns the command "check-deploy", which validates the deploy
// file, and a settings file if one is given, against the flags and limits of the
// programs, so that faults show before anything is deployed.
func CheckDeployCommand(loadDeploy LoadDeploy, loadSettings LoadSettings) subcommands.Command {
	return &checkDeployCommand{loadDeploy: loadDeploy, loadSettings: loadSettings}
}

type checkDeployCommand struct {
	loadDeploy   LoadDeploy
	loadSettings LoadSettings
	flags        *settings.Set
	deployPath   string
	settingsPath string
}

// Name returns the command's name.
func (*checkDeployCommand) Name() string { return "check-deploy" }

// Synopsis describes the command in one line.
func (*checkDeployCommand) Synopsis() string { return "check the deploy file and settings" }

// Usage returns the command's help text.
func (*checkDeployCommand) Usage() string {
	return `check-deploy [flags]:
  Check the deploy file, and with -settings the settings of an instance as well.
  All faults are printed, one a line; the exit status is 1 if there are any.
  Nothing is started.
`
}

// SetFlags registers the flags.
func (c *checkDeployCommand) SetFlags(fs *flag.FlagSet) {
	c.deployPath = "deploy/system.toml"
	s := settings.New(fs)
	s.String(&c.deployPath, "deploy", "the platform's deploy `file`")
	s.String(&c.settingsPath, "settings", "`file` with the settings of an instance; none are checked without")
	c.flags = s
}

// Execute checks the files and prints all faults.
func (c *checkDeployCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	faults, err := c.check()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Println("no faults")
	return subcommands.ExitSuccess
}

// check returns the faults of the files. It returns an error if the deploy file
// cannot be read; one from the settings file is among the faults.
func (c *checkDeployCommand) check() ([]string, error) {
	d, err := c.loadDeploy(c.deployPath)
	if err != nil {
		return nil, err
	}
	faults := d.faults()
	if c.settingsPath == "" {
		return faults, nil
	}
	o, err := c.loadSettings(c.settingsPath)
	if err != nil {
		return append(faults, err.Error()), nil
	}
	if err := o.Check(); err != nil {
		faults = append(faults, strings.Split(err.Error(), "\n")...)
	}
	for _, p := range d.Programs {
		faults = append(faults, p.portFaults(o)...)
	}
	return faults, nil
}

// faults returns the faults of the deploy file.
func (d *Deploy) faults() (faults []string) {
	switch {
	case d.Build == "":
		faults = append(faults, "build: must not be empty")
	case !strings.Contains(d.Build, externalLinkFlag):
		faults = append(faults, "build: must have "+externalLinkFlag)
	}
	serving := 0
	programs := slices.Clone(d.Programs)
	sort.Slice(programs, func(i, j int) bool { return programs[i].Role < programs[j].Role })
	for _, p := range programs {
		for _, f := range p.faults() {
			faults = append(faults, "roles."+p.Role+": "+f)
		}
		if p.ServesCallers {
			serving++
		}
	}
	if serving != 1 {
		faults = append(faults, fmt.Sprintf("roles: %d serve callers, not one", serving))
	}
	return faults
}

// faults returns the faults of one program.
func (p *Program) faults() (faults []string) {
	if !strings.HasPrefix(p.Path, buildDir) {
		faults = append(faults, fmt.Sprintf("program %q is not under %s", p.Path, buildDir))
	}
	if p.Class == "" {
		faults = append(faults, "no class of instances")
	}
	if p.Count < 0 || p.Share < 0 || p.Share > 1 || p.Share == 0 && p.Count == 0 {
		faults = append(faults, "neither a share above 0 and at most 1 nor a count")
	}
	if p.Template != "" {
		if err := checkTemplate(p.Template); err != nil {
			faults = append(faults, err.Error())
		}
	}
	gw, err := p.parseGatewayArgs()
	switch {
	case err != nil:
		faults = append(faults, err.Error())
	case gw.metricsPort != p.MetricsPort:
		faults = append(faults, fmt.Sprintf("metrics are served on port %d and fetched from %d", gw.metricsPort, p.MetricsPort))
	case p.MetricsPort != 0 && p.MetricsPath != gateway.MetricsPath:
		faults = append(faults, fmt.Sprintf("metrics are served at %s and fetched from %s", gateway.MetricsPath, p.MetricsPath))
	}
	return faults
}

// parseGatewayArgs parses the program's arguments and environment with the flags of
// the command "gateway".
func (p *Program) parseGatewayArgs() (*gatewayCommand, error) {
	c := &gatewayCommand{}
	if len(p.Args) == 0 || p.Args[0] != c.Name() {
		return nil, errors.Errorf("arguments %q do not begin with %s", p.Args, c.Name())
	}
	fs := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	var usageOutput strings.Builder
	fs.SetOutput(&usageOutput)
	c.SetFlags(fs)
	if err := fs.Parse(p.Args[1:]); err != nil {
		return nil, errors.Wrap(err, "arguments")
	}
	if fs.NArg() > 0 {
		return nil, errors.Errorf("arguments: %q is no flag", fs.Arg(0))
	}
	return c, c.flags.Resolve(func(name string) string { return p.Env[name] })
}

// portFaults returns a fault for each listener of the gateway whose port is also the
// program's metrics port.
func (p *Program) portFaults(o *gateway.Options) (faults []string) {
	for _, used := range []struct{ name, addr string }{
		{"callers", o.Listen}, {"readiness", o.ReadyListen}, {"other routers", o.PeerListen},
	} {
		if p.MetricsPort != 0 && strings.HasSuffix(used.addr, fmt.Sprintf(":%d", p.MetricsPort)) {
			faults = append(faults, fmt.Sprintf("roles.%s: the metrics and %s have the same port %d", p.Role, used.name, p.MetricsPort))
		}
	}
	return faults
}

// checkTemplate returns an error if a template is missing or too large.
func checkTemplate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "template")
	}
	if info.Size() >= templateSizeLimit {
		return errors.Errorf("template %s has %d bytes; it must be under %d", path, info.Size(), templateSizeLimit)
	}
	return nil
}
