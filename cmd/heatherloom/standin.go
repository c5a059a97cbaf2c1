package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
)

// standinFlags holds the flags of the standin subcommand.
type standinFlags struct {
	kind          string
	listen        string
	tokenInterval time.Duration
	recordRuns    bool
	target        string
	control       string
}

func addStandinFlags(flags *flag.FlagSet) *standinFlags {
	var f standinFlags
	flags.StringVar(&f.kind, "kind", "", "store, instances, directory, engine, service, weights or proxy")
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "`ADDRESS` as host:port")
	flags.DurationVar(&f.tokenInterval, "token-interval", 5*time.Millisecond, "time between two tokens of an engine")
	flags.BoolVar(&f.recordRuns, "record-runs", false, "make an engine count the executions of each request, for GET /standin/runs")
	flags.StringVar(&f.target, "target", "", "`ADDRESS` that a proxy connects to, as host:port")
	flags.StringVar(&f.control, "control", "127.0.0.1:0", "`ADDRESS` of the control endpoint of a proxy, as host:port")
	return &f
}

// runningStandin is a stand-in that was started.
type runningStandin struct {
	url string
	// control is the URL of the control endpoint of a proxy.
	control string
	close   func()
}

func runStandin(args []string) int {
	flags := newFlagSet("standin", "Runs a stand-in for an external system on loopback until SIGTERM or an interrupt.",
		"standin -kind store -listen 127.0.0.1:2379",
		"standin -kind engine -token-interval 20ms",
		"standin -kind proxy -target 127.0.0.1:9001 -listen 127.0.0.1:9000 -control 127.0.0.1:9002")
	f := addStandinFlags(flags)
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	running, err := startStandin(*f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	fmt.Printf("standin=%s url=%s control=%s\n", f.kind, running.url, running.control)
	waitForSignal()
	running.close()
	return exitOK
}

func startStandin(f standinFlags) (runningStandin, error) {
	switch f.kind {
	case "store":
		return runningServer(standin.StartStore(f.listen))
	case "instances":
		return runningServer(standin.StartInstanceList(f.listen))
	case "directory":
		return runningServer(standin.StartDirectory(f.listen))
	case "engine":
		return runningServer(startEngine(f))
	case "service":
		return runningServer(standin.StartService(f.listen))
	case "weights":
		return runningServer(standin.StartWeightStore(f.listen))
	case "proxy":
		return startProxy(f)
	default:
		return runningStandin{}, fmt.Errorf("unknown kind %q; allowed are store, instances, directory, engine, service, weights and proxy", f.kind)
	}
}

// server is a stand-in with one listener.
type server interface {
	URL() string
	Close()
}

func runningServer[S server](s S, err error) (runningStandin, error) {
	if err != nil {
		return runningStandin{}, err
	}
	return runningStandin{url: s.URL(), control: s.URL(), close: s.Close}, nil
}

func startEngine(f standinFlags) (*standin.Engine, error) {
	engine, err := standin.StartEngine(f.listen, f.tokenInterval)
	if err == nil && f.recordRuns {
		engine.RecordExecutions()
	}
	return engine, err
}

func startProxy(f standinFlags) (runningStandin, error) {
	if f.target == "" {
		return runningStandin{}, errors.New("a proxy needs -target host:port")
	}
	proxy, err := faultproxy.Start(f.listen, f.target)
	if err != nil {
		return runningStandin{}, err
	}
	control, err := faultproxy.ServeControl(proxy, f.control)
	if err != nil {
		proxy.Close()
		return runningStandin{}, err
	}
	stop := func() {
		control.Close()
		proxy.Close()
	}
	return runningStandin{url: "http://" + proxy.Address(), control: control.URL(), close: stop}, nil
}
