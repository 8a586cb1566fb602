package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/gateway"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/settings"
)

// LoadSettings reads a platform's settings file into the options of a gateway.
type LoadSettings func(path string) (*gateway.Options, error)

const (
	// settingsPollInterval is the time between checks for a changed settings file.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout bounds the wait for the last log lines to be written at exit.
	logFlushTimeout = time.Second
	// gcPercent is the garbage collector's GOGC value: how far the heap may grow over
	// the live heap. It is below the default of 100, because memory is scarcer than
	// processor time on the users' instances.
	gcPercent = 50
	// memoryLimitShare is the part of the allowed memory that is set as the runtime's
	// soft memory limit. The rest is for memory that the runtime does not account for.
	memoryLimitShare = 0.6
	// policyShared and policyAlone are the values of -policy.
	policyShared = "shared"
	policyAlone  = "alone"
)

// GatewayCommand returns the command "gateway", which runs a router on a platform
// that has its own settings file. The environment variable pathVariable holds the
// file's path if -settings is not given.
func GatewayCommand(load LoadSettings, pathVariable string) subcommands.Command {
	return &gatewayCommand{loadSettings: load, pathVariable: pathVariable}
}

type gatewayCommand struct {
	loadSettings LoadSettings
	pathVariable string
	flags        *settings.Set
	settingsPath string
	policy       string
	pace         bool
	metricsPort  int
}

// Name returns the command's name.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis describes the command in one line.
func (*gatewayCommand) Synopsis() string { return "run one router on the users' platform" }

// Usage returns the command's help text.
func (c *gatewayCommand) Usage() string {
	return fmt.Sprintf(`gateway [flags]:
  Run one router until SIGTERM has drained it. SIGHUP reads the platform's
  settings file again. Its path is -settings, or %s.
`, c.pathVariable)
}

// SetFlags registers the flags.
func (c *gatewayCommand) SetFlags(fs *flag.FlagSet) {
	c.policy, c.metricsPort, c.pace = policyShared, 0, false
	s := settings.New(fs)
	s.String(&c.settingsPath, "settings", "`file` with the platform's settings")
	s.String(&c.policy, "policy", "`policy` of placement: shared, or alone to measure against", oneOf(policyShared, policyAlone))
	s.Bool(&c.pace, "pace", "find how much an upstream gets after a start or a failure from how it answers")
	s.Int(&c.metricsPort, "metrics-port", "`port` for metrics; 0 serves none")
	c.flags = s
}

// Execute runs the router until it has drained.
func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.settingsPath == "" {
		c.settingsPath = os.Getenv(c.pathVariable)
	}
	options, err := c.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	klog.LogToStderr(false)
	klog.SetOutput(out)
	debug.SetGCPercent(gcPercent)
	if options.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(options.Memory)))
	}
	return c.run(ctx, *options)
}

// options reads the settings file and adds the options set by flags.
func (c *gatewayCommand) options() (*gateway.Options, error) {
	if c.settingsPath == "" {
		return nil, errors.Errorf("no settings file: set -settings or %s", c.pathVariable)
	}
	o, err := c.loadSettings(c.settingsPath)
	if err != nil {
		return nil, err
	}
	o.Dispatch.IgnorePeers = c.policy == policyAlone
	o.Dispatch.Pace = c.pace
	if c.metricsPort > 0 {
		host, _, err := net.SplitHostPort(o.Listen)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		o.MetricsListen = net.JoinHostPort(host, strconv.Itoa(c.metricsPort))
	}
	return o, o.Check()
}

func (c *gatewayCommand) run(ctx context.Context, o gateway.Options) subcommands.ExitStatus {
	g, err := gateway.New(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	go c.handleSignals(g)
	if err := g.Run(ctx); err != nil {
		klog.ErrorS(err, "Gateway: stopped with an error.")
		klog.Flush()
		return subcommands.ExitFailure
	}
	klog.Flush()
	return subcommands.ExitSuccess
}

// handleSignals stops the router on SIGTERM or an interrupt. On SIGHUP, and every
// settingsPollInterval, it checks whether the settings file has changed, and if so
// reads it again and passes its seeds to the router.
func (c *gatewayCommand) handleSignals(g *gateway.Gateway) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	loaded, err := os.ReadFile(c.settingsPath)
	if err != nil {
		klog.ErrorS(err, "Settings: reading the settings file failed.")
	}
	for {
		select {
		case s := <-received:
			if s != syscall.SIGHUP {
				g.Stop()
				continue
			}
		case <-poll.C:
		}
		current, err := os.ReadFile(c.settingsPath)
		if err != nil {
			logs.Info("settings", "Settings: reading the settings file failed.", "err", err)
			continue
		}
		if bytes.Equal(current, loaded) {
			continue
		}
		loaded = current
		o, err := c.options()
		if err != nil {
			klog.ErrorS(err, "Settings: reload failed; the previous settings stay in force.")
			continue
		}
		g.Reload(o.Seeds)
	}
}
