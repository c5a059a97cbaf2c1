package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/node"
)

func runServe(args []string) int {
	flags := newFlagSet("serve", "Runs an entry instance until SIGTERM or an interrupt, then lets its requests end.",
		"serve -config /etc/heatherloom/hobart-1.ini")
	path := flags.String("config", "heatherloom.ini", "settings `FILE`")
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	s, ok := loadSettings(*path)
	if !ok {
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
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Timeout)
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
