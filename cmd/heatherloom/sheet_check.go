package main

import (
	"context"
	"fmt"
	"time"

	"heatherloom/internal/sheet"
)

func runSheetCheck(args []string) int {
	flags := newFlagSet("sheet check FILE",
		"Checks a sheet without changing anything. Prints every error by row and column and\nexits with status 2, or prints one line and exits with status 0. With -store it also\nchecks references to accounts, models and services that only the configuration has.",
		"sheet check morning.csv",
		"sheet check morning.csv -store http://10.1.0.2:2379")
	address := flags.String("store", "", "base `URL` of the key-value service; optional")
	values, status, done := parseFlags(flags, args)
	if done {
		return status
	}
	known := sheet.ParseOptions{Now: time.Now()}
	if *address != "" {
		store, ok := openStore("sheet check", *address)
		if !ok {
			return exitUsage
		}
		ctx, cancel := context.WithTimeout(context.Background(), sheetTimeout)
		defer cancel()
		if known.Config, ok = loadConfig(ctx, "sheet check", store); !ok {
			return exitFailure
		}
	}
	s, ok := readSheet(values[0], known)
	if !ok {
		return exitUsage
	}
	fmt.Printf("%s: valid sheet with %d records\n", values[0], len(s.Rows))
	return exitOK
}
