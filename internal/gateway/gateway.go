// Package gateway serves the caller listener: the OpenAI-compatible API, the
// operator-defined routes to plain services, and the list of entry instances.
//
// It checks a request in full before any upstream hears of it, and answers every
// refusal as JSON with one kind of the closed list.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/admission"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 8 << 20
	// defaultTimeout is the deadline of a request that names none.
	defaultTimeout = 2 * time.Minute
	// maxTimeout bounds the deadline that a caller may ask for.
	maxTimeout = 10 * time.Minute
)

// Deps are the parts that the caller listener needs.
type Deps struct {
	Snapshot   func() *routing.Snapshot
	Dispatcher *dispatch.Dispatcher
	Buckets    *admission.Buckets
	Log        *logrus.Entry
	// Gate, Timeline and Metrics may be nil.
	Gate     *drain.Gate
	Timeline *timeline.Recorder
	Metrics  *telemetry.Metrics
	// Now reads the clock.
	Now func() time.Time
}

type server struct {
	Deps
}

// New returns the handler of the caller listener.
func New(deps Deps) (http.Handler, error) {
	s := &server{Deps: deps}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", s.handle(s.observed(s.inference)))
	app.Post("/v1/completions", s.handle(s.observed(s.inference)))
	app.Get("/v1/models", s.handle(s.observed(s.models)))
	app.Get("/v1/entries", s.handle(s.entries))
	app.Any("/{path:path}", s.handle(s.observed(s.service)))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the caller listener: %w", err)
	}
	return app, nil
}

// call is one request of a caller.
type call struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	snapshot *routing.Snapshot
	account  string
	body     []byte
	sink     *callerSink
}

// handle wraps a handler with the request id, the log line and the refusal.
func (s *server) handle(fn func(*call) *errkind.Error) iris.Handler {
	return func(ctx iris.Context) {
		started := s.Now()
		c := &call{
			id:       uuid.NewString(),
			w:        ctx.ResponseWriter(),
			r:        ctx.Request(),
			snapshot: s.Snapshot(),
		}
		c.w.Header().Set(relay.HeaderRequestID, c.id)
		c.sink = &callerSink{w: c.w}
		if c.snapshot.Draining {
			// The caller then opens its next connection to another instance.
			c.w.Header().Set("Connection", "close")
		}
		err := fn(c)
		// Before refuse, which panics to break off a plain response.
		s.logCall(c, err, s.Now().Sub(started))
		if err != nil {
			refuse(c, err)
		}
	}
}

func (s *server) logCall(c *call, err *errkind.Error, took time.Duration) {
	fields := logrus.Fields{
		telemetry.FieldEvent:   "request",
		telemetry.FieldRequest: c.id,
		telemetry.FieldMethod:  c.r.Method,
		telemetry.FieldPath:    c.r.URL.Path,
		telemetry.FieldAccount: c.account,
		telemetry.FieldMillis:  took.Milliseconds(),
	}
	if err == nil {
		s.Log.WithFields(fields).Info("request complete")
		return
	}
	fields[telemetry.FieldKind] = err.Kind
	fields[telemetry.FieldRan] = err.Ran
	if err.Cause != nil {
		fields[telemetry.FieldCause] = err.Cause.Error()
	}
	s.Log.WithFields(fields).Info("request refused or cut")
}

// admit checks the key and the rate of the caller.
func (s *server) admit(c *call) (opconfig.Account, *errkind.Error) {
	account, err := s.authenticate(c)
	if err != nil {
		return opconfig.Account{}, err
	}
	decision := s.Buckets.Admit(s.Now(), account.Name, limitOf(c.snapshot, account))
	if decision.Admitted {
		return account, nil
	}
	refusal := errkind.New(errkind.RateLimited,
		"client account %q is over its rate of %g requests per second with a burst of %g", account.Name, account.Rate, account.Burst)
	refusal.RetryAfter = decision.RetryAfter
	return opconfig.Account{}, refusal
}

// limitOf divides the client account's rate evenly over the known entry instances.
func limitOf(s *routing.Snapshot, a opconfig.Account) admission.Limit {
	instances := float64(len(s.Peers) + 1)
	return admission.Limit{Rate: a.Rate / instances, Burst: a.Burst / instances}
}

// readBody reads the body up to maxBodyBytes.
func readBody(c *call) *errkind.Error {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.BodyTooLarge, "the body exceeds the limit of %d bytes", maxBodyBytes)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.RanNo, "the body could not be read")
	}
	c.body = body
	return nil
}

// serve dispatches the request and delivers its answer to the caller.
func (s *server) serve(c *call, r *dispatch.Request) *errkind.Error {
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	return s.Dispatcher.Dispatch(ctx, r, c.sink)
}
