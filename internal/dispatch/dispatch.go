// Package dispatch takes a request whose client account has been identified and delivers
// its final response: it picks an upstream or an entry instance of another region, makes
// the attempt, and retries it where that is allowed.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heatherloom/internal/callerconn"
	"heatherloom/internal/clock"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/promptprefix"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

// Request is a request whose client account has been identified.
type Request struct {
	ID      string
	Account string
	Method  string
	// Path includes the query string; credentials have been removed from it.
	Path   string
	Header http.Header
	Body   []byte
	// Target is a model@version, or the bare name of the service of a path route or host route.
	Target string
	// Prompt holds the prefix hashes and the token count of a completion's prompt.
	Prompt promptprefix.Prompt
	// Stream is true if the caller requested server-sent events.
	Stream bool
	// StreamPosition is the last event delivered by earlier attempts; nil for a new stream.
	StreamPosition *relay.StreamPosition
	// Repeatable is true if the request may be sent to another upstream after a failure.
	// Other requests are sent at most once.
	Repeatable bool
	// OutcomeRecorded is true for a write whose outcome is recorded, and needed also after its caller has left.
	OutcomeRecorded bool
	// BoundRegion is the only region that may process the request; empty for any.
	BoundRegion string
	// Visited lists the entry instances that have already handled the request.
	Visited  []string
	Deadline time.Time
	// Attempts counts the attempts so far, and Crashes those during which the connection
	// to the upstream broke. Dispatch adds its own attempts to both.
	Attempts int
	Crashes  int
	// RouteParams is set for requests of host routes. Nil selects the rules of API requests,
	// which are inference requests and those of the API's routes to plain services.
	RouteParams *RouteParams
	// partHashes caches the prefix hashes of the prompt parts in RouteParams.
	partHashes []uint64
	// parts are the parts of the prompt that other requests may share; set by Dispatch.
	parts []quarantine.Fingerprint
	// attemptLog lists the upstreams and peers that were tried, with their outcomes.
	attemptLog []string
	// expectedFirstByte is the estimated time to the first byte of the response.
	expectedFirstByte time.Duration
	interrupted       bool
	// retryReserved is true if the retry budget was charged for the next retry already.
	retryReserved bool
	// noRetry is why no further attempt was made after the last one failed.
	noRetry retry.StopReason
	// leavingUpstream is the upstream that said last, in a response to this request, that it leaves; empty for none.
	leavingUpstream string
	// executedAttempts counts the attempts that an upstream may have executed.
	executedAttempts int
	// Counted is true once the usage of the request was counted, here or at another instance, and for a
	// request that continues a stream of an earlier one. It is not counted again.
	Counted bool
	// Probe marks a rollout probe: a request that tests the candidate version of a rollout.
	// It may be sent to the candidate whatever the candidate's traffic share.
	Probe bool
}

