// Package dispatch carries one request from the point where its client account is
// known to its final answer: it picks an upstream or another entry instance, makes
// the attempt, and repeats it where that is allowed.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/promptprefix"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

// Request is a request whose client account is known.
type Request struct {
	ID      string
	Account string
	Method  string
	// Path includes the query, without credentials.
	Path   string
	Header http.Header
	Body   []byte
	// Target is a model@version or the name of a plain service.
	Target string
	// Prompt is the hashed prompt of a completion.
	Prompt promptprefix.Prompt
	// Stream is true if the caller asked for server-sent events.
	Stream bool
	// Position is how far a stream was delivered before; nil if it starts here.
	Position *relay.Position
	// Repeatable requests may be sent to another upstream after a failure. All
	// others are sent at most once.
	Repeatable bool
	// BoundRegion is the region that the request must not leave; empty for none.
	BoundRegion string
	// Visited are the entry instances that already handled the request.
	Visited  []string
	Deadline time.Time
	// Attempts and Crashes count the attempts so far and those that broke the
	// connection to their upstream. Dispatch adds its own.
	Attempts int
	Crashes  int
	// Terms is set for the requests of host routes; nil for those of the API.
	Terms *Terms
	// partHashes are the hashes of the parts of Terms, once they are needed.
	partHashes []uint64
	// trail lists the upstreams and peers that were tried, with their outcomes.
	trail []string
	// expected is the estimate of the time to the first part of the answer.
	expected time.Duration
	// ran counts the attempts that an upstream may have run.
	ran int
	// Probe requests test the candidate of a rollout and may go to it at any share.
	Probe bool
}

// Completion reports whether the answer is a completion, which carries the request
// id in its JSON.
func (r *Request) Completion() bool {
	path, _, _ := strings.Cut(r.Path, "?")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// fingerprint leaves out the version of a model, since a request that crashes one
// version may crash the next.
func (r *Request) fingerprint() quarantine.Fingerprint {
	target, _, _ := strings.Cut(r.Target, "@")
	return quarantine.Of(r.Account, target, r.Method, r.Path, r.Body)
}

// estimateKey separates requests whose service times differ.
func (r *Request) estimateKey() string {
	if r.Stream {
		return r.Target + " stream"
	}
	return r.Target + " " + r.Method
}

// Sink receives the answer. Head is called at most once and before Data.
type Sink = relay.Sink

// Forwarder sends a request to an entry instance of another region.
type Forwarder interface {
	Forward(ctx context.Context, peer routing.Peer, r *Request, sink Sink) relay.Result
}

// Dispatcher serves requests against the current snapshot. It is safe for
// concurrent use.
type Dispatcher struct {
	// Snapshot returns the current snapshot.
	Snapshot func() *routing.Snapshot
	Relay    *relay.Relay
	Forward  Forwarder
	// Policy chooses where a request runs; nil for routing.Fallback.
	Policy routing.Policy
	// Prefixes learns which upstream was sent which prompt; nil if the policy does not
	// use it.
	Prefixes *routing.PrefixIndex
	// Services chooses where requests with terms run, Protocol is that of their upstreams,
	// and Budgets bounds their retries. They are needed for such requests only.
	Services routing.Policy
	Protocol relay.Protocol
	Budgets  *retry.Budgets
	// ReportCrash receives each crash of an upstream; nil to drop them.
	ReportCrash func(quarantine.Crash)
	// Observe receives the attempts of models with a rollout under way; nil to drop them.
	Observe func(Observation)
	// Timeline and Metrics may be nil.
	Timeline *timeline.Recorder
	Metrics  *telemetry.Metrics

	forwarded atomic.Int64
	budget    retry.Budget
	estimates retry.Estimates
}

// Dispatch serves r and delivers its answer to sink. It returns nil if the whole
// answer was delivered. If the sink's Head was called before a failure, the
// answer is cut and the caller must mark it as incomplete.
//
// A write that was sent runs on when ctx is canceled, since its outcome would
// become unknown; it ends at its deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request, sink Sink) *errkind.Error {
	if ctx.Err() != nil {
		return relay.CallerGone(context.Cause(ctx), errkind.RanNo, false).Err
	}
	if !r.Repeatable && (r.Terms == nil || !r.Stream) {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Terms != nil && len(r.Visited) == 0 {
		d.Budgets.Request(time.Now(), r.Target)
	}
	d.budget.Request(time.Now())
	if err := d.refuseEarly(r); err != nil {
		return err
	}
	if r.Stream && r.Position == nil {
		r.Position = &relay.Position{}
	}
	return d.attempts(ctx, r, sink)
}

// refuseEarly refuses what is in quarantine and what cannot meet its deadline.
func (d *Dispatcher) refuseEarly(r *Request) *errkind.Error {
	now := time.Now()
	if until, ok := d.quarantined(r); ok && now.Before(until) {
		err := errkind.New(errkind.RequestQuarantined,
			"this request broke two upstreams that ran it and is refused until %s; other requests are served", until.UTC().Format(time.RFC3339))
		err.RetryAfter = until.Sub(now)
		return err
	}
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return errkind.New(errkind.DeadlinePassed, "the deadline of the request has passed already")
	}
	if r.Terms != nil {
		return nil
	}
	if estimate := d.estimates.Of(now, r.estimateKey()); remaining < estimate {
		return errkind.New(errkind.DeadlineUnreachable,
			"the deadline is in %s, but no request to %q took less than %s in the last seconds",
			remaining.Round(time.Millisecond), r.Target, estimate.Round(time.Millisecond))
	}
	return nil
}

