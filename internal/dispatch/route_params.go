package dispatch

// This file holds the rules for requests of host routes. Requests of the API have no
// RouteParams.

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/errkind"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// RouteParams holds the parameters of a host route request, set by the operator's route
// configuration and by the caller.
type RouteParams struct {
	// Host is the host name that the caller requested, and Route the name of the route.
	Host  string
	Route string
	// MaxExecutions limits the attempts that an upstream may have executed. Attempts that
	// were certainly not executed do not count.
	MaxExecutions int
	// FirstByteObjective is the latency objective for the first byte of the response.
	FirstByteObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// AllowedRegions lists the regions that may execute the request; empty for any.
	AllowedRegions []string
	// PromptParts are the parts of the prompt, and PromptTokens is the token count of the
	// whole prompt.
	PromptParts  []routing.PromptPart
	PromptTokens int64
}

// maxAttemptsPerExecution bounds the attempts of a request, rejected ones included, as a
// multiple of RouteParams.MaxExecutions. Retries are limited by the budget; this bound ends
// the search for an upstream when the whole region is at capacity.
const maxAttemptsPerExecution = 2

// prefixHashes returns for each part of the prompt a hash of the prefix that ends with it.
func prefixHashes(parts []routing.PromptPart) []uint64 {
	const prime = 1099511628211 // the 64-bit FNV prime
	hashes := make([]uint64, 0, len(parts))
	hash := uint64(14695981039346656037)
	for _, part := range parts {
		hash = (hash ^ part.ID) * prime
		hashes = append(hashes, hash)
	}
	return hashes
}

// serviceRequest returns the inputs of the routing decision.
func (p *RouteParams) serviceRequest(r *Request) *routing.ServiceRequest {
	return &routing.ServiceRequest{
		AllowedRegions:     p.AllowedRegions,
		FirstByteObjective: p.FirstByteObjective,
		Parts:              p.PromptParts,
		Remaining:          time.Until(r.Deadline),
	}
}

const (
	// firstByteShare is the fraction of the objective after which an attempt without a
	// first byte is abandoned if the request may run on another upstream.
	firstByteShare = 0.6
	// firstByteFactor scales the estimated time to the first byte. The estimate covers
	// prefill only and omits the decoding steps of other requests between prefill chunks.
	firstByteFactor = 3
)

// firstByteTimeout returns the timeout for the first byte of an attempt, given the
// estimated time to it. It returns 0, which means the deadline, for the last execution
// that MaxExecutions allows.
func (p *RouteParams) firstByteTimeout(r *Request, expected time.Duration) time.Duration {
	if !r.Repeatable || r.executedAttempts+1 >= p.MaxExecutions || p.FirstByteObjective == 0 {
		return 0
	}
	return max(time.Duration(firstByteShare*float64(p.FirstByteObjective)), firstByteFactor*expected)
}

// applyRouteParams sets the fields of an attempt that only host routes use.
func (d *Dispatcher) applyRouteParams(a *relay.Attempt, r *Request, u *routing.Upstream, choice routing.Choice) {
	if r.RouteParams == nil {
		return
	}
	a.Protocol = d.Protocol
	a.Host = r.RouteParams.Host
	a.UpstreamID = u.ID
	a.Account = r.Account
	a.Priority = r.RouteParams.Priority
	a.Deadline = r.Deadline
	r.expectedFirstByte = choice.ExpectedFirstByte()
	a.HostFirstByteTimeout = r.RouteParams.firstByteTimeout(r, choice.ExpectedFirstByte())
	sent := clock.Now()
	a.OnMetadata = func(m relay.ResponseMetadata) {
		recordRoom(u, m, sent)
		if m.Leaving {
			r.leavingUpstream = u.ID
			u.Counters.RecordLeaving(clock.Now())
		}
		switch {
		case m.RateInvalid:
		case m.Rate != nil:
			u.Counters.RecordNamedRate(clock.Now(), sent, *m.Rate, true)
		default:
			u.Counters.RecordNamedRate(clock.Now(), sent, 0, false)
		}
	}
}

// recordRoom records what a response to a request that was sent at a time says of the room at its upstream.
func recordRoom(u *routing.Upstream, m relay.ResponseMetadata, sent time.Time) {
	u.Counters.RecordBrittle(clock.Now(), sent, m.Brittle)
	if m.NotExecuted {
		u.Counters.RecordFull(clock.Now())
	}
	if m.RetryAfter > 0 {
		u.Counters.RecordRetryAfter(clock.Now(), m.RetryAfter)
	}
	if m.Load != nil {
		u.Counters.RecordFreePlaces(clock.Now(), *m.Load)
	}
}