// IsCompletion reports whether the response is a completion, whose JSON includes the
// request id.
func (r *Request) IsCompletion() bool {
	path, _, _ := strings.Cut(r.Path, "?")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// Interrupted reports whether an attempt was sent to an upstream and ended without its
// complete response.
func (r *Request) Interrupted() bool { return r.interrupted }

// PromptPartIDs returns the ids of the parts of the prompt in hexadecimal, separated by commas;
// empty if they are not known.
func (r *Request) PromptPartIDs() string {
	if r.RouteParams == nil {
		return ""
	}
	var ids []string
	for _, part := range r.RouteParams.PromptParts {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// estimateKey groups requests that are expected to have similar service times.
func (r *Request) estimateKey() string {
	if r.Stream {
		return r.Target + " stream"
	}
	return r.Target + " " + r.Method
}

// LeavingUpstream returns the id of the upstream that said last, in a response to this request, that it leaves;
// empty for none.
func (r *Request) LeavingUpstream() string { return r.leavingUpstream }

// SetLeavingUpstream sets what LeavingUpstream returns, for a request that was forwarded. It is to be called
// before the head of the response is delivered.
func (r *Request) SetLeavingUpstream(id string) { r.leavingUpstream = id }

// Sink receives the response. Head is called at most once and before Data.
type Sink = relay.Sink

// Forwarder sends a request to another entry instance.
type Forwarder interface {
	Forward(ctx context.Context, peer routing.Peer, r *Request, sink Sink) relay.Result
}

// Dispatcher routes requests based on the current snapshot. It is safe for concurrent
// use.
type Dispatcher struct {
	Snapshot  func() *routing.Snapshot
	Relay     *relay.Relay
	Forwarder Forwarder
	// Policy selects the destination of API requests; nil for routing.FallbackPolicy.
	Policy routing.Policy
	// Prefixes records which prompts were sent to which upstream; nil if the policy does
	// not use it.
	Prefixes *routing.PrefixIndex
	// ServicePolicy, Protocol and ServiceRetryBudgets are required only for requests of
	// host routes: the routing policy, the protocol of the upstreams, and the retry budgets,
	// one for each service.
	ServicePolicy       routing.Policy
	Protocol            relay.Protocol
	ServiceRetryBudgets *retry.Budgets
	// ReportCrash is called for each crash of an upstream that this instance detects, with how
	// it was detected; nil to ignore crashes. Silent ends are detected only while DetectCrashes
	// runs.
	ReportCrash func(c quarantine.Crash, reason string)
	// ReportCompletedParts is called with the time of the latest completions of requests with
	// suspected parts in their prompts, by part; nil to ignore them.
	ReportCompletedParts func(map[quarantine.Fingerprint]time.Time)
	// ReportProbe is called for each request that is sent although a part of its prompt is in quarantine, with
	// the part and the id of the request; nil to ignore them.
	ReportProbe func(part quarantine.Fingerprint, request string)
	// ReportSuspectedRestart is called when an upstream may have started again, with the sign of it; nil to ignore it.
	ReportSuspectedRestart func(upstream string, sign RestartSign)
	// ObserveRollout is called for each attempt on a target with an active rollout; nil to
	// ignore them.
	ObserveRollout func(RolloutObservation)
	// CountUsage is called once for each request of a client account that an upstream of this instance begins to
	// execute, with the account, when that is known. It must not block. Nil counts nothing.
	CountUsage func(account string)
	// Timeline and Metrics may be nil.
	Timeline *timeline.Recorder
	Metrics  *telemetry.Metrics

	forwarded atomic.Int64
	// budget limits the retries of API requests, for all targets together. Retries on host
	// routes are limited for each service by ServiceRetryBudgets instead.
	budget    retry.Budget
	estimates retry.Estimates

	crashState crashState
	probes     quarantine.Probes
}

// Dispatch serves r and writes its response to sink. It returns nil if the complete
// response was delivered. If it fails after sink.Head was called, the response is
// truncated and the calling code must mark it as incomplete.
//
// Canceling ctx, or a caller that closes its connection, ends the request. Of a write it ends what has provably not
// reached an upstream; a write in progress goes on, since its outcome would become unknown, until its
// deadline or the cause drain.ErrInterrupted.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request, sink Sink) *errkind.Error {
	if callerconn.Left(ctx) {
		return callerLeft(ctx, errkind.NotExecuted)
	}
	run, cancel := newRequestContext(ctx, r)
	defer cancel()
	if r.RouteParams != nil && len(r.Visited) == 0 {
		d.ServiceRetryBudgets.RecordRequest(clock.Now(), r.Target)
	}
	d.budget.RecordRequest(clock.Now())
	r.parts = sharedParts(r.RouteParams)
	probed, isProbe := d.beginProbe(r)
	if !isProbe {
		if err := d.rejectQuarantined(r); err != nil {
			return err
		}
	}
	err := d.rejectLate(r)
	if err == nil {
		if r.Stream && r.StreamPosition == nil {
			r.StreamPosition = &relay.StreamPosition{}
		}
		r.Counted = r.Counted || (r.StreamPosition != nil && r.StreamPosition.HasLastEventID)
		err = d.attemptWithRetries(run, r, sink)
	}
	if isProbe {
		d.probes.End(clock.Now(), probed, err == nil || err.Execution != errkind.NotExecuted)
	}
	return err
}

// requestContext is a context for the work on a request.
type requestContext struct {
	context.Context
	// caller ends when the caller leaves.
	caller context.Context
	// detached is true if the context does not end with caller.
	detached bool
}

func newRequestContext(ctx context.Context, r *Request) (requestContext, context.CancelFunc) {
	if r.Repeatable || (r.RouteParams != nil && r.Stream) {
		run, cancel := context.WithDeadline(ctx, r.Deadline)
		return requestContext{Context: run, caller: ctx}, cancel
	}
	detached, stop := withoutCallerCancel(ctx)
	run, cancel := context.WithDeadline(detached, r.Deadline)
	return requestContext{Context: run, caller: ctx, detached: true}, func() {
		cancel()
		stop()
	}
}

// callerLeft returns the error of a request whose caller has left, or which a drain has interrupted.
func callerLeft(ctx context.Context, execution errkind.Execution) *errkind.Error {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = errCallerClosed
	}
	return relay.RequestCanceled(ctx, cause, execution, false).Err
}

var errCallerClosed = errors.New("the connection is closed")

// withoutCallerCancel returns a context that ends with ctx only if the cause is
// drain.ErrInterrupted.
func withoutCallerCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, drain.ErrInterrupted) {
			cancel(cause)
		}
	})
	return detached, func() {
		stop()
		cancel(nil)
	}
}

