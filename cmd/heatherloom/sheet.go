package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/settings"
	"heatherloom/internal/sheet"
)

// sheetTimeout bounds a sheet command. It is long enough to query 920 instances that do
// not respond.
const sheetTimeout = time.Minute

func sheetCommands() []command {
	return []command{
		{"check", "check a sheet and print every error in it", runSheetCheck},
		{"diff", "print what a sheet would change", runSheetDiff},
		{"apply", "make a sheet the accepted configuration", runSheetApply},
		{"status", "print the state of each row of a sheet", runSheetStatus},
	}
}

func runSheet(args []string) int {
	return runTable("sheet", sheetCommands(), args)
}

func storeFlag(flags *flag.FlagSet) *string {
	return flags.String("store", "", "base `URL` of the key-value service; required")
}

// openStore returns a client of the key-value service at the address. It prints an error
// if the address is not a valid base URL.
func openStore(command, address string) (external.Store, bool) {
	base, err := settings.ParseBaseURL(address)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: -store: %v\n", commandLine(command), err)
		return nil, false
	}
	return etcdgw.New(base), true
}

// loadConfig reads the accepted configuration. It prints an error if that fails.
func loadConfig(ctx context.Context, command string, store external.Store) (*opconfig.Config, bool) {
	config, err := configsync.Load(ctx, store)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: the configuration cannot be read: %v\n", commandLine(command), err)
		return nil, false
	}
	return config, true
}

// readSheet parses a sheet file and prints the errors in it.
func readSheet(path string, known sheet.ParseOptions) (sheet.Sheet, bool) {
	file, err := os.Open(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: the sheet cannot be read: %v\n", path, err)
		return sheet.Sheet{}, false
	}
	defer file.Close()
	s, problems := sheet.Parse(file, known)
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, problem)
	}
	return s, len(problems) == 0
}

func printChanges(changes []sheet.Change) {
	for _, change := range changes {
		fmt.Println(change)
	}
}