// noAttemptReasonOnRoute is noAttemptReason within the limits of the route.
func noAttemptReasonOnRoute(r *Request, result relay.Result) retry.StopReason {
	_, reason := retry.Decide(retry.Attempt{
		Number:          r.executedAttempts,
		Outcome:         result.Outcome,
		Repeatable:      r.Repeatable,
		ResponseStarted: result.Started,
		Resumable:       r.StreamPosition != nil,
		Crashes:         r.Crashes,
		Remaining:       time.Until(r.Deadline),
		MaxAttempts:     r.RouteParams.MaxExecutions,
	})
	if reason == retry.StopNone && r.Attempts >= maxAttemptsPerExecution*r.RouteParams.MaxExecutions {
		return retry.StopAttempts
	}
	return reason
}

// countExecuted counts the attempts that an upstream may have executed. A forwarded request
// counts all attempts that the peer reports.
func (r *Request) countExecuted(result relay.Result) {
	if result.Err == nil || result.Err.Execution != errkind.NotExecuted {
		r.executedAttempts += max(result.Attempts, 1)
	}
}

// ExecutedAttempts returns the number of attempts that an upstream may have executed.
func (r *Request) ExecutedAttempts() int { return r.executedAttempts }

// SetExecutedAttempts sets the count to that of the forwarding instance.
func (r *Request) SetExecutedAttempts(n int) { r.executedAttempts = n }

// deliverErrorResponse delivers the error response of the upstream, if there is one and no
// response was started. It reports whether the response was delivered.
func deliverErrorResponse(result relay.Result, sink Sink) bool {
	if result.ErrorResponse == nil || result.Started {
		return false
	}
	return relay.DeliverBuffered(sink, result.ErrorResponse.Status, result.ErrorResponse.Header, result.ErrorResponse.Body).Err == nil
}

// updateUpstreamState updates the load and the failure counters of an upstream after an
// attempt.
func (d *Dispatcher) updateUpstreamState(u *routing.Upstream, result relay.Result) {
	if result.Load != nil {
		u.Counters.RecordLoad(clock.Now(), *result.Load)
	}
	switch result.Outcome {
	case retry.Rejected, retry.RequestEnded:
		// The upstream did not execute the request, or the caller disconnected or the
		// deadline passed.
		return
	case retry.NotSent:
		// The connection was refused or not established in time: the upstream is paused
		// immediately until a health check (package probe) succeeds.
		u.Counters.RecordUnreachable()
	}
	u.Counters.ObserveAttempt(result.UpstreamFault)
}

// attemptHeader returns the header of an attempt. Host routes forward the header unchanged.
func attemptHeader(r *Request) http.Header {
	if r.RouteParams != nil {
		return r.Header
	}
	return versionHeader(r)
}

// promptHashes returns the keys of the prompt in the prefix index.
func promptHashes(r *Request) []uint64 {
	if r.RouteParams == nil {
		return r.Prompt.Hashes
	}
	if r.partHashes == nil {
		r.partHashes = prefixHashes(r.RouteParams.PromptParts)
	}
	return r.partHashes
}

// promptTokens returns the number of tokens of the prompt.
func promptTokens(r *Request) int64 {
	if r.RouteParams != nil {
		return r.RouteParams.PromptTokens
	}
	return int64(r.Prompt.Tokens)
}

// interruptedOutcomes are the outcomes of attempts after which nothing is known of the request
// at the upstream.
var interruptedOutcomes = []retry.Outcome{retry.Crashed, retry.TimedOut, retry.Truncated, retry.RequestEnded}

// logAttempt appends an attempt and its outcome to the attempt log.
func (r *Request) logAttempt(destination string, result relay.Result) {
	outcome := "ok"
	if result.Err != nil {
		outcome = string(result.Err.Kind)
		sent := result.Err.Execution != errkind.NotExecuted
		r.interrupted = r.interrupted || (sent && slices.Contains(interruptedOutcomes, result.Outcome))
	}
	r.attemptLog = append(r.attemptLog, destination+":"+outcome)
}

// ExpectedFirstByte returns the time to the first byte that was estimated when the request
// was last assigned to an upstream of this region; 0 before.
func (r *Request) ExpectedFirstByte() time.Duration { return r.expectedFirstByte }

// NoRetryReason returns why no further attempt was made after the last one failed; StopNone if none
// failed or the request was not attempted.
func (r *Request) NoRetryReason() retry.StopReason { return r.noRetry }

// AttemptSummary returns the upstreams and peers that were tried, in the form id:outcome.
func (r *Request) AttemptSummary() string { return strings.Join(r.attemptLog, " ") }