// contestedRetryAfter is the Retry-After of requests with a contested part, about which a probe decides.
const contestedRetryAfter = 5 * time.Second

// rejectQuarantined rejects requests that are in quarantine, or that have a part in their prompts that is.
func (d *Dispatcher) rejectQuarantined(r *Request) *errkind.Error {
	now := clock.Now()
	until, ok := d.quarantinedUntil(r)
	if !ok || !now.Before(until) {
		return nil
	}
	if _, contested := d.contestedPart(r); contested {
		err := errkind.New(errkind.RequestQuarantined,
			"upstreams ended while they executed requests with a part of this prompt; it is rejected until another request shows whether the part is the cause")
		err.RetryAfter = min(until.Sub(now), contestedRetryAfter)
		return err
	}
	err := errkind.New(errkind.RequestQuarantined,
		"upstreams cannot execute the content of this request, or a part of its prompt; it is rejected until %s, and other requests are not affected", until.UTC().Format(time.RFC3339))
	err.RetryAfter = until.Sub(now)
	return err
}

// rejectLate rejects requests that cannot meet their deadline.
func (d *Dispatcher) rejectLate(r *Request) *errkind.Error {
	now := clock.Now()
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return errkind.New(errkind.DeadlinePassed, "the deadline of the request has already passed")
	}
	if r.RouteParams != nil {
		return nil
	}
	if estimate := d.estimates.Shortest(now, r.estimateKey()); remaining < estimate {
		return errkind.New(errkind.DeadlineUnreachable,
			"the deadline is in %s, but every recent request to %q took at least %s",
			remaining.Round(time.Millisecond), r.Target, estimate.Round(time.Millisecond))
	}
	return nil
}

// quarantinedUntil returns the end of the quarantine of the request or of a part of its prompt; ok is
// false if neither is quarantined.
func (d *Dispatcher) quarantinedUntil(r *Request) (until time.Time, ok bool) {
	set := d.Snapshot().Quarantined
	if len(set) == 0 {
		return time.Time{}, false
	}
	s := r.subject()
	for _, f := range append([]quarantine.Fingerprint{s.Request, s.AtService, s.AtHost}, s.Parts...) {
		if end, quarantined := set[f]; quarantined && end.After(until) {
			until, ok = end, true
		}
	}
	return until, ok
}

