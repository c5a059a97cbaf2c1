package dispatch

import (
	"net/http"
	"strings"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// Terms are what the operators' route and the caller set for a request of a host route.
type Terms struct {
	// Host is the host name that the caller asked for, and Route the name of the route.
	Host  string
	Route string
	// Upstreams bounds the upstreams that may run the request.
	Upstreams int
	// Objective is the time within which the first part of the answer is on time.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Homes are the regions that may run the request; empty for any.
	Homes []string
	// Parts are the parts of the prompt, and Tokens those of the whole prompt.
	Parts  []routing.PromptPart
	Tokens int64
}

// sendsPerUpstream is how many upstreams may reject a request for each one that may run
// it: the limit of retries is the budget, and this one ends a search in a full region.
const sendsPerUpstream = 2

// prefixOf returns a hash for each part of the prompt and all parts before it.
func prefixOf(parts []routing.PromptPart) []uint64 {
	const prime = 1099511628211 // of the 64-bit FNV-1a hash
	hashes := make([]uint64, 0, len(parts))
	hash := uint64(14695981039346656037)
	for _, part := range parts {
		hash = (hash ^ part.ID) * prime
		hashes = append(hashes, hash)
	}
	return hashes
}

// serviceRequest returns what a pick needs to know of the terms.
func (t *Terms) serviceRequest(r *Request) *routing.ServiceRequest {
	return &routing.ServiceRequest{
		Homes:     t.Homes,
		Objective: t.Objective,
		Parts:     t.Parts,
		Remaining: time.Until(r.Deadline),
	}
}

const (
	// firstByteShare is the part of the objective after which a silent upstream is given up
	// for a request that may run elsewhere as well.
	firstByteShare = 0.6
	// firstByteFactor multiplies the estimate of the time to the first byte, which counts
	// the reading of prompts and not the tokens of other requests between its chunks.
	firstByteFactor = 3
)

// firstByte bounds the wait for an upstream, from which a first byte is expected after the
// given time. The last upstream that may run the request has all the time that is left.
func (t *Terms) firstByte(r *Request, expected time.Duration) time.Duration {
	if !r.Repeatable || r.ran+1 >= t.Upstreams || t.Objective == 0 {
		return 0
	}
	return max(time.Duration(firstByteShare*float64(t.Objective)), firstByteFactor*expected)
}

// complete fills in an attempt of a request with terms.
func (d *Dispatcher) complete(a *relay.Attempt, r *Request, u *routing.Upstream, choice routing.Choice) {
	if r.Terms == nil {
		return
	}
	a.Protocol = d.Protocol
	a.Host = r.Terms.Host
	a.Upstream = u.ID
	a.Account = r.Account
	a.Priority = r.Terms.Priority
	a.Deadline = r.Deadline
	r.expected = choice.ExpectedFirst()
	a.FirstByte = r.Terms.firstByte(r, choice.ExpectedFirst())
}

// mayRepeat applies the limits of the route to a failed attempt.
func (d *Dispatcher) mayRepeat(r *Request, result relay.Result) bool {
	verdict := retry.Decide(retry.Attempt{
		Number:     r.ran,
		Outcome:    result.Outcome,
		Repeatable: r.Repeatable,
		Started:    result.Started,
		Resumable:  r.Position != nil,
		Crashes:    r.Crashes,
		Remaining:  time.Until(r.Deadline),
		Most:       r.Terms.Upstreams,
	})
	if verdict == retry.Stop || r.Attempts >= sendsPerUpstream*r.Terms.Upstreams {
		return false
	}
	return result.Outcome == retry.NotSent || d.Budgets.Take(time.Now(), r.Target, d.Snapshot().InstanceCount)
}

// countRun counts the attempts that may have run. Those of a peer that reports several
// count in full.
func (r *Request) countRun(result relay.Result) {
	if result.Err == nil || result.Err.Ran != errkind.RanNo {
		r.ran += max(result.Attempts, 1)
	}
}

// Ran returns how many attempts an upstream may have run, and SetRan takes over the count
// of another instance.
func (r *Request) Ran() int { return r.ran }

// SetRan takes over the count of another instance.
func (r *Request) SetRan(n int) { r.ran = n }

// deliverHeld delivers the answer of an upstream that failed, if there is one.
func deliverHeld(result relay.Result, sink Sink) bool {
	if result.Held == nil || result.Started {
		return false
	}
	return relay.DeliverWhole(sink, result.Held.Status, result.Held.Header, result.Held.Body).Err == nil
}

// recordService updates what is known of an upstream after an attempt.
func (d *Dispatcher) recordService(u *routing.Upstream, result relay.Result) {
	now := time.Now()
	if result.Load != nil {
		u.Counters.Report(now, *result.Load)
	}
	switch result.Outcome {
	case retry.Rejected, retry.CallerGone:
		return
	case retry.NotSent:
		// Nothing listens, or a new connection is not answered: the upstream is paused at
		// once until a health check succeeds.
		u.Counters.Failures.Add(failuresOfDeadUpstream)
	}
	u.Counters.ObserveAttempt(result.UpstreamFault)
}

// failuresOfDeadUpstream reaches the number of failures in a row that pause an upstream.
const failuresOfDeadUpstream = 3

// headerOf returns the header of an attempt.
func headerOf(r *Request) http.Header {
	if r.Terms != nil {
		return r.Header
	}
	return headerFor(r)
}

// promptHashes returns the hashes by which the index knows the prompt.
func promptHashes(r *Request) []uint64 {
	if r.Terms == nil {
		return r.Prompt.Hashes
	}
	if r.partHashes == nil {
		r.partHashes = prefixOf(r.Terms.Parts)
	}
	return r.partHashes
}

// promptTokens returns the length of the prompt.
func promptTokens(r *Request) int64 {
	if r.Terms != nil {
		return r.Terms.Tokens
	}
	return int64(r.Prompt.Tokens)
}

// follow adds an attempt to the trail.
func (r *Request) follow(used string, result relay.Result) {
	outcome := "ok"
	if result.Err != nil {
		outcome = string(result.Err.Kind)
	}
	r.trail = append(r.trail, used+":"+outcome)
}

// Expected returns the estimated time to the first part of the answer when the request was
// last placed in this region; 0 before.
func (r *Request) Expected() time.Duration { return r.expected }

// Trail returns the upstreams and peers that were tried, each with its outcome.
func (r *Request) Trail() string { return strings.Join(r.trail, " ") }
