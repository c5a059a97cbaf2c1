//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"copy":  playCopy,
	"pause": playPause,
	"drill": playDrill,
	"extra": playExtra,
	"part":  playPart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		return exitUnusable
	}
	c, err := newCluster(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-rig:", err)
		return exitUnusable
	}
	defer c.close()
	broken, err := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	c.recordRuns()
	switch {
	case err != nil:
		c.say("the case could not run: %v", err)
		return exitUnusable
	case broken:
		c.say("result: the rule was broken")
		return exitBroken
	default:
		c.say("result: the rule held")
		return exitHeld
	}
}
