package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/sheet"
)

// consent holds the kinds of changes that the operator allowed.
type consent struct {
	removals       bool
	reinstatements bool
}

func runSheetApply(args []string) int {
	flags := newFlagSet("sheet apply FILE",
		"Makes the sheet the accepted configuration. Changes nothing and exits with status 1\nif a record would be removed because the sheet lacks it, if a withdrawn key would\nbecome valid again, or if another operator's apply was accepted first.",
		"sheet apply morning.csv -store http://10.1.0.2:2379",
		"sheet apply morning.csv -store http://10.1.0.2:2379 -allow-removals")
	address := storeFlag(flags)
	var allowed consent
	flags.BoolVar(&allowed.removals, "allow-removals", false, "remove records, and withdraw keys, that the sheet lacks")
	flags.BoolVar(&allowed.reinstatements, "allow-reinstated", false, "make withdrawn keys valid again that the sheet lists as active")
	values, status, done := parseFlags(flags, args)
	if done {
		return status
	}
	store, ok := openStore("sheet apply", *address)
	if !ok {
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), sheetTimeout)
	defer cancel()
	config, ok := loadConfig(ctx, "sheet apply", store)
	if !ok {
		return exitFailure
	}
	s, ok := readSheet(values[0], sheet.ParseOptions{Now: time.Now(), Config: config})
	if !ok {
		return exitUsage
	}
	return applySheet(ctx, store, values[0], config, sheet.Diff(config, s), allowed)
}

func applySheet(ctx context.Context, store external.Store, path string, config *opconfig.Config, changes []sheet.Change, allowed consent) int {
	if len(changes) == 0 {
		fmt.Printf("%s: nothing to change; revision %d already has this sheet\n", path, config.Revision)
		return exitOK
	}
	if refused := allowed.refused(changes); len(refused) > 0 {
		fmt.Fprintf(os.Stderr, "%s: not applied, nothing was changed. These changes need -allow-removals (remove, withdraw) or -allow-reinstated (reinstate):\n", path)
		for _, change := range refused {
			fmt.Fprintln(os.Stderr, change)
		}
		return exitFailure
	}
	var records []opconfig.Change
	for _, change := range changes {
		records = append(records, change.ConfigChange)
	}
	publisher := &configsync.Publisher{Store: store}
	revision, err := publisher.Apply(ctx, config.Revision, records)
	if err != nil {
		printApplyError(path, config, err)
		return exitFailure
	}
	fmt.Printf("%s: accepted as revision %d, %d changes\n", path, revision, len(changes))
	printChanges(changes)
	return exitOK
}

// refused returns the changes that require a consent that was not given.
func (c consent) refused(changes []sheet.Change) []sheet.Change {
	var refused []sheet.Change
	for _, change := range changes {
		removal := change.Implicit && !c.removals
		reinstatement := change.Action == sheet.ActionReinstate && !c.reinstatements
		if removal || reinstatement {
			refused = append(refused, change)
		}
	}
	return refused
}

func printApplyError(path string, config *opconfig.Config, err error) {
	var conflict *configsync.ConflictError
	switch {
	case errors.As(err, &conflict):
		fmt.Fprintf(os.Stderr, "%s: not applied, nothing was changed: %v. They are:\n", path, conflict)
		for _, change := range conflict.Changes {
			fmt.Fprintln(os.Stderr, sheet.DescribeChange(config, change))
		}
		fmt.Fprintln(os.Stderr, "Run 'heatherloom sheet diff' to see what this sheet would change now.")
	case errors.Is(err, external.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded):
		fmt.Fprintf(os.Stderr, "%s: the apply is not confirmed; if it was sent, it may have been accepted: %v\n", path, err)
		fmt.Fprintln(os.Stderr, "Run 'heatherloom sheet diff' when the key-value service responds again: it lists no changes if the apply was accepted.")
	default:
		fmt.Fprintf(os.Stderr, "%s: the apply did not complete: %v\n", path, err)
	}
}