// attemptWithRetries retries the request until an attempt delivers the response or no
// further attempt is allowed.
func (d *Dispatcher) attemptWithRetries(ctx requestContext, r *Request, sink Sink) *errkind.Error {
	var tried []string
	var last relay.Result
	execution := errkind.NotExecuted
	for {
		if callerconn.Left(ctx.caller) {
			r.noRetry = retry.StopFinal
			return callerLeft(ctx.caller, execution)
		}
		result, destination, err := d.attempt(ctx, r, tried, last.Outcome, sink)
		if err != nil {
			r.noRetry = retry.StopNoUpstream
			return noUpstreamError(err, last, execution)
		}
		if result.Err == nil {
			return nil
		}
		result.Started = result.Started || (r.StreamPosition != nil && r.StreamPosition.Started)
		last = result
		tried = append(tried, destination)
		execution = combineExecution(execution, result.Err.Execution)
		result.Err.Execution = execution
		d.recordFailure(r, destination, result.Err)
		if r.noRetry = d.noRetryReason(r, result); r.noRetry != retry.StopNone {
			if deliverErrorResponse(result, sink) {
				return nil
			}
			return result.Err
		}
		if target := currentTarget(d.Snapshot(), r, true); target != r.Target {
			// The upstreams that failed with the candidate version may still serve the
			// running one.
			r.Target, tried = target, nil
		}
		d.Metrics.RecordRetry()
	}
}

// noUpstreamError returns the error of a request that no remaining upstream can serve. If
// an earlier attempt may have been executed, its error takes precedence.
func noUpstreamError(err *errkind.Error, last relay.Result, execution errkind.Execution) *errkind.Error {
	if last.Err == nil || execution == errkind.NotExecuted {
		return err
	}
	return last.Err
}

// combineExecution combines the execution states of two attempts: Executed takes precedence
// over ExecutionUnknown, and ExecutionUnknown over NotExecuted.
func combineExecution(a, b errkind.Execution) errkind.Execution {
	if a == errkind.Executed || b == errkind.Executed {
		return errkind.Executed
	}
	if a == errkind.ExecutionUnknown || b == errkind.ExecutionUnknown {
		return errkind.ExecutionUnknown
	}
	return errkind.NotExecuted
}

// noRetryReason returns why a failed attempt may not be retried, or StopNone after it has charged
// the retry budget for the retry.
func (d *Dispatcher) noRetryReason(r *Request, result relay.Result) retry.StopReason {
	if reason := d.noAttemptReason(r, result); reason != retry.StopNone {
		return reason
	}
	if result.Outcome == retry.NotSent {
		return retry.StopNone
	}
	if r.retryReserved {
		r.retryReserved = false
		return retry.StopNone
	}
	if !d.takeRetry(r, result.Started) {
		return retry.StopBudget
	}
	return retry.StopNone
}

// reserveRetry reports whether the running attempt may be given up for a retry, which it charges to the
// retry budget.
func (d *Dispatcher) reserveRetry(r *Request) bool {
	given := *r
	given.Attempts++
	given.executedAttempts++
	started := r.StreamPosition != nil && r.StreamPosition.Started
	if d.noAttemptReason(&given, relay.Result{Outcome: retry.TimedOut, Started: started}) != retry.StopNone {
		return false
	}
	r.retryReserved = r.retryReserved || d.takeRetry(r, started)
	return r.retryReserved
}

// takeRetry charges the retry budget for a retry and reports whether it allows it. started is true if a part
// of the response was delivered.
func (d *Dispatcher) takeRetry(r *Request, started bool) bool {
	switch {
	case r.RouteParams == nil:
		return d.budget.Take(clock.Now())
	case r.Stream && !started && !r.StreamPosition.HasLastEventID:
		return d.ServiceRetryBudgets.TakeBeforeStream(clock.Now(), r.Target, d.Snapshot().InstanceCount)
	default:
		return d.ServiceRetryBudgets.Take(clock.Now(), r.Target, d.Snapshot().InstanceCount)
	}
}

