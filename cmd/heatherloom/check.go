package main

import (
	"fmt"
	"os"

	"heatherloom/internal/settings"
)

func runCheck(args []string) int {
	flags := newFlagSet("check", "Checks a settings file without starting anything. Prints every error and exits with\nstatus 2, or prints one line and exits with status 0.",
		"check -config /etc/heatherloom/hobart-1.ini")
	path := flags.String("config", "heatherloom.ini", "settings `FILE`")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	s, ok := loadSettings(*path)
	if !ok {
		return exitUsage
	}
	fmt.Printf("%s: valid settings of instance %s in region %s, failure domain %s\n", *path, s.Instance.ID, s.Instance.Region, s.Instance.FailureDomain)
	return exitOK
}

// loadSettings loads a settings file and prints the errors in it to standard error.
func loadSettings(path string) (settings.Settings, bool) {
	s, problems := settings.Load(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return s, len(problems) == 0
}
