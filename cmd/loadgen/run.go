package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
	"github.com/jujubeford/jujubeford/internal/loadgen/report"
	"github.com/jujubeford/jujubeford/internal/loadgen/run"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

// runCommand runs one scenario once.
type runCommand struct {
	scenarioFile string
	fleetFile    string
	routers      string
	admins       string
	policy       string
	engines      int
	slots        int
	tokenTime    time.Duration
	seed         uint64
	gapBound     float64
	out          string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a scenario once and print its measures" }
func (*runCommand) Usage() string {
	return "run -scenario FILE (-fleet FILE | -routers ADDR,...) [flags]\n" +
		"  Sends requests to routers on loopback addresses only.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenarioFile, "scenario", "", "the scenario file")
	f.StringVar(&c.fleetFile, "fleet", "", "the file that describes the fleet, as scripts/fleet.sh writes it")
	f.StringVar(&c.routers, "routers", "", "addresses of the routers, separated by commas, in place of -fleet")
	f.StringVar(&c.admins, "admins", "", "their admin addresses, in the same order")
	f.StringVar(&c.policy, "policy", report.Current, "the policy that the routers run, in place of -fleet")
	f.IntVar(&c.engines, "engines", 12, "the number of engines, in place of -fleet")
	f.IntVar(&c.slots, "slots", 8, "the slots of an engine, in place of -fleet")
	f.DurationVar(&c.tokenTime, "token-time", 25*time.Millisecond, "an engine's time for a token, in place of -fleet")
	f.Uint64Var(&c.seed, "seed", 0, "the seed of the arrivals; 0 takes the scenario's")
	f.Float64Var(&c.gapBound, "gap-bound", 0, "the bound on the service gap, in tokens per unit of share; 0 takes the scenario's")
	f.StringVar(&c.out, "o", "", "the file for the measures and curves as JSON")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.scenarioFile == "" || (c.fleetFile == "") == (c.routers == "") {
		fmt.Fprintln(os.Stderr, "loadgen run: -scenario and one of -fleet and -routers must be given")
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		klog.Errorf("loadgen: %v", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) run(ctx context.Context) error {
	s, err := scenario.Load(c.scenarioFile)
	if err != nil {
		return err
	}
	if c.seed != 0 {
		s.Seed = c.seed
	}
	if c.gapBound != 0 {
		s.GapBound = c.gapBound
	}
	f, err := c.loadFleet()
	if err != nil {
		return err
	}
	t, err := trace.New(s, trace.Params{
		Routers:   len(f.Routers),
		TokenRate: f.TokenRate(),
		Salt:      fmt.Sprintf("%s-%d-%x", s.Name, s.Seed, time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	klog.Infof("loadgen: scenario %s, seed %d, %d requests in %s", s.Name, s.Seed, len(t.Requests), s.Duration())
	results := run.Do(ctx, f, t, answerTokens)
	m := measure.Compute(results)
	if c.out != "" {
		record := &report.Record{Measures: m, Curves: measure.ComputeCurves(results)}
		if err := report.WriteJSON(c.out, record); err != nil {
			return err
		}
	}
	return errors.Wrap(report.Print(os.Stdout, m), "print")
}

// loadFleet reads the fleet file, or describes the fleet by the other flags if none is
// given.
func (c *runCommand) loadFleet() (*fleet.Fleet, error) {
	if c.fleetFile != "" {
		return fleet.Load(c.fleetFile)
	}
	f := &fleet.Fleet{
		Policy:    c.policy,
		Engines:   make([]fleet.Upstream, c.engines),
		Slots:     c.slots,
		TokenTime: c.tokenTime,
	}
	var admins []string
	if c.admins != "" {
		admins = strings.Split(c.admins, ",")
	}
	for i, addr := range strings.Split(c.routers, ",") {
		router := fleet.Router{Name: fmt.Sprintf("r%d", i+1), Addr: addr}
		if i < len(admins) {
			router.Admin = admins[i]
		}
		f.Routers = append(f.Routers, router)
	}
	return f, f.Check()
}