// noAttemptReason returns why a failed attempt may not be followed by another, whatever the retry
// budget allows.
func (d *Dispatcher) noAttemptReason(r *Request, result relay.Result) retry.StopReason {
	if until, quarantined := d.quarantinedUntil(r); quarantined && clock.Now().Before(until) {
		return retry.StopQuarantine
	}
	if result.Crashes > 0 && d.suspected(r) {
		return retry.StopCrash
	}
	if r.RouteParams != nil {
		return noAttemptReasonOnRoute(r, result)
	}
	now := clock.Now()
	_, reason := retry.Decide(retry.Attempt{
		Number:          r.Attempts,
		Outcome:         result.Outcome,
		Repeatable:      r.Repeatable,
		ResponseStarted: result.Started,
		Resumable:       r.StreamPosition != nil && r.StreamPosition.Resumable(),
		Crashes:         r.Crashes,
		Remaining:       r.Deadline.Sub(now),
		Estimate:        d.estimates.Shortest(now, r.estimateKey()),
	})
	return reason
}

func (d *Dispatcher) attempt(ctx requestContext, r *Request, tried []string, last retry.Outcome, sink Sink) (relay.Result, string, *errkind.Error) {
	snapshot := d.Snapshot()
	r.Target = currentTarget(snapshot, r, false)
	choice, err := d.pick(snapshot, r, tried, last)
	if err != nil {
		return relay.Result{}, "", errkind.From(err)
	}
	started := clock.Now()
	var result relay.Result
	var destination string
	if choice.Peer >= 0 {
		peer := snapshot.Peers[choice.Peer]
		destination = peer.ID
		d.recordForward(r, &peer)
		result = d.sendToPeer(ctx, r, peer, sink)
		d.Metrics.RecordForward(result.Err)
	} else {
		upstream := &snapshot.Upstreams[choice.Upstream]
		destination = upstream.ID
		d.recordPick(r, upstream)
		result = d.sendToUpstream(ctx, r, upstream, choice, sink)
		d.Metrics.RecordAttempt(result.Err)
	}
	r.Attempts += max(result.Attempts, 1)
	r.Crashes += result.Crashes
	r.countExecuted(result)
	r.logAttempt(destination, result)
	if result.Err == nil && r.RouteParams == nil {
		d.estimates.Observe(clock.Now(), r.estimateKey(), clock.Now().Sub(started))
	}
	return result, destination, nil
}

// pick chooses a destination that has not been tried yet. If there is none and the last
// attempt was not sent or timed out, it allows the last destination again, since a new
// connection to it may succeed.
func (d *Dispatcher) pick(snapshot *routing.Snapshot, r *Request, tried []string, last retry.Outcome) (routing.Choice, error) {
	request := &routing.Request{
		ID:           r.ID,
		Target:       r.Target,
		BoundRegion:  r.BoundRegion,
		Visited:      r.Visited,
		Tried:        tried,
		Prefix:       r.Prompt.Hashes,
		PromptTokens: int64(r.Prompt.Tokens),
		BodyBytes:    int64(len(r.Body)),
		Now:          clock.Now().UnixNano(),
	}
	policy := d.Policy
	if policy == nil {
		policy = routing.FallbackPolicy()
	}
	if r.RouteParams != nil {
		policy = d.ServicePolicy
		request.Service = r.RouteParams.serviceRequest(r)
		request.Prefix, request.PromptTokens = promptHashes(r), r.RouteParams.PromptTokens
		return d.pickService(policy, snapshot, request)
	}
	scratch := scratchPool.Get().(*routing.Scratch)
	defer scratchPool.Put(scratch)
	choice, err := policy.Pick(snapshot, request, scratch)
	if err == nil || len(tried) == 0 || (last != retry.NotSent && last != retry.TimedOut) {
		return choice, err
	}
	request.Tried = tried[:len(tried)-1]
	return policy.Pick(snapshot, request, scratch)
}

func (d *Dispatcher) pickService(policy routing.Policy, snapshot *routing.Snapshot, request *routing.Request) (routing.Choice, error) {
	scratch := scratchPool.Get().(*routing.Scratch)
	defer scratchPool.Put(scratch)
	return policy.Pick(snapshot, request, scratch)
}

