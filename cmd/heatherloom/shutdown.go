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

var (
	errDrainInterrupted = errors.New("a second signal interrupted the drain before its requests had ended")
	errDrainAborted     = errors.New("a third signal stopped the instance before its drain was complete")
)

// serveUntilDrained waits for a signal or POST /v1/drain, drains the instance and shuts
// it down. The second signal interrupts the running requests, which still get a response, and the
// third stops the instance at once; it is the same if an operator requested the drain. timeout
// bounds the drain and the shutdown together.
func serveUntilDrained(n *node.Node, timeout time.Duration) error {
	signals := make(chan os.Signal, 3)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	received := 0
	reason := "operator"
	select {
	case s := <-signals:
		received++
		reason = "signal " + s.String()
	case <-n.DrainRequested():
	}
	finished := make(chan error, 1)
	go func() { finished <- drainAndShutdown(n, reason, timeout) }()
	for {
		select {
		case err := <-finished:
			if received > 1 {
				err = errors.Join(errDrainInterrupted, err)
			}
			return err
		case <-signals:
			received++
			if received > 2 {
				return errDrainAborted
			}
			if received == 2 {
				n.InterruptDrain()
			}
		}
	}
}

func drainAndShutdown(n *node.Node, reason string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return errors.Join(n.Drain(ctx, reason), n.Shutdown(ctx))
}
