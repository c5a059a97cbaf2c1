package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"heatherloom/internal/fleetstatus"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/sheet"
)

func runSheetStatus(args []string) int {
	flags := newFlagSet("sheet status FILE",
		"Prints for each row whether it is accepted, in force on how many instances, done, or\ntaken back and why. With -operator it queries these instances and all peers\nthat they list. Exits with status 1 if a row is not accepted or taken back, or if an\ninstance does not respond.",
		"sheet status morning.csv -store http://10.1.0.2:2379 -operator http://10.1.0.7:9090,http://10.2.0.7:9090")
	address := storeFlag(flags)
	operators := flags.String("operator", "", "base `URL,...` of operator listeners; without it only the key-value service is queried")
	access := addOperatorAccess(flags)
	values, status, done := parseFlags(flags, args)
	if done {
		return status
	}
	store, ok := openStore("sheet status", *address)
	if !ok {
		return exitUsage
	}
	newClient, err := access.clientFactory()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", commandLine("sheet status"), err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), sheetTimeout)
	defer cancel()
	config, ok := loadConfig(ctx, "sheet status", store)
	if !ok {
		return exitFailure
	}
	s, ok := readSheet(values[0], sheet.ParseOptions{Config: config})
	if !ok {
		return exitUsage
	}
	instances := fleetstatus.Collect(ctx, newClient, splitList(*operators))
	responses, unresponsive := splitByResponse(instances)
	fmt.Printf("%s: revision %d is accepted; %d of %d instances answered\n", values[0], config.Revision, len(responses), len(instances))
	for _, instance := range unresponsive {
		fmt.Printf("instance %s does not answer at %s: %v\n", instance.Name(), instance.URL, instance.Err)
	}
	result := sheet.Status(config, s, responses, len(instances))
	for _, row := range result {
		fmt.Println(row)
	}
	if len(unresponsive) > 0 || hasFailed(result) {
		return exitFailure
	}
	return exitOK
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == ' ' })
}

// splitByResponse separates the states of the instances that responded from the
// instances that did not.
func splitByResponse(instances []fleetstatus.Instance) (responses []operatorapi.Status, unresponsive []fleetstatus.Instance) {
	for _, instance := range instances {
		if instance.Status == nil {
			unresponsive = append(unresponsive, instance)
			continue
		}
		responses = append(responses, *instance.Status)
	}
	return responses, unresponsive
}

func hasFailed(rows []sheet.RowStatus) bool {
	for _, row := range rows {
		if row.State == sheet.RowNotAccepted || row.State == sheet.RowRolledBack {
			return true
		}
	}
	return false
}
