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

// devFlags holds the flags of the dev subcommand.
type devFlags struct {
	requests int
	seed     uint64
	faults   bool
	log      bool
}

func runDev(args []string) int {
	var f devFlags
	flags := newFlagSet("dev", "Runs a development cluster of three regions in one process: stand-ins for all external\nsystems and entry instances in each region, on free loopback ports.",
		"dev", "dev -requests 200", "dev -requests 200 -seed 7", "dev -requests 4000 -faults -seed 3")
	flags.IntVar(&f.requests, "requests", 0, "send `N` requests, check every response and exit")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the requests")
	flags.BoolVar(&f.faults, "faults", false, "inject faults while the requests run; then only wrong responses, rejections\nthat falsely report a request as not run and writes that ran twice count as failures")
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
		return runVerification(ctx, cluster, f)
	}
	printCluster(cluster)
	waitForSignal()
	return exitOK
}

// runVerification sends the requests and prints the report as the last line of output.
func runVerification(ctx context.Context, cluster *devcluster.Cluster, f devFlags) int {
	load := devcluster.LoadSpec{Count: f.requests, Seed: f.seed}
	if f.faults {
		report := devcluster.RunWithFaults(ctx, cluster, load)
		return printReport(report, report.Failures)
	}
	report := devcluster.RunRequests(ctx, cluster, load)
	return printReport(report, report.Failures)
}

// verificationReport is the result of a run with or without faults.
type verificationReport interface {
	fmt.Stringer
	OK() bool
}

func printReport(report verificationReport, failures []string) int {
	for _, failure := range failures {
		fmt.Fprintln(os.Stderr, "heatherloom:", failure)
	}
	fmt.Println(report)
	if !report.OK() {
		return exitFailure
	}
	return exitOK
}

func printCluster(cluster *devcluster.Cluster) {
	for _, entry := range cluster.Entries {
		fmt.Printf("entry=%s region=%s url=%s operator=%s\n", entry.ID, entry.Region, entry.URL, entry.OperatorURL)
	}
	fmt.Println("try:")
	fmt.Printf("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		cluster.Entries[0].URL, cluster.Config.APIKeys[0].Secret, cluster.Config.Models[0].Name)
	fmt.Printf("  export %s=%s\n", tokenVariable, devcluster.OperatorToken)
	for _, command := range []string{"status", "timeline"} {
		fmt.Printf("  heatherloom %s -operator %s\n", command, cluster.Entries[0].OperatorURL)
	}
}
