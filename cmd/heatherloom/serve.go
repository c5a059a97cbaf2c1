package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/node"
	"heatherloom/internal/settings"
)

// shutdownTimeout bounds the wait for running requests after a signal.
const shutdownTimeout = 10 * time.Minute

func runServe(args []string) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	path := flags.String("config", "heatherloom.ini", "settings `FILE`")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	s, problems := settings.Load(*path)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return exitUsage
	}
	log := logrus.New()
	n, err := node.Start(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	log.WithFields(logrus.Fields{"event": "started", "instance": s.Instance.ID, "caller": n.CallerAddress, "peer": n.PeerAddress}).Info("entry instance started")
	waitForSignal()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := n.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	return exitOK
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}
