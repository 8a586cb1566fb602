package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/platform/standin/replica"
)

// replicaCommand runs the stand-in for one of the users' replicas.
type replicaCommand struct {
	listen, id string
	events     int
	gap        time.Duration
}

func (*replicaCommand) Name() string     { return "replica" }
func (*replicaCommand) Synopsis() string { return "run the stand-in for a replica of the users" }
func (*replicaCommand) Usage() string {
	return "standin replica [flags]\nStandard output has a line \"run ATTEMPT\" for each request that runs.\n" +
		"After SIGUSR1 all answers say that the replica is leaving.\n" +
		"Each flag is also an environment variable JUJUBEFORD_STANDIN_<FLAG>.\n"
}

// SetFlags declares the flags.
func (c *replicaCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:8700", "IP:port for routers")
	flags.StringVar(&c.id, "id", "replica", "identity that routers expect")
	flags.IntVar(&c.events, "events", 0, "events of a stream; 0 answers whole")
	flags.DurationVar(&c.gap, "gap", 0, "time between two events")
}

// Execute runs until SIGTERM.
func (c *replicaCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnv(flags); err != nil {
		return usageError(err)
	}
	if c.events < 0 || c.gap < 0 {
		return usageError(errors.New("-events and -gap must not be negative"))
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return runtimeError(errors.Wrap(err, "-listen"))
	}
	r := &replica.Replica{ID: c.id, Events: c.events, EventInterval: c.gap, OnRun: printRun}
	leaveSignals := make(chan os.Signal, 1)
	signal.Notify(leaveSignals, syscall.SIGUSR1)
	defer signal.Stop(leaveSignals)
	go func() {
		<-leaveSignals
		r.Leaving.Store(true)
	}()
	servers := newServerGroup()
	servers.serve(listener, r)
	if err := servers.wait(ctx); err != nil {
		return runtimeError(err)
	}
	return subcommands.ExitSuccess
}

// printRun writes the attempt to standard output before it is answered, so that the
// run is recorded even if the process is killed.
func printRun(attemptID string) { fmt.Fprintln(os.Stdout, "run", attemptID) }