// quarantined returns the end of the request's quarantine, if there is one.
func (d *Dispatcher) quarantined(r *Request) (time.Time, bool) {
	set := d.Snapshot().Quarantined
	if len(set) == 0 {
		return time.Time{}, false
	}
	until, ok := set[r.fingerprint()]
	return until, ok
}

// attempts makes attempts until one delivers the answer or no further one is allowed.
func (d *Dispatcher) attempts(ctx context.Context, r *Request, sink Sink) *errkind.Error {
	var tried []string
	var last relay.Result
	ran := errkind.RanNo
	for {
		result, used, err := d.attempt(ctx, r, tried, last.Outcome, sink)
		if err != nil {
			return withoutUpstream(err, last, ran)
		}
		if result.Err == nil {
			return nil
		}
		result.Started = result.Started || (r.Position != nil && r.Position.Started)
		last = result
		tried = append(tried, used)
		ran = worse(ran, result.Err.Ran)
		result.Err.Ran = ran
		d.recordFailure(r, used, result.Err)
		if !d.again(r, result) {
			if deliverHeld(result, sink) {
				return nil
			}
			return result.Err
		}
		if target := current(d.Snapshot(), r, true); target != r.Target {
			// The upstreams that failed with the candidate may serve the running version.
			r.Target, tried = target, nil
		}
		d.Metrics.Retry()
	}
}

// withoutUpstream returns the failure of a request for which no upstream is left.
func withoutUpstream(err *errkind.Error, last relay.Result, ran errkind.Ran) *errkind.Error {
	if last.Err == nil || ran == errkind.RanNo {
		return err
	}
	return last.Err
}

// worse returns which of two outcomes is further from "did not run".
func worse(a, b errkind.Ran) errkind.Ran {
	if a == errkind.RanYes || b == errkind.RanYes {
		return errkind.RanYes
	}
	if a == errkind.RanUnknown || b == errkind.RanUnknown {
		return errkind.RanUnknown
	}
	return errkind.RanNo
}

// again decides whether a further attempt follows a failed one.
func (d *Dispatcher) again(r *Request, result relay.Result) bool {
	if r.Terms != nil {
		return d.mayRepeat(r, result)
	}
	now := time.Now()
	verdict := retry.Decide(retry.Attempt{
		Number:     r.Attempts,
		Outcome:    result.Outcome,
		Repeatable: r.Repeatable,
		Started:    result.Started,
		Resumable:  r.Position != nil && r.Position.Resumable(),
		Crashes:    r.Crashes,
		Remaining:  r.Deadline.Sub(now),
		Estimate:   d.estimates.Of(now, r.estimateKey()),
	})
	if verdict == retry.Stop {
		return false
	}
	return result.Outcome == retry.NotSent || d.budget.Take(now)
}

func (d *Dispatcher) attempt(ctx context.Context, r *Request, tried []string, last retry.Outcome, sink Sink) (relay.Result, string, *errkind.Error) {
	snapshot := d.Snapshot()
	r.Target = current(snapshot, r, false)
	choice, err := d.pick(snapshot, r, tried, last)
	if err != nil {
		return relay.Result{}, "", errkind.From(err)
	}
	started := time.Now()
	var result relay.Result
	var used string
	if choice.Peer >= 0 {
		peer := snapshot.Peers[choice.Peer]
		used = peer.ID
		d.recordForward(r, &peer)
		result = d.toPeer(ctx, r, peer, sink)
		d.Metrics.Forward(result.Err)
	} else {
		upstream := &snapshot.Upstreams[choice.Upstream]
		used = upstream.ID
		d.recordPick(r, upstream)
		result = d.toUpstream(ctx, r, upstream, choice, sink)
		d.Metrics.Attempt(result.Err)
	}
	r.Attempts += max(result.Attempts, 1)
	r.Crashes += result.Crashes
	r.countRun(result)
	r.follow(used, result)
	if result.Err == nil && r.Terms == nil {
		d.estimates.Observe(time.Now(), r.estimateKey(), time.Since(started))
	}
	return result, used, nil
}

