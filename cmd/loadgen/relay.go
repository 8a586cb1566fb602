package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
	"github.com/jujubeford/jujubeford/internal/loadgen/relay"
)

// relayCommand relays the connections between routers and to the platform, so that
// failure domains can be cut off from each other.
type relayCommand struct{ fleetFile string }

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "carry the connections of routers, to cut domains off" }
func (*relayCommand) Usage() string {
	return "relay -fleet FILE\n" +
		"  Takes {\"domains\": [...]} by POST /cut at the fleet's relay address.\n"
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.fleetFile, "fleet", "", "the file that describes the fleet")
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.fleetFile == "" {
		fmt.Fprintln(os.Stderr, "loadgen relay: -fleet must be given")
		return subcommands.ExitUsageError
	}
	f, err := fleet.Load(c.fleetFile)
	if err == nil {
		err = relay.Run(ctx, f)
	}
	if err != nil {
		klog.Errorf("loadgen: %v", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
