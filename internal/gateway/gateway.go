// Package gateway serves the caller listener: the OpenAI-compatible API, the
// operator-defined routes to plain services, and the list of entry instances.
//
// A request is validated completely before it is sent to an upstream. Every rejection is
// a JSON response with one of the error kinds of package errkind.
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
	"heatherloom/internal/intake"
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
	// queueTimeout bounds the wait in the queue of the limiter.
	queueTimeout = time.Second
)

// Deps are the dependencies of the caller listener's handler.
type Deps struct {
	Snapshot   func() *routing.Snapshot
	Dispatcher *dispatch.Dispatcher
	Admitter   *admission.Admitter
	// Writes handles requests with an idempotency key; nil to send them like
	// other writes.
	Writes *writes.Service
	// Limiter limits concurrent requests; nil for a limiter with the default limits.
	Limiter *admission.Limiter
	// Budget bounds the memory for bodies; nil for no bound.
	Budget *intake.Budget
	Log    *logrus.Entry
	// Drain, Timeline and Metrics may be nil.
	Drain    *drain.Controller
	Timeline *timeline.Recorder
	Metrics  *telemetry.Metrics
	Now      func() time.Time
	// WriteTimeout bounds a single write to the caller; 0 for the default.
	WriteTimeout time.Duration
}

type server struct {
	Deps
}

// endpoints maps each path of the built-in API to its only method.
var endpoints = map[string]string{
	"/v1/chat/completions": http.MethodPost,
	"/v1/completions":      http.MethodPost,
	"/v1/models":           http.MethodGet,
	"/v1/entries":          http.MethodGet,
}

// serviceMethods are the methods allowed on routes to plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// New returns the handler of the caller listener.
func New(deps Deps) (http.Handler, error) {
	s := &server{Deps: deps}
	if s.Limiter == nil {
		s.Limiter = admission.NewLimiter(admission.DefaultLimits())
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = defaultWriteTimeout
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// Disables the redirects of iris for a trailing slash and its error pages, which
	// would bypass the JSON error responses.
	app.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	app.Post("/v1/chat/completions", s.handle(s.instrumented(s.inference)))
	app.Post("/v1/completions", s.handle(s.instrumented(s.inference)))
	app.Get("/v1/models", s.handle(s.instrumented(s.models)))
	app.Get("/v1/entries", s.handle(s.entries))
	for _, method := range serviceMethods {
		app.Handle(method, "/", s.handle(s.instrumented(s.service)))
		app.Handle(method, "/{path:path}", s.handle(s.instrumented(s.service)))
	}
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the caller listener: %w", err)
	}
	return s.withRequestLineCheck(app), nil
}

// withRequestLineCheck rejects requests that iris has no route for, so that iris never
// generates a response itself.
func (s *server) withRequestLineCheck(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := checkRequestLine(w, r); err != nil {
			s.serveCall(w, w, r, func(*call) *errkind.Error { return err })
			return
		}
		next.ServeHTTP(w, r)
	})
}

func checkRequestLine(w http.ResponseWriter, r *http.Request) *errkind.Error {
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
	// apiKey is the API key in plain text. It is never logged or sent upstream.
	apiKey   string
	keyHash  string
	body     requestBody
	bodyRead bool
	// dispatched is true once an upstream may have received the request.
	dispatched bool
	sink       *callerSink
}

// handle adapts fn to an iris handler.
func (s *server) handle(fn func(*call) *errkind.Error) iris.Handler {
	return func(ctx iris.Context) {
		s.serveCall(ctx.ResponseWriter(), ctx.ResponseWriter().Naive(), ctx.Request(), fn)
	}
}

// serveCall runs fn with a new request id, logs the outcome and responds to an error. raw
// is the net/http writer, on which the deadlines are set.
func (s *server) serveCall(w, raw http.ResponseWriter, r *http.Request, fn func(*call) *errkind.Error) {
	started := s.Now()
	c := &call{
		id:       uuid.NewString(),
		w:        w,
		r:        r,
		snapshot: s.Snapshot(),
		apiKey:   bearerToken(r),
		sink:     newCallerSink(w, raw, s.WriteTimeout, s.Drain),
	}
	w.Header().Set(relay.HeaderRequestID, c.id)
	defer func() { c.body.release() }()
	err := s.recoverPanic(c, fn)
	s.logCall(c, err, s.Now().Sub(started))
	if err != nil {
		writeRejection(c, err)
	}
}