// pick chooses an upstream that did not fail yet. If there is none, it allows the
// last one again after a broken or silent connection, since a new connection to it
// may work.
func (d *Dispatcher) pick(snapshot *routing.Snapshot, r *Request, tried []string, last retry.Outcome) (routing.Choice, error) {
	request := &routing.Request{
		ID:          r.ID,
		Target:      r.Target,
		BoundRegion: r.BoundRegion,
		Visited:     r.Visited,
		Tried:       tried,
		Prefix:      r.Prompt.Hashes,
		Tokens:      int64(r.Prompt.Tokens),
		Bytes:       int64(len(r.Body)),
		Now:         time.Now().UnixNano(),
	}
	policy := d.Policy
	if policy == nil {
		policy = routing.Fallback()
	}
	if r.Terms != nil {
		policy = d.Services
		request.Service = r.Terms.serviceRequest(r)
		request.Prefix, request.Tokens = promptHashes(r), r.Terms.Tokens
		return d.pickService(policy, snapshot, request)
	}
	scratch := scratches.Get().(*routing.Scratch)
	defer scratches.Put(scratch)
	choice, err := policy.Pick(snapshot, request, scratch)
	if err == nil || len(tried) == 0 || (last != retry.NotSent && last != retry.Silent) {
		return choice, err
	}
	request.Tried = tried[:len(tried)-1]
	return policy.Pick(snapshot, request, scratch)
}

func (d *Dispatcher) pickService(policy routing.Policy, snapshot *routing.Snapshot, request *routing.Request) (routing.Choice, error) {
	scratch := scratches.Get().(*routing.Scratch)
	defer scratches.Put(scratch)
	return policy.Pick(snapshot, request, scratch)
}

// scratches hold the working space of picks.
var scratches = sync.Pool{New: func() any { return routing.NewScratch(rand.Uint64()) }}

// firstByteSink tells when an answer begins.
type firstByteSink struct {
	Sink
	prefill *routing.Prefill
	// head is when the head of the answer arrived; zero before.
	head time.Time
}

func (s *firstByteSink) Head(status int, header http.Header) error {
	s.head = time.Now()
	s.prefill.FirstByte(s.head)
	return s.Sink.Head(status, header)
}

// Forwarded returns how many requests were sent to another region.
func (d *Dispatcher) Forwarded() int64 { return d.forwarded.Load() }

func (d *Dispatcher) toPeer(ctx context.Context, r *Request, peer routing.Peer, sink Sink) relay.Result {
	d.forwarded.Add(1)
	if peer.Counters == nil {
		return d.Forward.Forward(ctx, peer, r, sink)
	}
	prefill := peer.Counters.Begin(time.Now(), promptTokens(r), 0)
	defer prefill.End()
	if d.Prefixes != nil {
		d.Prefixes.Add(time.Now().UnixNano(), peer.Counters.Number(), r.Prompt.Hashes)
	}
	return d.Forward.Forward(ctx, peer, r, &firstByteSink{Sink: sink, prefill: prefill})
}

func (d *Dispatcher) toUpstream(ctx context.Context, r *Request, u *routing.Upstream, choice routing.Choice, sink Sink) relay.Result {
	now := time.Now()
	prefill := u.Counters.Begin(now, choice.Tokens, choice.Ahead)
	defer prefill.End()
	if d.Prefixes != nil {
		d.Prefixes.Add(now.UnixNano(), u.Counters.Number(), promptHashes(r))
	}
	timed := &firstByteSink{Sink: sink, prefill: prefill}
	attempt := relay.Attempt{
		RequestID:  r.ID,
		Address:    u.Address,
		Method:     r.Method,
		Path:       r.Path,
		Header:     headerOf(r),
		Body:       r.Body,
		Stream:     r.Position,
		Repeatable: r.Repeatable,
		Completion: r.Terms == nil && r.Completion(),
	}
	d.complete(&attempt, r, u, choice)
	result := d.Relay.Do(ctx, attempt, timed)
	if r.Terms != nil {
		d.recordService(u, result)
	}
	d.observe(r, u, result, now, timed.head)
	if result.Err == nil {
		u.Counters.Failures.Store(0)
	} else if result.UpstreamFault && !d.versionFault(r, result) {
		u.Counters.Failures.Add(1)
	}
	d.countCrash(r, u, &result)
	return result
}

// countCrash counts an upstream whose connection broke. Only a break before any
// answer is reported, because a stream that breaks off can be resumed.
func (d *Dispatcher) countCrash(r *Request, u *routing.Upstream, result *relay.Result) {
	if result.Outcome == retry.Crashed || (result.Outcome == retry.Cut && result.Broken) {
		result.Crashes = 1
	}
	if result.Outcome == retry.Crashed && d.ReportCrash != nil {
		d.ReportCrash(quarantine.Crash{Fingerprint: r.fingerprint(), Upstream: u.ID, SeenAt: time.Now().UnixNano()})
	}
}
