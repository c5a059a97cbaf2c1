package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

const programName = "heatherloom"

// undefinedFlagPrefix is the prefix of the error that package flag returns for an unknown
// flag.
const undefinedFlagPrefix = "flag provided but not defined: -"

// newFlagSet returns the flag set of a subcommand whose -h prints the summary, the flags
// and the examples. name is the command's name followed by its required arguments in
// upper case, as in "sheet diff FILE". Each example is a command line without the
// program name.
func newFlagSet(name, summary string, examples ...string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.Usage = func() { printHelp(flags, summary, examples) }
	return flags
}

func printHelp(flags *flag.FlagSet, summary string, examples []string) {
	w := flags.Output()
	fmt.Fprintf(w, "usage: %s [flags]\n\n%s\n", commandLine(flags.Name()), summary)
	if len(flagNames(flags)) > 0 {
		fmt.Fprintf(w, "\nflags:\n")
		flags.PrintDefaults()
	}
	fmt.Fprintf(w, "\nexamples:\n")
	for _, example := range examples {
		fmt.Fprintf(w, "  %s\n", commandLine(example))
	}
}

// parseFlags parses args, in which flags and required arguments may be mixed, and
// returns the required arguments in order. If done is true, the help or an error was
// printed and the subcommand must return status.
func parseFlags(flags *flag.FlagSet, args []string) (values []string, status int, done bool) {
	values, err := parseMixed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		flags.SetOutput(os.Stdout)
		flags.Usage()
		return nil, exitOK, true
	}
	if err == nil {
		err = checkArguments(flags, values)
	}
	if err != nil {
		command, _ := splitName(flags.Name())
		fmt.Fprintf(os.Stderr, "%s: %s\nRun '%s -h' for help.\n", commandLine(command), describe(flags, err), commandLine(command))
		return nil, exitUsage, true
	}
	return values, exitOK, false
}

// parseMixed parses flags before, between and after the other arguments, as package flag
// stops at the first argument that is not a flag.
func parseMixed(flags *flag.FlagSet, args []string) ([]string, error) {
	usage := flags.Usage
	defer func() { flags.Usage = usage }()
	flags.Usage = func() {}
	flags.SetOutput(io.Discard)
	defer flags.SetOutput(os.Stderr)
	var values []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		rest := flags.Args()
		if len(rest) == 0 {
			return values, nil
		}
		if consumed := len(args) - len(rest); consumed > 0 && args[consumed-1] == "--" {
			return append(values, rest...), nil
		}
		values = append(values, rest[0])
		args = rest[1:]
	}
}

func checkArguments(flags *flag.FlagSet, values []string) error {
	_, required := splitName(flags.Name())
	if len(values) < len(required) {
		return fmt.Errorf("argument %s is missing", required[len(values)])
	}
	if len(values) > len(required) {
		return fmt.Errorf("unexpected argument %q", values[len(required)])
	}
	return nil
}

// describe returns the error text, which suggests the nearest known flag for an unknown
// one.
func describe(flags *flag.FlagSet, err error) string {
	unknown, ok := strings.CutPrefix(err.Error(), undefinedFlagPrefix)
	if !ok {
		return err.Error()
	}
	names := flagNames(flags)
	if len(names) == 0 {
		return fmt.Sprintf("unknown flag -%s; the command has no flags", unknown)
	}
	return fmt.Sprintf("unknown flag -%s; did you mean -%s?", unknown, nearest(unknown, names))
}

func flagNames(flags *flag.FlagSet) []string {
	var names []string
	flags.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	return names
}

// splitName separates the name of a flag set into the command and its required
// arguments.
func splitName(name string) (command string, required []string) {
	words := strings.Fields(name)
	first := slices.IndexFunc(words, func(w string) bool { return w == strings.ToUpper(w) })
	if first < 0 {
		return name, nil
	}
	return strings.Join(words[:first], " "), words[first:]
}

// commandLine returns words prefixed with the program name.
func commandLine(words string) string {
	return strings.TrimSpace(programName + " " + words)
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help"
}

// nearest returns the candidate with the smallest edit distance to word.
func nearest(word string, candidates []string) string {
	return slices.MinFunc(candidates, func(a, b string) int {
		return levenshtein.ComputeDistance(word, a) - levenshtein.ComputeDistance(word, b)
	})
}
