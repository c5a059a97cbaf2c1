package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/node"
	"heatherloom/internal/telemetry"
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
	if err := serveUntilDrained(n, s.Shutdown.Timeout); err != nil {
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