// scratchPool pools the scratch space of routing decisions.
var scratchPool = sync.Pool{New: func() any { return routing.NewScratch(rand.Uint64()) }}

// firstByteSink records when the head of the response arrives, and each part of the response.
type firstByteSink struct {
	Sink
	tracked *routing.TrackedAttempt
	// attempt is nil for a forward.
	attempt *quarantine.Attempt
	// head is the time at which the head arrived, and status its status; zero before.
	head   time.Time
	status int
}

func (s *firstByteSink) Head(status int, header http.Header) error {
	s.head, s.status = clock.Now(), status
	if relay.IsEventStream(status, header) {
		s.tracked.FirstByte(s.head)
	} else {
		s.tracked.WholeResponse(s.head)
	}
	s.recordProgress()
	return s.Sink.Head(status, header)
}

func (s *firstByteSink) Data(p []byte) error {
	s.tracked.Progress(clock.Now())
	s.recordProgress()
	return s.Sink.Data(p)
}

func (s *firstByteSink) recordProgress() {
	if s.attempt != nil {
		s.attempt.Progress(clock.Now())
	}
}

// ForwardedCount returns the number of requests that were forwarded to another entry instance.
func (d *Dispatcher) ForwardedCount() int64 { return d.forwarded.Load() }

func (d *Dispatcher) sendToPeer(run requestContext, r *Request, peer routing.Peer, sink Sink) relay.Result {
	ctx := run.Context
	d.forwarded.Add(1)
	if run.detached && !r.OutcomeRecorded {
		// The peer decides what of a write ends with its caller.
		forwarded, cancel := context.WithDeadline(run.caller, r.Deadline)
		defer cancel()
		ctx = forwarded
	}
	if peer.Counters == nil {
		return d.Forwarder.Forward(ctx, peer, r, sink)
	}
	tracked := peer.Counters.Begin(clock.Now(), promptTokens(r), 0)
	defer func() { tracked.End(clock.Now()) }()
	if d.Prefixes != nil {
		d.Prefixes.Add(clock.Now().UnixNano(), peer.Counters.HolderID(), r.Prompt.Hashes)
	}
	result := d.Forwarder.Forward(ctx, peer, r, &forwardedSink{
		Sink: &firstByteSink{Sink: sink, tracked: tracked}, beforeHead: func() { d.recordLeaving(r.leavingUpstream) },
	})
	d.recordLeaving(r.leavingUpstream)
	return result
}

// forwardedSink delivers the response of a forwarded request, and calls beforeHead first.
type forwardedSink struct {
	Sink
	beforeHead func()
}

// Head implements Sink.
func (s *forwardedSink) Head(status int, header http.Header) error {
	s.beforeHead()
	return s.Sink.Head(status, header)
}

// recordLeaving records that an upstream of this region, which a peer had asked, said that it leaves.
func (d *Dispatcher) recordLeaving(upstreamID string) {
	if upstreamID == "" {
		return
	}
	snapshot := d.Snapshot()
	for i := range snapshot.Upstreams {
		if u := &snapshot.Upstreams[i]; u.ID == upstreamID {
			u.Counters.RecordLeaving(clock.Now())
		}
	}
}

