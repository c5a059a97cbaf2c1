package main

import (
	"context"
	"fmt"
	"time"

	"heatherloom/internal/sheet"
)

func runSheetDiff(args []string) int {
	flags := newFlagSet("sheet diff FILE",
		"Prints what the sheet would change in the accepted configuration. Changes nothing.",
		"sheet diff morning.csv -store http://10.1.0.2:2379")
	address := storeFlag(flags)
	values, status, done := parseFlags(flags, args)
	if done {
		return status
	}
	store, ok := openStore("sheet diff", *address)
	if !ok {
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), sheetTimeout)
	defer cancel()
	config, ok := loadConfig(ctx, "sheet diff", store)
	if !ok {
		return exitFailure
	}
	s, ok := readSheet(values[0], sheet.ParseOptions{Now: time.Now(), Config: config})
	if !ok {
		return exitUsage
	}
	changes := sheet.Diff(config, s)
	fmt.Printf("%s: %d changes against revision %d\n", values[0], len(changes), config.Revision)
	printChanges(changes)
	return exitOK
}
