// Command heatherloom is a multi-region inference gateway.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(args []string) int
}

func commands() []command {
	return []command{
		{"serve", "run an entry instance", runServe},
		{"dev", "run a development cluster of three regions in one process", runDev},
		{"standin", "run a stand-in of an outside part, for development and tests", runStandin},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		usage()
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:])
		}
	}
	fmt.Fprintf(os.Stderr, "heatherloom: unknown command %q\n", args[0])
	usage()
	return exitUsage
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: heatherloom COMMAND [flags]")
	for _, c := range commands() {
		fmt.Fprintf(os.Stderr, "  %-10s %s\n", c.name, c.summary)
	}
}
