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

var errDrainAborted = errors.New("a second signal stopped the instance before its drain was complete")

// serveUntilDrained waits for a signal or POST /v1/drain, drains the instance and shuts
// it down. The second signal stops it immediately, also if an operator requested the drain.
// timeout bounds the drain and the shutdown together.
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
	finished := make(chan error, 1)
	go func() { finished <- drainAndShutdown(n, reason, timeout) }()
	for {
		select {
		case err := <-finished:
			return err
		case <-signals:
			if signalled {
				return errDrainAborted
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