// recoverPanic calls fn and converts a panic into an error.
func (s *server) recoverPanic(c *call, fn func(*call) *errkind.Error) (err *errkind.Error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		execution := errkind.NotExecuted
		if c.dispatched {
			execution = errkind.ExecutionUnknown
		}
		err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, execution, "internal error")
	}()
	return fn(c)
}

func (s *server) logCall(c *call, err *errkind.Error, elapsed time.Duration) {
	fields := logrus.Fields{
		telemetry.FieldEvent:   "request",
		telemetry.FieldRequest: c.id,
		telemetry.FieldMethod:  shorten(c.r.Method),
		telemetry.FieldPath:    loggedPath(c),
		telemetry.FieldAccount: c.account,
		telemetry.FieldMillis:  elapsed.Milliseconds(),
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
	s.Log.WithFields(fields).Info("request failed: a rejection of this kind is sent or, if the response had begun, it is cut short")
}

// admit takes a token from the client account's rate limit. If the own slot has none, it
// waits for a loan from another slot until the deadline. It is called only for valid
// requests.
func (s *server) admit(c *call, account opconfig.Account, deadline time.Time) *errkind.Error {
	ctx, cancel := context.WithTimeout(c.r.Context(), deadline.Sub(s.Now()))
	defer cancel()
	decision := s.Admitter.Admit(ctx, s.Snapshot, account)
	if decision.Admitted {
		return nil
	}
	if decision.NoSlots {
		return noSlotsError(account)
	}
	if decision.Unreachable && account.HomeRegion != "" && account.HomeRegion != c.snapshot.Region {
		return errkind.New(errkind.HomeUnavailable,
			"no instance in region %q, the home region of client account %q, is reachable", account.HomeRegion, account.Name)
	}
	rejection := errkind.New(errkind.RateLimited,
		"client account %q exceeds its rate of %g requests per second with a burst of %g", account.Name, account.Rate, account.Burst)
	rejection.RetryAfter = decision.RetryAfter
	return rejection
}

// noSlotsError returns the error for an account whose rate cannot be divided, as no
// failure domain with slots is configured for it.
func noSlotsError(a opconfig.Account) *errkind.Error {
	if a.HomeRegion == "" {
		return errkind.New(errkind.RateLimited,
			"the configuration has no domain rows, so client account %q has no rate", a.Name)
	}
	return errkind.New(errkind.RateLimited,
		"the configuration has no domain rows for region %q, the home region of client account %q, so it has no rate", a.HomeRegion, a.Name)
}

// dispatch sends the request to an upstream and its response to the caller.
func (s *server) dispatch(c *call, r *dispatch.Request) *errkind.Error {
	if err := s.acquireLimiter(c, r.Deadline); err != nil {
		return err
	}
	defer s.Limiter.Release()
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	if c.sink.stream {
		go s.watchAPIKey(ctx, c.keyHash, cancel)
	}
	c.dispatched = true
	err := s.Dispatcher.Dispatch(ctx, r, c.sink)
	if err != nil && errors.Is(context.Cause(ctx), errKeyRevoked) {
		return revokedWhileRunning(err)
	}
	return err
}

// acquireLimiter waits until the limiter admits a request of the client account.
func (s *server) acquireLimiter(c *call, deadline time.Time) *errkind.Error {
	wait := min(queueTimeout, deadline.Sub(s.Now()))
	ctx, cancel := context.WithTimeout(c.r.Context(), wait)
	defer cancel()
	if err := s.Limiter.Acquire(ctx, c.account); err != nil {
		return errkind.New(errkind.Overloaded, "this instance is at its limit of concurrent requests; GET /v1/entries lists other instances")
	}
	return nil
}
