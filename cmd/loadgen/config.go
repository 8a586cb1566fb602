package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// configCommand prints the router configuration that the scenarios assume.
type configCommand struct{ sizes scenario.Sizes }

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "print the configuration that the scenarios assume" }
func (*configCommand) Usage() string {
	return "config [flags]\n  The API key of an organisation is example-key-NAME.\n"
}

func (c *configCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.sizes.Organisations, "organisations", 16, "the number of organisations")
	f.IntVar(&c.sizes.Large, "large", 3, "how many of them have a large share")
	f.IntVar(&c.sizes.ModelSlots, "slots", 8, "the slots of an engine")
	f.IntVar(&c.sizes.PlainSlots, "plain-slots", 16, "the slots of a plain upstream")
	f.IntVar(&c.sizes.MaxQueued, "max-queued", 400, "the requests of an organisation that may wait at one router")
	f.DurationVar(&c.sizes.MaxWait, "max-wait", 20*time.Second, "how long a request may wait for a slot")
}

func (c *configCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if n := c.sizes.Organisations; n < 1 || n > config.MaxOrganisations || c.sizes.Large > n {
		fmt.Fprintf(os.Stderr, "loadgen config: -organisations must be 1 to %d and at least -large\n", config.MaxOrganisations)
		return subcommands.ExitUsageError
	}
	settings, err := scenario.Config(c.sizes)
	if err != nil {
		fmt.Fprintf(os.Stderr, "loadgen config: %v\n", err)
		return subcommands.ExitUsageError
	}
	text, err := settings.Print()
	if err != nil {
		klog.Errorf("loadgen: %v", err)
		return subcommands.ExitFailure
	}
	os.Stdout.Write(text)
	return subcommands.ExitSuccess
}
