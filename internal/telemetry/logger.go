// Package telemetry sets up the logger and the metrics registry of a process.
package telemetry

import (
	"io"
	stdlog "log"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/invariant"
)

// DefaultLevel is the log level of a process whose settings do not set one.
const DefaultLevel = logrus.InfoLevel

// utcFormatter writes one key=value line per entry with the time in UTC.
type utcFormatter struct {
	text logrus.TextFormatter
}

// Format implements logrus.Formatter.
func (f *utcFormatter) Format(e *logrus.Entry) ([]byte, error) {
	e.Time = e.Time.UTC()
	return f.text.Format(e)
}

// NewLogger returns a logger that writes entries of level and above to out. level
// is a logrus level name; empty stands for DefaultLevel. An unknown name is an error.
func NewLogger(out io.Writer, level string) (*logrus.Logger, error) {
	parsed := DefaultLevel
	if level != "" {
		var err error
		if parsed, err = logrus.ParseLevel(level); err != nil {
			return nil, err
		}
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&utcFormatter{text: logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	}})
	return log, nil
}

// lineWriter logs each write as one entry.
type lineWriter struct {
	entry *logrus.Entry
}

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.entry.Warn(strings.TrimSpace(string(p)))
	return len(p), nil
}

// StandardLogger returns a logger for net/http that writes each message to log as one
// key=value line.
func StandardLogger(log *logrus.Entry) *stdlog.Logger {
	return stdlog.New(lineWriter{log.WithField(FieldEvent, "http_server")}, "", 0)
}

// LogInvariantViolations makes log record violated invariants.
func LogInvariantViolations(log *logrus.Entry) {
	invariant.SetReporter(func(v invariant.Violation) {
		log.WithFields(logrus.Fields{FieldEvent: "invariant_violated", FieldInvariant: v.Name.String()}).Error(v.Message)
	})
}
