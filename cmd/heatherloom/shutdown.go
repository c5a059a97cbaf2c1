package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"heatherloom/internal/node"
)

var errEndedAtOnce = errors.New("a second signal ended the instance before its drain was done")

// serveUntilDrained waits for a signal or POST /v1/drain, drains the instance and
// shuts it down. A second signal ends it at once, as does the end of timeout.
func serveUntilDrained(n *node.Node, timeout time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	signalled := false
	reason := "operator"
	select {
	case s := <-signals:
		signalled = true
		reason = "signal " + s.String()
	case <-n.DrainRequested():
	}
	ended := make(chan error, 1)
	go func() { ended <- drainAndShutdown(n, reason, timeout) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-signals:
			if signalled {
				return errEndedAtOnce
			}
			signalled = true
		}
	}
}

func drainAndShutdown(n *node.Node, reason string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return errors.Join(n.Drain(ctx, reason), n.Shutdown(ctx))
}
