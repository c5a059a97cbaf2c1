package main

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/node"
	"heatherloom/internal/settings"
	"heatherloom/internal/telemetry"
)

func runServe(args []string) int {
	flags := newFlagSet("serve", "Runs an entry instance until SIGTERM or an interrupt, then completes its requests in flight.",
		"serve -config /etc/heatherloom/hobart-1.ini")
	path := flags.String("config", cmp.Or(os.Getenv(configVariable), "heatherloom.ini"), "settings `FILE`; the default is taken from "+configVariable)
	if _, status, done := parseFlags(flags, args); done {
		return status
	}
	s, ok := loadSettings(*path)
	if !ok {
		return exitUsage
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := telemetry.NewLogger(out, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitUsage
	}
	stopReload := watchReload(*path, log.WithField(telemetry.FieldInstance, s.Instance.ID))
	defer stopReload()
	telemetry.LogInvariantViolations(log.WithField(telemetry.FieldInstance, s.Instance.ID))
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
	err = serveUntilDrained(n, s.Shutdown.Timeout)
	n.LogStop(log, err)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherloom:", err)
		return exitFailure
	}
	return exitOK
}

// configVariable names the environment variable with the path of the settings file.
const configVariable = "HEATHERLOOM_CONFIG"

// watchReload validates the settings file on each SIGHUP and logs the errors in it. A
// process keeps the settings that it started with; a changed file takes effect at the
// next start. The returned function stops the watch.
func watchReload(path string, log *logrus.Entry) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			_, problems := settings.Load(path)
			entry := log.WithField(telemetry.FieldEvent, "reload")
			for _, p := range problems {
				entry.WithField(telemetry.FieldCause, p.String()).Warn("settings file is invalid; an instance would not start with it")
			}
			if len(problems) == 0 {
				entry.Info("settings file is valid; changes take effect at the next start")
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// waitForSignal blocks until SIGTERM or an interrupt. Only dev and standin use it; serve
// waits in serveUntilDrained.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}
