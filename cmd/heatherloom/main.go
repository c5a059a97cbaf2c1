// Command heatherloom is a multi-region inference gateway.
package main

import (
	"fmt"
	"io"
	"os"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand. run receives the arguments after its name and returns the
// exit status of the process.
type command struct {
	name    string
	summary string
	run     func(args []string) int
}

func commands() []command {
	return []command{
		{"serve", "run an entry instance", runServe},
		{"check", "check a settings file and print every error in it", runCheck},
		{"sheet", "check, compare, apply or track the operators' sheet", runSheet},
		{"bench", "measure routing policies against stand-in upstreams", runBench},
		{"version", "print the version of this binary", runVersion},
		{"status", "show the state of an entry instance", runStatus},
		{"timeline", "merge the recent events of all entry instances", runTimeline},
		{"drain", "take an entry instance out of service", runDrain},
		{"dev", "run a development cluster of three regions in one process", runDev},
		{"soak", "run processes under random faults and check the guarantees", runSoak},
		{"standin", "run a stand-in for an external system, for development and tests", runStandin},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	return runTable("", commands(), args)
}

// runTable runs the command of the table that the first argument names. parent is the
// name of the command to which the table belongs; empty for the main table.
func runTable(parent string, table []command, args []string) int {
	if len(args) == 0 {
		printCommands(os.Stderr, parent, table)
		return exitUsage
	}
	if isHelp(args[0]) {
		printCommands(os.Stdout, parent, table)
		return exitOK
	}
	for _, c := range table {
		if c.name == args[0] {
			return c.run(args[1:])
		}
	}
	names := make([]string, 0, len(table))
	for _, c := range table {
		names = append(names, c.name)
	}
	fmt.Fprintf(os.Stderr, "%s: unknown command %q; did you mean %q?\n", commandLine(parent), args[0], nearest(args[0], names))
	printCommands(os.Stderr, parent, table)
	return exitUsage
}

func printCommands(w io.Writer, parent string, table []command) {
	fmt.Fprintf(w, "usage: %s COMMAND [flags]\n\ncommands:\n", commandLine(parent))
	for _, c := range table {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	fmt.Fprintf(w, "\nRun '%s COMMAND -h' for the flags and examples of a command.\n", commandLine(parent))
}
