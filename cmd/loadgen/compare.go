package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/loadgen/chart"
	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
	"github.com/jujubeford/jujubeford/internal/loadgen/report"
)

// compareCommand prints the measures of several runs side by side.
type compareCommand struct{ out string }

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "set baseline and current side by side" }
func (*compareCommand) Usage() string {
	return "compare [-o FILE] RECORD...\n" +
		"  Prints each measure as median (minimum to maximum) over the rounds.\n"
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "o", "", "the file for the comparison as JSON")
}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "loadgen compare: no records")
		return subcommands.ExitUsageError
	}
	if err := c.compare(f.Args()); err != nil {
		klog.Errorf("loadgen: %v", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *compareCommand) compare(paths []string) error {
	var runs []*measure.Measures
	for _, path := range paths {
		record, err := report.Read(path)
		if err != nil {
			return err
		}
		runs = append(runs, record.Measures)
	}
	lines := report.Compare(runs)
	if err := report.PrintComparison(os.Stdout, lines); err != nil {
		return err
	}
	if c.out == "" {
		return nil
	}
	return report.WriteJSON(c.out, lines)
}

// plotCommand draws the curves in the records of runs.
type plotCommand struct{}

func (*plotCommand) Name() string             { return "plot" }
func (*plotCommand) Synopsis() string         { return "draw service, demand and ideal over time" }
func (*plotCommand) SetFlags(_ *flag.FlagSet) {}
func (*plotCommand) Usage() string {
	return "plot RECORD...\n  Writes SVG and PNG files beside each record.\n"
}

func (*plotCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "loadgen plot: no records")
		return subcommands.ExitUsageError
	}
	for _, path := range f.Args() {
		if err := drawRecord(path); err != nil {
			klog.Errorf("loadgen: %v", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func drawRecord(path string) error {
	record, err := report.Read(path)
	if err != nil {
		return err
	}
	title := record.Measures.Scenario + ", " + record.Measures.Policy
	names, err := chart.Draw(strings.TrimSuffix(path, ".json"), title, record.Curves)
	for _, name := range names {
		fmt.Println(name)
	}
	return err
}
