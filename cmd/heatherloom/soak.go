package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"

	"heatherloom/internal/soak"
)

func runSoak(args []string) int {
	flags := newFlagSet("soak", "Runs entry instances as processes against stand-ins for the platform, injects random faults\nand checks the guarantees of the gateway. Exits with status 1 if one is violated.",
		"soak -seed 7 -duration 30s", "soak -seed 7 -duration 5m -per-region 10 -logs /tmp/soak")
	var o soak.Options
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of requests and faults")
	flags.DurationVar(&o.Duration, "duration", 30*time.Second, "time during which faults are injected")
	flags.IntVar(&o.InstancesPerRegion, "per-region", 2, "entry instances in each of the two regions")
	logs := flags.String("logs", "", "existing `DIRECTORY` for settings and logs; default a temporary one, which is kept if a guarantee is violated")
	program := flags.String("program", "", "heatherloom `BINARY` to run; default this one")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	if o.InstancesPerRegion < 1 || o.Duration <= 0 {
		fmt.Fprintf(os.Stderr, "%s: -per-region and -duration must be positive\n", commandLine("soak"))
		return exitUsage
	}
	executable, err := os.Executable()
	if err != nil && *program == "" {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	o.Binary = cmp.Or(*program, executable)
	return executeSoak(o, *logs)
}

// executeSoak runs the soak test and keeps its logs if it fails.
func executeSoak(o soak.Options, logs string) int {
	o.Dir = logs
	if logs == "" {
		dir, err := os.MkdirTemp("", "heatherloom-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "heatherloom:", err)
			return exitFailure
		}
		o.Dir = dir
	}
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "heatherloom: the soak test could not be run: %v; logs in %s\n", err, o.Dir)
		return exitFailure
	}
	report.Print(os.Stdout)
	if !report.OK() {
		fmt.Fprintf(os.Stderr, "heatherloom: logs in %s\n", o.Dir)
		return exitFailure
	}
	if logs == "" {
		_ = os.RemoveAll(o.Dir)
	}
	return exitOK
}
