package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

func runVersion(args []string) int {
	flags := newFlagSet("version", "Prints the module version, the commit and the Go version of this binary.", "version")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	version, commit := buildVersion()
	fmt.Printf("%s version=%s commit=%s go=%s\n", programName, version, commit, runtime.Version())
	return exitOK
}

// buildVersion returns the version and commit that the Go toolchain recorded in the
// binary, or "unknown" for a missing one.
func buildVersion() (version, commit string) {
	version, commit = "unknown", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, commit
	}
	if info.Main.Version != "" {
		version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			commit = setting.Value
		}
	}
	return version, commit
}
