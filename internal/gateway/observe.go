package gateway

import (
	"net/http"
	"strings"
	"time"

	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

// EntriesValidity is how long a caller may cache a response of GET /v1/entries.
const EntriesValidity = entriesValidity

// instrumented returns fn with drain handling, metrics and timeline events. It is not used
// for GET /v1/entries, which is served until the listener closes, so that callers of a
// draining instance find the others.
func (s *server) instrumented(fn func(*call) *errkind.Error) func(*call) *errkind.Error {
	return func(c *call) *errkind.Error {
		started := s.Now()
		// Cloned, since the path shares memory with the entire request line.
		path := strings.Clone(loggedPath(c))
		s.Timeline.Record(timeline.Event{Kind: timeline.KindRequestReceived, Request: c.id, Detail: path})
		err := s.runUnlessDraining(c, fn)
		s.recordOutcome(c, err, started)
		return err
	}
}

func (s *server) runUnlessDraining(c *call, fn func(*call) *errkind.Error) *errkind.Error {
	if err := s.Drain.Acquire(s.drainDemand(c)); err != nil {
		return err
	}
	defer s.Drain.Release()
	started := s.Now()
	err := fn(c)
	if err == nil {
		s.Drain.Observe(durationKind(c.r), s.Now().Sub(started))
	} else if interrupted(c.r.Context()) {
		s.Drain.CountInterrupted(err.Execution, c.sink.started)
	}
	return err
}

// durationKind groups requests that are expected to take equally long: those with the same method
// and the same first segment of the path, or the same endpoint of the API.
func durationKind(r *http.Request) string {
	if _, ok := endpoints[r.URL.Path]; ok {
		return r.Method + " " + r.URL.Path
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return r.Method + " /" + strings.Clone(first)
}

// drainDemand describes the request to the drain controller. A deadline that cannot be read is
// reported later.
func (s *server) drainDemand(c *call) drain.Demand {
	now := s.Now()
	_, isEndpoint := endpoints[c.r.URL.Path]
	demand := drain.Demand{Kind: durationKind(c.r), Repeatable: isEndpoint || c.r.Method == http.MethodGet, Stream: isEndpoint}
	if deadline, err := requestDeadline(c.r.Header, now); err == nil {
		demand.Longest = deadline.Sub(now)
	}
	return demand
}

func (s *server) recordOutcome(c *call, err *errkind.Error, started time.Time) {
	s.Metrics.RecordRequest(err, s.accountClass(c), s.Now().Sub(started))
	if c.sink.stream && c.sink.started {
		s.Metrics.RecordFirstToken(c.sink.headSentAt.Sub(started))
	}
	event := timeline.Event{Kind: timeline.KindRequestComplete, Request: c.id, Account: c.account}
	if err != nil {
		event.Kind = timeline.KindRequestRefused
		event.Detail = string(err.Kind) + " ran=" + string(err.Execution) + ": " + err.Message
	}
	s.Timeline.Record(event)
}

func (s *server) accountClass(c *call) telemetry.AccountClass {
	account, ok := c.snapshot.Config.Accounts.Get(c.account)
	if !ok {
		return telemetry.ClassNone
	}
	return telemetry.ClassOf(account.Rate)
}

// scheme returns the scheme of the URL that the caller used, with "://".
func (c *call) scheme() string {
	if c.r.TLS != nil {
		return "https://"
	}
	return "http://"
}
