package gateway

// This file serves the host routes of the configuration (opconfig.HostRoute). The API's
// routes to plain services are in service.go.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/intake"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

// RequestHeaders are the decoded headers of a request on a host route.
type RequestHeaders struct {
	RequestID string
	// APIKey is the caller's API key; empty for none.
	APIKey string
	// Timeout is the time that the caller still waits; valid if HasTimeout is true.
	Timeout    time.Duration
	HasTimeout bool
	// LastEventID is the id of the last stream event that the caller received; 0 for none.
	LastEventID int64
	// PromptParts lists the parts of the prompt, PromptTokens is its length in tokens and
	// MaxOutputTokens the maximum number of output tokens.
	PromptParts     []routing.PromptPart
	PromptTokens    int64
	MaxOutputTokens int64
}

// HostProtocol decodes and encodes the headers of requests and responses on host routes.
type HostProtocol interface {
	// DecodeRequest decodes the request headers; it returns an error for a malformed one.
	DecodeRequest(h http.Header) (RequestHeaders, error)
	// UpstreamHeaders returns the headers to send upstream: without the caller's API key and
	// the headers that only the gateway may set.
	UpstreamHeaders(h http.Header) http.Header
	// EncodeRejection sets the headers of a rejection.
	EncodeRejection(h http.Header, requestID string)
}

// HostDeps are the dependencies of the handler of host routes.
type HostDeps struct {
	Snapshot     func() *routing.Snapshot
	Dispatcher   *dispatch.Dispatcher
	ShareLimiter *quota.ShareLimiter
	Protocol     HostProtocol
	// Budget bounds the memory for bodies; nil for no bound.
	Budget  *intake.Budget
	Log     *logrus.Entry
	Drain   *drain.Controller
	Metrics *telemetry.Metrics
	Now     func() time.Time
}

const (
	// defaultHostTimeout is the deadline of a request if neither the caller nor the route
	// sets one.
	defaultHostTimeout = 30 * time.Second
	// hostBodyTimeout bounds the reading of a body.
	hostBodyTimeout = 10 * time.Second
	// hostWriteTimeout bounds the wait for a caller that does not read.
	hostWriteTimeout = 10 * time.Second
	// defaultHostBodyBytes bounds a body if the configuration sets no limit.
	defaultHostBodyBytes = 8 << 20
)

// hostServer serves the host routes of the configuration.
type hostServer struct {
	HostDeps
}

// NewHostHandler returns the handler of host routes. It serves every method and path: the
// request target reaches the upstream as the caller sent it.
func NewHostHandler(deps HostDeps) http.Handler { return &hostServer{deps} }

// hostCall is one request on a host route.
type hostCall struct {
	w        http.ResponseWriter
	r        *http.Request
	snapshot *routing.Snapshot
	headers  RequestHeaders
	route    opconfig.HostRoute
	account  opconfig.Account
	body     requestBody
	// bodyUnread is true if reading the body failed.
	bodyUnread bool
	sink       *callerSink
	started    time.Time
	// rateWait is how long the request waited for its client account's rate limit.
	rateWait time.Duration
	// dispatched is the request passed to the dispatcher; nil before.
	dispatched *dispatch.Request
}

// ServeHTTP implements http.Handler.
func (s *hostServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &hostCall{w: w, r: r, snapshot: s.Snapshot(), started: s.Now(), sink: newCallerSink(w, w, hostWriteTimeout, s.Drain)}
	err := s.resolveRoute(c)
	if err == nil {
		err = s.Drain.Acquire(c.drainDemand(s.Now()))
	}
	if err == nil {
		// The drain waits until the response is written.
		defer s.Drain.Release()
		err = s.serveAdmitted(c)
	}
	s.Metrics.RecordRequest(err, telemetry.ClassNone, s.Now().Sub(c.started))
	s.logCall(c, err)
	if err != nil {
		s.writeRejection(c, err)
	}
}

// drainDemand describes the request to the drain controller.
func (c *hostCall) drainDemand(now time.Time) drain.Demand {
	return drain.Demand{
		Kind: c.route.Name, Longest: time.Until(c.deadline(now)),
		Repeatable: c.route.Repeatable(), Stream: c.route.Kind == opconfig.KindStream,
	}
}

// serveAdmitted serves a request that the drain controller has admitted.
func (s *hostServer) serveAdmitted(c *hostCall) *errkind.Error {
	err := s.recoverPanic(c)
	if err == nil {
		s.Drain.Observe(c.route.Name, s.Now().Sub(c.started))
	} else if interrupted(c.r.Context()) {
		s.Drain.CountInterrupted(err.Execution, c.sink.started)
	}
	return err
}

// recoverPanic calls serve and converts a panic into an error.
func (s *hostServer) recoverPanic(c *hostCall) (err *errkind.Error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		execution := errkind.NotExecuted
		if c.dispatched != nil {
			execution = errkind.ExecutionUnknown
		}
		err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, execution, "internal error")
	}()
	return s.serve(c)
}