func (d *Dispatcher) sendToUpstream(ctx requestContext, r *Request, u *routing.Upstream, choice routing.Choice, sink Sink) relay.Result {
	now := clock.Now()
	tracked := u.Counters.Begin(now, choice.PrefillTokens, choice.QueuedTokens)
	defer func() { tracked.End(clock.Now()) }()
	cold := u.ColdReservation(choice, now)
	defer func() { cold.End(clock.Now()) }()
	if d.Prefixes != nil {
		d.Prefixes.Add(now.UnixNano(), u.Counters.HolderID(), promptHashes(r))
	}
	open := d.beginAttempt(r, u)
	timed := &firstByteSink{Sink: sink, tracked: tracked, attempt: open}
	attempt := relay.Attempt{
		RequestID:      r.ID,
		Address:        u.Address,
		Method:         r.Method,
		Path:           r.Path,
		Header:         attemptHeader(r),
		Body:           r.Body,
		StreamPosition: r.StreamPosition,
		Repeatable:     r.Repeatable,
		Completion:     r.RouteParams == nil && r.IsCompletion(),
	}
	if cold != nil {
		attempt.MaySend = func(again bool) bool { return cold.MaySend(clock.Now(), again) }
		attempt.OnSent = func() { cold.Sent(clock.Now()) }
	}
	if ctx.detached {
		attempt.Caller = ctx.caller
	}
	// The request must not change during the attempt: reserveRetry reads it on another goroutine.
	counted := r.Counted
	if d.CountUsage != nil && !r.Counted && r.Account != "" && !r.Probe {
		attempt.OnExecution = func() {
			if !counted {
				counted = true
				d.CountUsage(r.Account)
			}
		}
	}
	d.applyRouteParams(&attempt, r, u, choice)
	if r.Repeatable || r.RouteParams != nil {
		attempt.ReserveRetry = func() bool { return d.reserveRetry(r) }
	}
	result := d.Relay.Do(ctx, attempt, timed)
	r.Counted = counted
	if r.RouteParams != nil {
		d.updateUpstreamState(u, result)
	}
	d.observeRollout(r, u, result, now, timed.head)
	if result.Err == nil {
		u.Counters.ConsecutiveFailures.Store(0)
	} else if result.UpstreamFault && !d.versionFault(r, result) {
		u.Counters.ConsecutiveFailures.Add(1)
	}
	if result.ConnectionBroken || result.Outcome == retry.Crashed || result.Resends > 0 {
		d.suspectRestart(u, RestartSign{Reason: "the connection broke"})
	} else if result.Err != nil && errors.Is(result.Err.Cause, syscall.ECONNREFUSED) {
		d.suspectRestart(u, RestartSign{Reason: "it refused a connection"})
	}
	d.endAttempt(r, open, result, timed.status)
	d.recordResends(r, result)
	u.ChargeResends(result.Resends)
	d.countCrash(r, u, &result)
	return result
}

const (
	// minIdleTimeout is the shortest time after which upstreams that state no idle timeout close idle connections.
	minIdleTimeout = time.Second
	// idleTimeoutSlack is how much earlier than stated an upstream may close an idle connection.
	idleTimeoutSlack = time.Second
)

// RecordIdleClose records that an upstream closed an idle connection. It may have ended if that is sooner than it
// closes them. A cold one may have started again in any case: it gets so few requests that most connections are
// idle for long.
func (d *Dispatcher) RecordIdleClose(c relay.IdleClose) {
	early := c.Idle < max(c.Announced-idleTimeoutSlack, minIdleTimeout)
	snapshot := d.Snapshot()
	for i := range snapshot.Upstreams {
		if u := &snapshot.Upstreams[i]; u.Address == c.Address && (u.Cold || early) {
			d.suspectRestart(u, RestartSign{Reason: "an idle connection was closed", Idle: c.Idle})
		}
	}
}

// RestartSign tells why an upstream may have started again.
type RestartSign struct {
	Reason string
	// Idle is how long the connection that was closed had been idle; 0 for one in use.
	Idle time.Duration
}

func (d *Dispatcher) suspectRestart(u *routing.Upstream, sign RestartSign) {
	if u.Counters.SuspectRestart(clock.Now()) && u.MayBecomeCold && d.ReportSuspectedRestart != nil {
		d.ReportSuspectedRestart(u.ID, sign)
	}
}

// recordResends charges the retry budget for the sends that the transport repeated by itself.
func (d *Dispatcher) recordResends(r *Request, result relay.Result) {
	if result.Resends == 0 {
		return
	}
	if r.RouteParams != nil {
		d.ServiceRetryBudgets.RecordRetries(clock.Now(), r.Target, result.Resends)
		return
	}
	d.budget.Record(clock.Now(), result.Resends)
}
