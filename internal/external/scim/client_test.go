package scim_test

import (
	"fmt"
	"testing"

	"heatherloom/internal/external"
	"heatherloom/internal/external/scim"
	"heatherloom/internal/standin"
)

// Guards against accounts that are lost at page boundaries, against a list that changes between
// pages and is taken as complete, and against an outage that is reported as an empty list, which
// a directory that lags returns without an error.
func TestAccountsReadsAllPages(t *testing.T) {
	directory, err := standin.StartDirectory("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer directory.Close()
	for n := range 450 {
		directory.Set(external.DirectoryAccount{Name: fmt.Sprint("account-", n), Active: n%3 != 0})
	}
	expect := func(filter string, all, inactive int) {
		t.Helper()
		accounts, err := scim.New(directory.URL(), filter).Accounts(t.Context())
		seen := map[string]bool{}
		for _, a := range accounts {
			seen[a.Name] = true
			if !a.Active {
				inactive--
			}
		}
		if err != nil || len(seen) != all || inactive != 0 {
			t.Errorf("filter %q returned %d accounts, %d inactive ones are missing, %v; want %d", filter, len(seen), inactive, err, all)
		}
	}
	expect("", 450, 150)
	expect(scim.FilterInactive, 150, 150)
	directory.SetFaults(standin.DirectoryFaults{LagMS: 60_000})
	expect("", 0, 0)
	directory.SetFaults(standin.DirectoryFaults{Outage: true})
	if _, err := scim.New(directory.URL(), "").Accounts(t.Context()); err == nil {
		t.Error("an outage was reported as an empty list")
	}
}
