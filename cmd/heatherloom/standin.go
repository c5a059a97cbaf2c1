package main

import (
	"fmt"
	"os"
	"time"

	"heatherloom/internal/standin"
)

type standinServer interface {
	URL() string
	Close()
}

func runStandin(args []string) int {
	flags := newFlagSet("standin", "Runs a stand-in of an outside part on loopback until SIGTERM or an interrupt.",
		"standin -kind store -listen 127.0.0.1:2379",
		"standin -kind engine -token-interval 20ms")
	kind := flags.String("kind", "", "store, instances, directory, engine or service")
	listen := flags.String("listen", "127.0.0.1:0", "`ADDRESS` as host:port")
	token := flags.Duration("token-interval", 5*time.Millisecond, "time between two tokens of an engine")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	server, err := startStandin(*kind, *listen, *token)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	fmt.Printf("standin=%s url=%s\n", *kind, server.URL())
	waitForSignal()
	server.Close()
	return exitOK
}

func startStandin(kind, listen string, token time.Duration) (standinServer, error) {
	switch kind {
	case "store":
		return standin.StartStore(listen)
	case "instances":
		return standin.StartInstanceList(listen)
	case "directory":
		return standin.StartDirectory(listen)
	case "engine":
		return standin.StartEngine(listen, token)
	case "service":
		return standin.StartService(listen)
	default:
		return nil, fmt.Errorf("unknown kind %q; allowed are store, instances, directory, engine and service", kind)
	}
}
