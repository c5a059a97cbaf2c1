// Package retry decides whether a failed attempt may be retried, and keeps the retry
// budgets. It is independent of HTTP and takes the time as a parameter.
package retry

import (
	"cmp"
	"time"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Delivered means that the complete response was delivered.
	Delivered Outcome = iota
	// NotSent means that it is certain that no byte of the request left this instance, or
	// that the receiver did not process the request.
	NotSent
	// Rejected means that the upstream reported that it did not execute the request.
	Rejected
	// Crashed means that the connection broke after the request was sent and before any
	// part of a response arrived.
	Crashed
	// TimedOut means that the upstream made no progress within a timeout.
	TimedOut
	// Failed means that the upstream reported a failure or sent an invalid response.
	Failed
	// Truncated means that the response ended prematurely after its header.
	Truncated
	// NotRetryable means that a retry cannot succeed.
	NotRetryable
	// RequestEnded means that the caller closed the connection or the deadline of the
	// request passed.
	RequestEnded
)

const (
	// MaxAttempts limits the attempts of one request over all instances.
	MaxAttempts = 3
	// MaxCrashes limits the upstreams that one request may crash.
	MaxCrashes = 2
)

// Attempt describes a failed attempt and the state of its request.
type Attempt struct {
	// Number is the count that is compared with MaxAttempts: all attempts of an API request,
	// but only the possibly executed ones of a request on a host route, where it can be 0.
	Number  int
	Outcome Outcome
	// Repeatable is true if the request may be executed more than once; false for writes.
	Repeatable bool
	// ResponseStarted is true if the caller has received part of the response.
	ResponseStarted bool
	// Resumable is true if a started stream can be continued after its last event.
	Resumable bool
	// Crashes counts the attempts of the request whose connection broke during its execution.
	Crashes int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Estimate is the shortest expected duration of an attempt; 0 if not known.
	Estimate time.Duration
	// MaxAttempts limits the attempts of the request; 0 for the constant MaxAttempts.
	MaxAttempts int
}

// Decision is the decision on a failed attempt.
type Decision int

// The possible decisions.
const (
	// Stop ends the request with the failure of its last attempt.
	Stop Decision = iota
	// Again resends the whole request to another upstream.
	Again
	// Resume continues the stream on another upstream.
	Resume
)

// StopReason is why no further attempt is made.
type StopReason string

// The reasons for which no further attempt is made.
const (
	// StopNone means that a further attempt may be made.
	StopNone StopReason = ""
	// StopFinal means that the outcome is Delivered, NotRetryable or RequestEnded.
	StopFinal StopReason = "final"
	// StopAttempts means that the request has used up its attempts.
	StopAttempts StopReason = "attempts"
	// StopCrash means that upstreams ended under the request or under a part of its prompt.
	StopCrash StopReason = "crash"
	// StopQuarantine means that the request or a part of its prompt is quarantined.
	StopQuarantine StopReason = "quarantine"
	// StopDeadline means that too little time is left.
	StopDeadline StopReason = "deadline"
	// StopNotRepeatable means that the request may not be executed twice, or that its response has
	// begun and cannot be resumed.
	StopNotRepeatable StopReason = "not_repeatable"
	// StopBudget means that the retry budget is used up.
	StopBudget StopReason = "budget"
	// StopNoUpstream means that no upstream or peer is left to send the request to.
	StopNoUpstream StopReason = "no_upstream"
)

// Decide returns whether and how a failed attempt is retried, and why not; the reason is StopNone
// unless the decision is Stop. Unless the outcome is NotSent, the calling code must also take the
// retry from its Budget.
func Decide(a Attempt) (Decision, StopReason) {
	switch {
	case a.Outcome == Delivered || a.Outcome == NotRetryable || a.Outcome == RequestEnded:
		return Stop, StopFinal
	case a.Number >= cmp.Or(a.MaxAttempts, MaxAttempts):
		return Stop, StopAttempts
	case a.Crashes >= MaxCrashes:
		return Stop, StopCrash
	case a.Remaining <= 0 || (!a.ResponseStarted && a.Remaining < a.Estimate):
		return Stop, StopDeadline
	case !a.Repeatable && a.Outcome != NotSent && a.Outcome != Rejected:
		return Stop, StopNotRepeatable
	case !a.ResponseStarted:
		return Again, StopNone
	case a.Repeatable && a.Resumable:
		return Resume, StopNone
	default:
		return Stop, StopNotRepeatable
	}
}
