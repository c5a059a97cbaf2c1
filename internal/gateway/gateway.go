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
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
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
	"heatherloom/internal/writes"
)

const (
	// defaultWriteTimeout bounds the wait for a caller that does not read.
	defaultWriteTimeout = 10 * time.Second
	// queueTimeout bounds the wait in the queue of the gate.
	queueTimeout = time.Second
)

// Deps are the parts that the caller listener needs.
type Deps struct {
	Snapshot   func() *routing.Snapshot
	Dispatcher *dispatch.Dispatcher
	Admitter   *admission.Admitter
	// Writes runs writes with an idempotency key; nil to send them like other writes.
	Writes *writes.Service
	// Gate bounds the requests that run; nil for one with the default limits.
	Gate *admission.Limiter
	Log  *logrus.Entry
	// Drain, Timeline and Metrics may be nil.
	Drain    *drain.Gate
	Timeline *timeline.Recorder
	Metrics  *telemetry.Metrics
	// Now reads the clock.
	Now func() time.Time
	// WriteTimeout bounds the writing of one part of an answer; 0 for the default.
	WriteTimeout time.Duration
}

type server struct {
	Deps
}

// endpoints are the paths of the API itself with their only method.
var endpoints = map[string]string{
	"/v1/chat/completions": http.MethodPost,
	"/v1/completions":      http.MethodPost,
	"/v1/models":           http.MethodGet,
	"/v1/entries":          http.MethodGet,
}

// serviceMethods are the methods that routes to plain services take.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// New returns the handler of the caller listener.
func New(deps Deps) (http.Handler, error) {
	s := &server{Deps: deps}
	if s.Gate == nil {
		s.Gate = admission.NewLimiter(admission.DefaultLimits())
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = defaultWriteTimeout
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// Redirects of a path with a slash at its end and iris' own error pages would
	// bypass the closed list of kinds.
	app.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	app.Post("/v1/chat/completions", s.handle(s.observed(s.inference)))
	app.Post("/v1/completions", s.handle(s.observed(s.inference)))
	app.Get("/v1/models", s.handle(s.observed(s.models)))
	app.Get("/v1/entries", s.handle(s.entries))
	for _, method := range serviceMethods {
		app.Handle(method, "/", s.handle(s.observed(s.service)))
		app.Handle(method, "/{path:path}", s.handle(s.observed(s.service)))
	}
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the caller listener: %w", err)
	}
	return s.checkLine(app), nil
}

// checkLine refuses what iris has no route for, so that iris never answers itself.
func (s *server) checkLine(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := checkLine(w, r); err != nil {
			s.run(w, w, r, func(*call) *errkind.Error { return err })
			return
		}
		next.ServeHTTP(w, r)
	})
}

func checkLine(w http.ResponseWriter, r *http.Request) *errkind.Error {
	if !strings.HasPrefix(r.URL.Path, "/") {
		return errkind.New(errkind.MalformedRequest, "the path must begin with a slash")
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return errkind.New(errkind.MalformedRequest, "the path must not contain the segments . and ..")
		}
	}
	allowed := serviceMethods
	if method, ok := endpoints[r.URL.Path]; ok {
		allowed = []string{method}
	}
	if slices.Contains(allowed, r.Method) {
		return nil
	}
	list := strings.Join(allowed, ", ")
	w.Header().Set("Allow", list)
	return errkind.New(errkind.MethodNotAllowed, "the method %q is not allowed here; allowed: %s", shorten(r.Method), list)
}

// call is one request of a caller.
type call struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	snapshot *routing.Snapshot
	account  string
	// secret is the key as sent by the caller; it never leaves this struct.
	secret   string
	keyHash  string
	body     []byte
	bodyRead bool
	// dispatched is true once an upstream may have heard of the request.
	dispatched bool
	sink       *callerSink
}

// handle adapts a handler to iris.
func (s *server) handle(fn func(*call) *errkind.Error) iris.Handler {
	return func(ctx iris.Context) {
		s.run(ctx.ResponseWriter(), ctx.ResponseWriter().Naive(), ctx.Request(), fn)
	}
}

