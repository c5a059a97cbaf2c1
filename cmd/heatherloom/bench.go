package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"heatherloom/internal/bench"
	"heatherloom/internal/routing"
)

// benchFlags holds the flags of the bench subcommand.
type benchFlags struct {
	profile, policy, baseline, csv, html string
	plan                                 bench.Plan
}

func runBench(args []string) int {
	flags := newFlagSet("bench", "Measures routing policies with real entry instances over loopback against stand-in upstreams.",
		"bench -profile derwent -policy default -baseline least-outstanding -seed 1 -duration 20s",
		"bench -profile guild -baseline power-of-two -fault region-loss -html report.html",
		"bench -profile derwent -greedy 5 -o report.csv")
	f := defineBenchFlags(flags)
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	if err := f.complete(); err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom bench:", err)
		return exitUsage
	}
	report, err := bench.Run(context.Background(), f.plan)
	if err == nil {
		err = report.WriteText(os.Stdout)
	}
	if err == nil {
		err = report.WriteFiles(f.csv, f.html)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom bench:", err)
		return exitFailure
	}
	return exitOK
}

func defineBenchFlags(flags *flag.FlagSet) *benchFlags {
	f := &benchFlags{plan: bench.NewPlan(bench.Profile{})}
	flags.StringVar(&f.profile, "profile", "derwent", "deployment and load: derwent or guild")
	flags.StringVar(&f.policy, "policy", routing.NameDefault, "routing policy: "+strings.Join(routing.PolicyNames(), ", "))
	flags.StringVar(&f.baseline, "baseline", "", "policy to compare with on the same seed, or several separated by commas; empty for none")
	flags.Uint64Var(&f.plan.Seed, "seed", f.plan.Seed, "seed of the load")
	flags.DurationVar(&f.plan.Duration, "duration", f.plan.Duration, "length of the load for each policy, which represents one day")
	flags.Float64Var(&f.plan.Rate, "rate", 0, "requests per second over all regions; 0 for 70% of the capacity at the peak")
	flags.Float64Var(&f.plan.GreedyFactor, "greedy", 0, "one client account sends this many times its rate; 0 for none")
	flags.StringVar(&f.plan.Fault, "fault", f.plan.Fault, "fault from one third to two thirds of the run: "+strings.Join(bench.FaultNames(), ", "))
	flags.Float64Var(&f.plan.Simulation.TimeScale, "time-scale", f.plan.Simulation.TimeScale, "simulated seconds per second")
	flags.StringVar(&f.csv, "o", "", "write the requests to this CSV `FILE`")
	flags.StringVar(&f.html, "html", "", "write a report with plots to this `FILE`")
	return f
}

// complete fills in the plan from the flags and validates it.
func (f *benchFlags) complete() error {
	profile, err := bench.ProfileByName(f.profile)
	if err != nil {
		return err
	}
	f.plan.Profile = profile
	f.plan.Policies = []string{f.policy}
	if f.baseline != "" {
		f.plan.Policies = append(f.plan.Policies, strings.Split(f.baseline, ",")...)
	}
	for _, name := range f.plan.Policies {
		if _, err := routing.NewPolicy(name, routing.Weights{}, nil); err != nil {
			return err
		}
	}
	return f.plan.Validate()
}
