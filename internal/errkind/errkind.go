// Package errkind defines the closed set of error kinds and maps each kind to the HTTP
// response that the caller receives.
//
// Every rejection and every error response has exactly one Kind. A new kind needs a
// constant and an entry in the response table; a test fails if either is missing.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a class of failure. Its text is part of the API for callers.
type Kind string

// The closed set of kinds. Callers depend on the texts, so some of them differ from the names:
// those of KeyRevoked, ResponseIncomplete and ResponseMismatched.
const (
	MalformedRequest      Kind = "malformed_request"
	BodyTooLarge          Kind = "body_too_large"
	RequestTimeout        Kind = "request_timeout"
	UnknownModel          Kind = "unknown_model"
	UnknownRoute          Kind = "unknown_route"
	MethodNotAllowed      Kind = "method_not_allowed"
	KeyMissing            Kind = "key_missing"
	KeyUnknown            Kind = "key_unknown"
	KeyRevoked            Kind = "key_withdrawn"
	DeadlinePassed        Kind = "deadline_passed"
	DeadlineUnreachable   Kind = "deadline_unreachable"
	RateLimited           Kind = "rate_limited"
	Overloaded            Kind = "overloaded"
	NoUpstream            Kind = "no_upstream"
	HomeUnavailable       Kind = "home_unavailable"
	UpstreamFailed        Kind = "upstream_failed"
	UpstreamTimeout       Kind = "upstream_timeout"
	ResponseIncomplete    Kind = "answer_incomplete"
	ResponseMismatched    Kind = "answer_mismatched"
	RequestQuarantined    Kind = "request_quarantined"
	OutcomeUnknown        Kind = "outcome_unknown"
	IdempotencyConflict   Kind = "idempotency_conflict"
	WriteOwnerUnavailable Kind = "write_owner_unavailable"
	LoopDetected          Kind = "loop_detected"
	Draining              Kind = "draining"
	NotReady              Kind = "not_ready"
	ConfigStale           Kind = "config_stale"
	// CallerLeft is the kind of a request whose caller closed the connection. It is logged and counted, and
	// nobody is left to send it to.
	CallerLeft Kind = "caller_left"
	Internal   Kind = "internal"
)

// Execution states whether an upstream executed the request.
type Execution string

const (
	// NotExecuted is used only if it is certain that no upstream executed the request.
	NotExecuted Execution = "no"
	// Executed means that an upstream executed the request at least partially.
	Executed Execution = "yes"
	// ExecutionUnknown means that an upstream may have executed the request.
	ExecutionUnknown Execution = "unknown"
)

// Response is the entry of a kind in the response table.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// RetryAfter is the default delay before a retry; 0 if retrying does not help.
	RetryAfter time.Duration
}

var responses = map[Kind]Response{
	MalformedRequest:      {Status: http.StatusBadRequest},
	BodyTooLarge:          {Status: http.StatusRequestEntityTooLarge},
	RequestTimeout:        {Status: http.StatusRequestTimeout},
	UnknownModel:          {Status: http.StatusNotFound},
	UnknownRoute:          {Status: http.StatusNotFound},
	MethodNotAllowed:      {Status: http.StatusMethodNotAllowed},
	KeyMissing:            {Status: http.StatusUnauthorized},
	KeyUnknown:            {Status: http.StatusUnauthorized},
	KeyRevoked:            {Status: http.StatusForbidden},
	DeadlinePassed:        {Status: http.StatusBadRequest},
	DeadlineUnreachable:   {Status: http.StatusServiceUnavailable, RetryAfter: time.Second},
	RateLimited:           {Status: http.StatusTooManyRequests, RetryAfter: time.Second},
	Overloaded:            {Status: http.StatusServiceUnavailable, RetryAfter: time.Second},
	NoUpstream:            {Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second},
	HomeUnavailable:       {Status: http.StatusServiceUnavailable, RetryAfter: 5 * time.Second},
	UpstreamFailed:        {Status: http.StatusBadGateway, RetryAfter: time.Second},
	UpstreamTimeout:       {Status: http.StatusGatewayTimeout, RetryAfter: time.Second},
	ResponseIncomplete:    {Status: http.StatusBadGateway, RetryAfter: time.Second},
	ResponseMismatched:    {Status: http.StatusBadGateway, RetryAfter: time.Second},
	RequestQuarantined:    {Status: http.StatusUnprocessableEntity},
	OutcomeUnknown:        {Status: http.StatusConflict},
	IdempotencyConflict:   {Status: http.StatusUnprocessableEntity},
	WriteOwnerUnavailable: {Status: http.StatusServiceUnavailable, RetryAfter: 5 * time.Second},
	LoopDetected:          {Status: http.StatusLoopDetected},
	Draining:              {Status: http.StatusServiceUnavailable, RetryAfter: time.Second},
	NotReady:              {Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second},
	ConfigStale:           {Status: http.StatusServiceUnavailable, RetryAfter: 30 * time.Second},
	CallerLeft:            {Status: http.StatusInternalServerError},
	Internal:              {Status: http.StatusInternalServerError},
}

// ResponseFor returns the response for a kind. Unknown kinds get the response of Internal.
func ResponseFor(k Kind) Response {
	if a, ok := responses[k]; ok {
		return a
	}
	return responses[Internal]
}

// Kinds returns all kinds in the response table, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is a failure with a kind. It is the only error type that is returned to callers.
type Error struct {
	Kind Kind
	// Execution states whether an upstream executed the request.
	Execution Execution
	// Message describes the failure and what the caller may do. It is shown to the caller.
	Message string
	// RetryAfter overrides the default delay of the kind if it is not 0.
	RetryAfter time.Duration
	// Cause is logged and never shown to the caller.
	Cause error
	// CallerLeft is true if the request ended because its caller had closed the connection or did not read.
	CallerLeft bool
}

// New returns an Error of kind k for a request that was not executed.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Execution: NotExecuted, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of kind k whose cause has a stack trace.
func Wrap(cause error, k Kind, execution Execution, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{Kind: k, Execution: execution, Message: message, Cause: eris.Wrap(cause, message)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Kind, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RetryDelay returns the delay before the caller should retry; 0 if retrying does not help.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return ResponseFor(e.Kind).RetryAfter
}

// From returns err as an *Error. Any other type of error is wrapped as Internal with
// ExecutionUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, ExecutionUnknown, "internal error")
}
