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

// LoadSettings reads a platform's settings file.
type LoadSettings func(path string) (*gateway.Options, error)

const (
	// settingsPollInterval is how often the settings file is looked at.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout is how long the last lines of the log may take.
	logFlushTimeout = time.Second
	// gcPercent is how much garbage the heap may hold over what lives. Memory
	// is dearer than processor time on the users' instances.
	gcPercent = 50
	// memoryLimitShare is the part of the allowed memory up to which garbage may grow;
	// the rest is for what the collector does not see.
	memoryLimitShare = 0.6
	// policyShared and policyAlone are the values of -policy.
	policyShared = "shared"
	policyAlone  = "alone"
)

// GatewayCommand is the command "gateway": a router on a platform with its own
// settings file, whose path is in the environment variable.
func GatewayCommand(load LoadSettings, pathVariable string) subcommands.Command {
	return &gatewayCommand{loadSettings: load, pathVariable: pathVariable}
}

type gatewayCommand struct {
	loadSettings LoadSettings
	pathVariable string
	flags        *settings.Set
	settingsPath string
	policy       string
	metricsPort  int
}

// Name is the command's name.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis is the command in one line.
func (*gatewayCommand) Synopsis() string { return "run one router on the users' platform" }

// Usage is the command's help.
func (c *gatewayCommand) Usage() string {
	return fmt.Sprintf(`gateway [flags]:
  Run one router until SIGTERM has drained it. SIGHUP reads the platform's
  settings file again. Its path is -settings, or %s.
`, c.pathVariable)
}

// SetFlags registers the settings.
func (c *gatewayCommand) SetFlags(fs *flag.FlagSet) {
	c.policy, c.metricsPort = policyShared, 0
	s := settings.New(fs)
	s.String(&c.settingsPath, "settings", "`file` with the platform's settings")
	s.String(&c.policy, "policy", "`policy` of placement: shared, or alone to measure against", oneOf(policyShared, policyAlone))
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

// options reads the settings file and adds the settings of our own.
func (c *gatewayCommand) options() (*gateway.Options, error) {
	if c.settingsPath == "" {
		return nil, errors.Errorf("no settings: give -settings or %s", c.pathVariable)
	}
	o, err := c.loadSettings(c.settingsPath)
	if err != nil {
		return nil, err
	}
	o.Dispatch.Alone = c.policy == policyAlone
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
		klog.ErrorS(err, "Gateway: ended.")
		klog.Flush()
		return subcommands.ExitFailure
	}
	klog.Flush()
	return subcommands.ExitSuccess
}

// handleSignals stops the router on SIGTERM, and reloads it on SIGHUP or when the
// settings file has changed.
func (c *gatewayCommand) handleSignals(g *gateway.Gateway) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	loaded, err := os.ReadFile(c.settingsPath)
	if err != nil {
		klog.ErrorS(err, "Settings: not read.")
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
			logs.Info("settings", "Settings: not read.", "err", err)
			continue
		}
		if bytes.Equal(current, loaded) {
			continue
		}
		loaded = current
		o, err := c.options()
		if err != nil {
			klog.ErrorS(err, "Settings: not reloaded; those before hold.")
			continue
		}
		g.Reload(o.Seeds)
	}
}
