package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

// CallHeaders is what the headers of a request on a host route say.
type CallHeaders struct {
	RequestID string
	// Key is the caller's key; empty for none.
	Key string
	// Remaining is how long the caller waits; it counts if HasDeadline is true.
	Remaining   time.Duration
	HasDeadline bool
	// LastEvent is the id of the last event of a stream that the caller has; 0 for none.
	LastEvent int64
	// Prompt lists the parts of the prompt, PromptTokens is its length and AnswerTokens
	// the longest answer.
	Prompt       []routing.PromptPart
	PromptTokens int64
	AnswerTokens int64
}

// Inbound decodes the headers of callers on host routes.
type Inbound interface {
	// DecodeCall returns an error if a header cannot be read.
	DecodeCall(h http.Header) (CallHeaders, error)
	// Forwarded returns the headers that upstreams receive: without the caller's key and
	// without those that only the gateway may set.
	Forwarded(h http.Header) http.Header
	// EncodeRefusal sets the headers of an answer of the gateway itself.
	EncodeRefusal(h http.Header, requestID string)
}

// HostDeps are the parts that the listener of host routes needs.
type HostDeps struct {
	Snapshot   func() *routing.Snapshot
	Dispatcher *dispatch.Dispatcher
	Shares     *quota.ShareLimiter
	Inbound    Inbound
	Log        *logrus.Entry
	Drain      *drain.Gate
	Metrics    *telemetry.Metrics
	Now        func() time.Time
}

const (
	// defaultHostTimeout is the deadline of a request if neither the caller nor the route
	// sets one.
	defaultHostTimeout = 30 * time.Second
	// hostBodyTimeout bounds the arrival of a body.
	hostBodyTimeout = 10 * time.Second
	// hostWriteTimeout bounds the wait for a caller that does not read.
	hostWriteTimeout = 10 * time.Second
	// defaultHostBody bounds a body if the operators set no limit, in bytes.
	defaultHostBody = 8 << 20
)

// hosts serves the host routes of the operators' configuration.
type hosts struct {
	HostDeps
}

// NewHosts returns the handler of host routes. It serves every method and path: the
// target of a request reaches the upstream as the caller sent it.
func NewHosts(deps HostDeps) http.Handler { return &hosts{deps} }

// hostCall is one request of a caller.
type hostCall struct {
	w        http.ResponseWriter
	r        *http.Request
	snapshot *routing.Snapshot
	headers  CallHeaders
	route    opconfig.HostRoute
	account  opconfig.Account
	body     []byte
	sink     *callerSink
	started  time.Time
	// waited is how long the request waited for its client account's rate.
	waited time.Duration
	// sent is the request as it was dispatched; nil before.
	sent *dispatch.Request
}

// ServeHTTP implements http.Handler.
func (s *hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &hostCall{w: w, r: r, snapshot: s.Snapshot(), started: s.Now(), sink: newCallerSink(w, w, hostWriteTimeout)}
	if c.snapshot.Draining {
		w.Header().Set("Connection", "close")
	}
	err := s.serve(c)
	s.Metrics.Request(err, telemetry.ClassNone, s.Now().Sub(c.started))
	s.logCall(c, err)
	if err != nil {
		s.refuse(c, err)
	}
}

func (s *hosts) serve(c *hostCall) *errkind.Error {
	if err := s.identify(c); err != nil {
		return err
	}
	if err := s.Drain.Enter(); err != nil {
		return err
	}
	defer s.Drain.Leave()
	if err := s.readBody(c); err != nil {
		return err
	}
	if err := s.admit(c); err != nil {
		return err
	}
	request, err := s.request(c)
	if err != nil {
		return err
	}
	c.sent = request
	return s.Dispatcher.Dispatch(c.r.Context(), request, c.sink)
}

