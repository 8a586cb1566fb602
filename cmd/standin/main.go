// Command standin runs stand-ins for the systems that routers work with: the platform,
// model engines, plain services, and the users' metadata store and replicas.
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
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&plainCommand{}, "")
	subcommands.Register(&storeCommand{}, "")
	subcommands.Register(&replicaCommand{}, "")
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	klog.Flush()
	os.Exit(int(status))
}
