package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/node"
	"heatherloom/internal/settings"
	"heatherloom/internal/telemetry"
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
	log, err := telemetry.NewLogger(os.Stderr, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitUsage
	}
	telemetry.LogInvariants(log.WithField(telemetry.FieldInstance, s.Instance.ID))
	n, err := node.Start(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "started",
		telemetry.FieldInstance: s.Instance.ID,
		telemetry.FieldCaller:   n.CallerAddress,
		telemetry.FieldPeer:     n.PeerAddress,
		telemetry.FieldOperator: n.OperatorAddress,
	}).Info("entry instance started")
	if err := serveUntilDrained(n, shutdownTimeout); err != nil {
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