// identify finds the route and the client account.
func (s *hosts) identify(c *hostCall) *errkind.Error {
	headers, err := s.Inbound.DecodeCall(c.r.Header)
	if err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "a header cannot be read")
	}
	c.headers = headers
	if !c.snapshot.Ready {
		return errkind.New(errkind.NotReady, "this instance has no configuration yet")
	}
	stale := c.snapshot.ConfigStale(s.Now())
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.snapshot.Config.HostRoute(hostName(c.r.Host), path)
	switch {
	case ok && route.Public:
		c.route = route
		return nil
	case stale:
		return errkind.New(errkind.ConfigStale, "the configuration of this instance was last confirmed %s ago",
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
	if c.headers.Key == "" {
		return errkind.New(errkind.KeyMissing, "the request carries no key")
	}
	key, ok := c.snapshot.Config.APIKeys.Get(opconfig.HashAPIKey(c.headers.Key))
	if !ok || key.Revoked {
		return errkind.New(errkind.KeyUnknown, "the key is not known")
	}
	account, ok := c.snapshot.Config.Accounts.Get(key.Account)
	if !ok || account.Suspended {
		return errkind.New(errkind.KeyUnknown, "the client account of the key is not active")
	}
	c.account = account
	return nil
}

// readBody reads the whole body, which may have to be sent twice.
func (s *hosts) readBody(c *hostCall) *errkind.Error {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.snapshot.Config.Limits[opconfig.LimitsID].BodyBytes
	if limit <= 0 {
		limit = defaultHostBody
	}
	_ = c.sink.control.SetReadDeadline(time.Now().Add(hostBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	// A read deadline that stays set would end the request context when it passes.
	_ = c.sink.control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return errkind.New(errkind.BodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.RequestTimeout, errkind.NotExecuted, "the body did not arrive within %s", hostBodyTimeout)
	case err != nil:
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body could not be read in full")
	}
	c.body = body
	return nil
}

// admit takes the request from its client account's rate. A caller that would have to
// come back within a moment waits instead.
func (s *hosts) admit(c *hostCall) *errkind.Error {
	if c.route.Public {
		return nil
	}
	decision := s.take(c)
	if !decision.Admitted && decision.RetryAfter <= quota.MaxShareWait {
		if err := c.wait(decision.RetryAfter); err != nil {
			return err
		}
		decision = s.take(c)
	}
	if decision.Admitted {
		return nil
	}
	err := errkind.New(errkind.RateLimited, "client account %q is over its rate of %g a second; this instance has %.3f of it",
		c.account.Name, c.account.Rate, decision.Share)
	err.RetryAfter = decision.RetryAfter
	return err
}

func (s *hosts) take(c *hostCall) quota.ShareDecision {
	others := quota.PeerDemand{
		Demand:    c.snapshot.PeerDemand[c.account.Name],
		Age:       c.snapshot.PeerDemandAge,
		FleetSize: c.snapshot.InstanceCount,
	}
	return s.Shares.Admit(s.Now(), c.account, c.cost(), others)
}

func (c *hostCall) wait(d time.Duration) *errkind.Error {
	c.waited += d
	select {
	case <-c.r.Context().Done():
		return relay.CallerDisconnected(c.r.Context().Err(), errkind.NotExecuted, false).Err
	case <-time.After(d):
		return nil
	}
}

// cost returns what the request takes from its account's rate.
func (c *hostCall) cost() float64 {
	switch {
	case c.account.Unit != opconfig.UnitTokens:
		return 1
	case c.headers.PromptTokens+c.headers.AnswerTokens > 0:
		return float64(c.headers.PromptTokens + c.headers.AnswerTokens)
	default:
		return float64(c.account.DefaultTokens)
	}
}

// request returns what is dispatched.
func (s *hosts) request(c *hostCall) (*dispatch.Request, *errkind.Error) {
	homes, ok := opconfig.IntersectRegions(c.route.AllowedRegions, c.account.AllowedRegions)
	if !ok {
		return nil, errkind.New(errkind.HomeUnavailable, "route %q and client account %q have no home in common", c.route.Name, c.account.Name)
	}
	r := &dispatch.Request{
		ID:         c.headers.RequestID,
		Account:    c.account.Name,
		Method:     c.r.Method,
		Path:       c.r.RequestURI,
		Header:     s.Inbound.Forwarded(relay.EndToEndHeaders(c.r.Header)),
		Body:       c.body,
		Target:     chooseService(c.route.Services, c.headers.RequestID),
		Stream:     c.route.Kind == opconfig.KindStream,
		Repeatable: c.route.Repeatable(),
		Deadline:   c.deadline(s.Now()),
		RouteParams: &dispatch.RouteParams{
			Host:               c.r.Host,
			Route:              c.route.Name,
			MaxUpstreams:       c.route.MaxAttempts,
			FirstByteObjective: c.route.LatencyObjective,
			Priority:           c.route.Priority,
			AllowedRegions:     homes,
			PromptParts:        c.headers.Prompt,
			PromptTokens:       c.headers.PromptTokens,
		},
	}
	if c.account.Priority != nil {
		r.RouteParams.Priority = *c.account.Priority
	}
	if r.Stream {
		r.StreamPosition = &relay.StreamPosition{LastEventID: c.headers.LastEvent, HasLastEventID: c.headers.LastEvent > 0}
	}
	return r, nil
}

// deadline returns the earlier one of the caller's and the route's.
func (c *hostCall) deadline(now time.Time) time.Time {
	wait := defaultHostTimeout
	if c.headers.HasDeadline {
		wait = c.headers.Remaining
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	return time.Now().Add(wait - now.Sub(c.started))
}

// chooseService divides requests over the services of a route by their weights.
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

// logCall writes the one line of a request: what was asked, what decided, what came of it.
func (s *hosts) logCall(c *hostCall, err *errkind.Error) {
	fields := logrus.Fields{
		telemetry.FieldEvent:    "request",
		telemetry.FieldRequest:  c.headers.RequestID,
		telemetry.FieldRoute:    c.route.Name,
		telemetry.FieldAccount:  c.account.Name,
		telemetry.FieldRevision: c.snapshot.Config.Revision,
		telemetry.FieldMillis:   s.Now().Sub(c.started).Milliseconds(),
	}
	if c.waited > 0 {
		fields[telemetry.FieldWaited] = c.waited.Milliseconds()
	}
	if c.sent != nil {
		fields[telemetry.FieldTried] = c.sent.AttemptSummary()
		fields[telemetry.FieldTokens] = c.headers.PromptTokens
		fields[telemetry.FieldExpected] = c.sent.ExpectedFirstByte().Milliseconds()
	}
	if c.sink.started {
		fields[telemetry.FieldFirst] = c.sink.headAt.Sub(c.started).Milliseconds()
	}
	if err == nil {
		fields[telemetry.FieldStatus] = c.sink.status
		s.Log.WithFields(fields).Info("request complete")
		return
	}
	fields[telemetry.FieldKind] = err.Kind
	fields[telemetry.FieldRan] = err.Execution
	fields[telemetry.FieldStatus] = hostStatus(err)
	fields[telemetry.FieldMessage] = err.Message
	if err.Cause != nil {
		fields[telemetry.FieldCause] = causeOf(err.Cause)
	}
	s.Log.WithFields(fields).Info("request refused or cut")
}

func causeOf(err error) string {
	for {
		next := errors.Unwrap(err)
		if next == nil || errors.Is(err, context.Canceled) {
			return err.Error()
		}
		err = next
	}
}