// run wraps a handler with the request id, the log line and the refusal. raw is the
// writer of net/http, which has the deadlines.
func (s *server) run(w, raw http.ResponseWriter, r *http.Request, fn func(*call) *errkind.Error) {
	started := s.Now()
	c := &call{
		id:       uuid.NewString(),
		w:        w,
		r:        r,
		snapshot: s.Snapshot(),
		secret:   bearer(r),
		sink:     newCallerSink(w, raw, s.WriteTimeout),
	}
	w.Header().Set(relay.HeaderRequestID, c.id)
	if c.snapshot.Draining {
		// The caller then opens its next connection to another instance.
		w.Header().Set("Connection", "close")
	}
	err := s.protect(c, fn)
	s.logCall(c, err, s.Now().Sub(started))
	if err != nil {
		refuse(c, err)
	}
}

// protect turns a panic of the handler into a refusal.
func (s *server) protect(c *call, fn func(*call) *errkind.Error) (err *errkind.Error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ran := errkind.NotExecuted
		if c.dispatched {
			ran = errkind.ExecutionUnknown
		}
		err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, ran, "internal error")
	}()
	return fn(c)
}

func (s *server) logCall(c *call, err *errkind.Error, took time.Duration) {
	fields := logrus.Fields{
		telemetry.FieldEvent:   "request",
		telemetry.FieldRequest: c.id,
		telemetry.FieldMethod:  shorten(c.r.Method),
		telemetry.FieldPath:    loggedPath(c),
		telemetry.FieldAccount: c.account,
		telemetry.FieldMillis:  took.Milliseconds(),
	}
	if err == nil {
		s.Log.WithFields(fields).Info("request complete")
		return
	}
	fields[telemetry.FieldKind] = err.Kind
	fields[telemetry.FieldRan] = err.Execution
	if err.Cause != nil {
		fields[telemetry.FieldCause] = err.Cause.Error()
	}
	s.Log.WithFields(fields).Info("request refused or cut")
}

// admit takes a token of the client account's rate, and waits for a loan until the
// deadline if the own slot has none. It is called only for requests that are valid.
func (s *server) admit(c *call, account opconfig.Account, deadline time.Time) *errkind.Error {
	ctx, cancel := context.WithTimeout(c.r.Context(), deadline.Sub(s.Now()))
	defer cancel()
	decision := s.Admitter.Admit(ctx, s.Snapshot, account)
	if decision.Admitted {
		return nil
	}
	if decision.NoSlots {
		return noSlots(account)
	}
	if decision.Unreachable && account.HomeRegion != "" && account.HomeRegion != c.snapshot.Region {
		return errkind.New(errkind.HomeUnavailable,
			"no instance of region %q, the home of client account %q, is reachable", account.HomeRegion, account.Name)
	}
	refusal := errkind.New(errkind.RateLimited,
		"client account %q is over its rate of %g requests per second with a burst of %g", account.Name, account.Rate, account.Burst)
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// noSlots refuses a request of an account whose rate cannot be divided.
func noSlots(a opconfig.Account) *errkind.Error {
	if a.HomeRegion == "" {
		return errkind.New(errkind.RateLimited,
			"the configuration has no domain rows, so that client account %q has no rate", a.Name)
	}
	return errkind.New(errkind.RateLimited,
		"the configuration has no domain rows for region %q, the home of client account %q, so that it has no rate", a.HomeRegion, a.Name)
}

// serve dispatches the request and delivers its answer to the caller.
func (s *server) serve(c *call, r *dispatch.Request) *errkind.Error {
	if err := s.enter(c, r.Deadline); err != nil {
		return err
	}
	defer s.Gate.Release()
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	if c.sink.stream {
		go s.watchKey(ctx, c.keyHash, cancel)
	}
	c.dispatched = true
	err := s.Dispatcher.Dispatch(ctx, r, c.sink)
	if err != nil && errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return withdrawnWhileRunning(err)
	}
	return err
}

// enter waits for the turn of the client account.
func (s *server) enter(c *call, deadline time.Time) *errkind.Error {
	wait := min(queueTimeout, deadline.Sub(s.Now()))
	ctx, cancel := context.WithTimeout(c.r.Context(), wait)
	defer cancel()
	if err := s.Gate.Acquire(ctx, c.account); err != nil {
		return errkind.New(errkind.Overloaded, "this instance runs as many requests as it can; GET /v1/entries lists the others")
	}
	return nil
}
