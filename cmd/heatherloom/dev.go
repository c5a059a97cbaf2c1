package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/devcluster"
)

// devFlags are the flags of the dev subcommand.
type devFlags struct {
	requests int
	seed     uint64
	faults   bool
	log      bool
}

func runDev(args []string) int {
	var f devFlags
	flags := newFlagSet("dev", "Runs a development cluster of three regions in one process: stand-ins of all outside\nparts and an entry instance in each region, on free loopback ports.",
		"dev", "dev -requests 200", "dev -requests 200 -seed 7", "dev -requests 4000 -faults -seed 3")
	flags.IntVar(&f.requests, "requests", 0, "send `N` requests, check every answer and exit")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the requests")
	flags.BoolVar(&f.faults, "faults", false, "inject faults while the requests run; only wrong answers, false statements\nand writes that ran twice count as failures then")
	flags.BoolVar(&f.log, "log", true, "write log lines to stderr; off by default with -requests")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	if f.faults && f.requests == 0 {
		fmt.Fprintf(os.Stderr, "%s: -faults needs -requests\n", commandLine("dev"))
		return exitUsage
	}
	if f.requests < 0 {
		fmt.Fprintf(os.Stderr, "%s: -requests must not be negative, not %d\n", commandLine("dev"), f.requests)
		return exitUsage
	}
	logSet := false
	flags.Visit(func(set *flag.Flag) { logSet = logSet || set.Name == "log" })
	if f.requests > 0 && !logSet {
		f.log = false
	}
	log := logrus.New()
	if !f.log {
		log.SetOutput(io.Discard)
	}
	ctx := context.Background()
	cluster, err := devcluster.Start(ctx, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	defer cluster.Close()
	if err := cluster.WaitReady(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	if f.requests > 0 {
		return verifyDev(ctx, cluster, f)
	}
	printDev(cluster)
	waitForSignal()
	return exitOK
}

// verifyDev sends the requests. The report is the last line of the output.
func verifyDev(ctx context.Context, cluster *devcluster.Cluster, f devFlags) int {
	load := devcluster.Load{Count: f.requests, Seed: f.seed}
	if f.faults {
		report := devcluster.RunWithFaults(ctx, cluster, load)
		return printVerdict(report, report.Failures)
	}
	report := devcluster.RunRequests(ctx, cluster, load)
	return printVerdict(report, report.Failures)
}

// verdict is the report of a verification.
type verdict interface {
	fmt.Stringer
	OK() bool
}

func printVerdict(report verdict, failures []string) int {
	for _, failure := range failures {
		fmt.Fprintln(os.Stderr, "heatherloom:", failure)
	}
	fmt.Println(report)
	if !report.OK() {
		return exitFailure
	}
	return exitOK
}

func printDev(cluster *devcluster.Cluster) {
	for _, entry := range cluster.Entries {
		fmt.Printf("entry=%s region=%s url=%s operator=%s\n", entry.ID, entry.Region, entry.URL, entry.OperatorURL)
	}
	fmt.Println("try:")
	fmt.Printf("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		cluster.Entries[0].URL, cluster.Config.Keys[0].Secret, cluster.Config.Models[0].Name)
	fmt.Printf("  export %s=%s\n", tokenVariable, devcluster.OperatorToken)
	for _, command := range []string{"status", "timeline"} {
		fmt.Printf("  heatherloom %s -operator %s\n", command, cluster.Entries[0].OperatorURL)
	}
}
