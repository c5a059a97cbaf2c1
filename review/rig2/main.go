//go:build review

package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

var rec = &record{began: time.Now()}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if r.file != nil {
		fmt.Fprintln(r.file, line)
	}
}

// recordRuns records the requests that servers ran.
func recordRuns(servers []*standin.UpstreamServer) {
	for _, s := range servers {
		for _, e := range s.ExecutedRequests() {
			rec.add("%s ran %s at %.3f", s.ID(), e.RequestID, e.At.Sub(rec.began).Seconds())
		}
	}
}

func say(format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// stopped is set before a case exits early, to end what it started.
var cleanup func()

func fail(format string, args ...any) {
	say("could not run: "+format, args...)
	if cleanup != nil {
		cleanup()
	}
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// cases are the scripts, by name. Each returns whether the rule held.
var cases = map[string]func(program string, trouble bool) bool{}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/heatherloom", "the program of the deploy file")
	out := flag.String("record", "", "file for the record")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	if *out != "" {
		f, err := os.Create(*out)
		must(err)
		rec.file = f
	}
	held := run(*program, os.Getenv("TROUBLE") != "0")
	if cleanup != nil {
		cleanup()
	}
	if !held {
		say("the rule was broken")
		os.Exit(1)
	}
	say("the rule held")
}