// interrupted reports whether a drain interrupted the request with this context.
func interrupted(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), drain.ErrInterrupted)
}

func (s *hostServer) serve(c *hostCall) *errkind.Error {
	if err := s.readBody(c); err != nil {
		return err
	}
	defer c.body.release()
	if err := s.admit(c); err != nil {
		return err
	}
	request, err := s.newRequest(c)
	if err != nil {
		return err
	}
	c.dispatched = request
	return s.Dispatcher.Dispatch(c.r.Context(), request, c.sink)
}

// resolveRoute finds the route and, unless it is public, authenticates the client account.
func (s *hostServer) resolveRoute(c *hostCall) *errkind.Error {
	headers, err := s.Protocol.DecodeRequest(c.r.Header)
	if err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "a request header is malformed")
	}
	c.headers = headers
	if !c.snapshot.Ready {
		return errkind.New(errkind.NotReady, "this instance is not ready: it has no configuration yet or is waiting for its slot")
	}
	stale := c.snapshot.ConfigStale(s.Now())
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.snapshot.Config.HostRoute(hostName(c.r.Host), path)
	switch {
	case ok && route.Public:
		c.route = route
		return nil
	case stale:
		return errkind.New(errkind.ConfigStale, "the configuration of this instance was last confirmed %s ago, which is too old to check API keys; retry at another instance",
			s.Now().Sub(c.snapshot.ConfigConfirmed).Round(time.Millisecond))
	case !ok:
		return errkind.New(errkind.UnknownRoute, "no route of host %q serves the path", shorten(c.r.Host))
	}
	c.route = route
	return c.authenticate()
}

// hostName returns the host without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (c *hostCall) authenticate() *errkind.Error {
	if c.headers.APIKey == "" {
		return errkind.New(errkind.KeyMissing, "the request has no API key")
	}
	key, ok := c.snapshot.Config.APIKeys.Get(opconfig.HashAPIKey(c.headers.APIKey))
	if !ok || key.Revoked {
		return errkind.New(errkind.KeyUnknown, "the API key is not known")
	}
	account, ok := c.snapshot.Config.Accounts.Get(key.Account)
	if !ok || account.Suspended {
		return errkind.New(errkind.KeyUnknown, "the client account of the API key is not active")
	}
	c.account = account
	return nil
}

// readBody buffers the body, since a retry sends it again.
func (s *hostServer) readBody(c *hostCall) *errkind.Error {
	limit := c.snapshot.Config.Limits[opconfig.LimitsID].BodyBytes
	if limit <= 0 {
		limit = defaultHostBodyBytes
	}
	body, err := readRequestBody(s.Budget, c.sink, c.r, limit, hostBodyTimeout)
	c.body, c.bodyUnread = body, err != nil
	switch {
	case err == nil:
		return nil
	case isTooLarge(err):
		return errkind.New(errkind.BodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case errors.Is(err, intake.ErrNoMemory):
		return noMemoryError()
	case interrupted(c.r.Context()):
		return relay.RequestCanceled(c.r.Context(), err, errkind.NotExecuted, false).Err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.RequestTimeout, errkind.NotExecuted, "the body did not arrive within %s", hostBodyTimeout)
	default:
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body could not be read in full")
	}
}

// admit charges the request to its client account's rate. A request that could be retried
// within quota.MaxShareWait waits instead of being rejected.
func (s *hostServer) admit(c *hostCall) *errkind.Error {
	if c.route.Public {
		return nil
	}
	decision := s.checkRate(c)
	if !decision.Admitted && decision.RetryAfter <= quota.MaxShareWait {
		if err := c.waitForRate(decision.RetryAfter); err != nil {
			return err
		}
		decision = s.checkRate(c)
	}
	if decision.Admitted {
		return nil
	}
	err := errkind.New(errkind.RateLimited, "client account %q exceeds its rate of %g per second; the share of this instance is %.3f",
		c.account.Name, c.account.Rate, decision.Share)
	err.RetryAfter = decision.RetryAfter
	return err
}

func (s *hostServer) checkRate(c *hostCall) quota.ShareDecision {
	peerDemand := quota.PeerDemand{
		Demand:    c.snapshot.PeerDemand[c.account.Name],
		Age:       c.snapshot.PeerDemandAge,
		FleetSize: c.snapshot.InstanceCount,
	}
	return s.ShareLimiter.Admit(s.Now(), c.account, c.cost(), peerDemand)
}

func (c *hostCall) waitForRate(d time.Duration) *errkind.Error {
	c.rateWait += d
	select {
	case <-c.r.Context().Done():
		return relay.RequestCanceled(c.r.Context(), c.r.Context().Err(), errkind.NotExecuted, false).Err
	case <-time.After(d):
		return nil
	}
}

// cost returns the number of rate units that the request consumes: 1, or its tokens.
func (c *hostCall) cost() float64 {
	switch {
	case c.account.Unit != opconfig.UnitTokens:
		return 1
	case c.headers.PromptTokens+c.headers.MaxOutputTokens > 0:
		return float64(c.headers.PromptTokens + c.headers.MaxOutputTokens)
	default:
		return float64(c.account.DefaultTokens)
	}
}

