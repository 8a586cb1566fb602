// Command loadgen sends the load of a scenario to a fleet of routers on this machine
// and prints the measures of the run. Subcommands compare and plot the records of runs.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"
)

func main() {
	klog.InitFlags(nil)
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&compareCommand{}, "")
	subcommands.Register(&plotCommand{}, "")
	subcommands.Register(&configCommand{}, "")
	subcommands.Register(&relayCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	klog.Flush()
	os.Exit(int(status))
}