// newRequest returns the request to dispatch.
func (s *hostServer) newRequest(c *hostCall) (*dispatch.Request, *errkind.Error) {
	allowedRegions, ok := opconfig.IntersectRegions(c.route.AllowedRegions, c.account.AllowedRegions)
	if !ok {
		return nil, errkind.New(errkind.HomeUnavailable, "route %q and client account %q have no allowed region in common", c.route.Name, c.account.Name)
	}
	r := &dispatch.Request{
		ID:         c.headers.RequestID,
		Account:    c.account.Name,
		Method:     c.r.Method,
		Path:       c.r.RequestURI,
		Header:     s.Protocol.UpstreamHeaders(relay.EndToEndHeaders(c.r.Header)),
		Body:       c.body.bytes,
		Target:     chooseService(c.route.Services, c.headers.RequestID),
		Stream:     c.route.Kind == opconfig.KindStream,
		Repeatable: c.route.Repeatable(),
		Deadline:   c.deadline(s.Now()),
		RouteParams: &dispatch.RouteParams{
			Host:               c.r.Host,
			Route:              c.route.Name,
			MaxExecutions:      c.route.MaxAttempts,
			FirstByteObjective: c.route.LatencyObjective,
			Priority:           c.route.Priority,
			AllowedRegions:     allowedRegions,
			PromptParts:        c.headers.PromptParts,
			PromptTokens:       c.headers.PromptTokens,
		},
	}
	if c.account.Priority != nil {
		r.RouteParams.Priority = *c.account.Priority
	}
	if r.Stream {
		r.StreamPosition = &relay.StreamPosition{LastEventID: c.headers.LastEventID, HasLastEventID: c.headers.LastEventID > 0}
	}
	return r, nil
}

// deadline returns the earlier of the caller's and the route's deadline.
func (c *hostCall) deadline(now time.Time) time.Time {
	wait := defaultHostTimeout
	if c.headers.HasTimeout {
		wait = c.headers.Timeout
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	return time.Now().Add(wait - now.Sub(c.started))
}

// chooseService picks a service of a route by weight. The choice depends only on the
// request id.
func chooseService(services []opconfig.WeightedService, requestID string) string {
	total := 0.0
	for _, s := range services {
		total += s.Weight
	}
	const resolution = 1 << 32
	point := float64(xxhash.Sum64String(requestID)%resolution) / resolution * total
	for _, s := range services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return services[len(services)-1].Service
}

// logCall logs one line for the request: its route, what the dispatch was based on, and
// its outcome.
func (s *hostServer) logCall(c *hostCall, err *errkind.Error) {
	fields := logrus.Fields{
		telemetry.FieldEvent:    "request",
		telemetry.FieldRequest:  c.headers.RequestID,
		telemetry.FieldRoute:    c.route.Name,
		telemetry.FieldAccount:  c.account.Name,
		telemetry.FieldRevision: c.snapshot.Config.Revision,
		telemetry.FieldMillis:   s.Now().Sub(c.started).Milliseconds(),
	}
	if c.rateWait > 0 {
		fields[telemetry.FieldWaited] = c.rateWait.Milliseconds()
	}
	if c.dispatched != nil {
		fields[telemetry.FieldTried] = c.dispatched.AttemptSummary()
		fields[telemetry.FieldPromptTokens] = c.headers.PromptTokens
		if reason := c.dispatched.NoRetryReason(); reason != retry.StopNone {
			fields[telemetry.FieldNoRetry] = reason
		}
		fields[telemetry.FieldExpectedFirstByte] = c.dispatched.ExpectedFirstByte().Milliseconds()
	}
	if c.sink.started {
		fields[telemetry.FieldFirstByte] = c.sink.headSentAt.Sub(c.started).Milliseconds()
	}
	if err == nil {
		fields[telemetry.FieldStatus] = c.sink.status
		s.Log.WithFields(fields).Info("request complete")
		return
	}
	if c.dispatched != nil && (c.dispatched.Interrupted() || err.Kind == errkind.RequestQuarantined) {
		fields[telemetry.FieldFingerprint] = c.dispatched.Fingerprint()
		fields[telemetry.FieldContent] = c.dispatched.ContentFingerprints()
		fields[telemetry.FieldPromptParts] = c.dispatched.PromptPartIDs()
	}
	fields[telemetry.FieldKind] = err.Kind
	fields[telemetry.FieldRan] = err.Execution
	fields[telemetry.FieldStatus] = hostStatus(err)
	fields[telemetry.FieldMessage] = err.Message
	if err.Cause != nil {
		fields[telemetry.FieldCause] = rootCause(err.Cause)
	}
	s.Log.WithFields(fields).Info("request failed: a rejection with this status is sent or, if the response had begun (first_ms is set), it is cut short")
}

func rootCause(err error) string {
	for {
		next := errors.Unwrap(err)
		if next == nil || errors.Is(err, context.Canceled) {
			return err.Error()
		}
		err = next
	}
}
