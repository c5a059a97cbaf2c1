package routing

import (
	"math"
	"sync/atomic"
	"time"

	"heatherloom/internal/estimate"
)

const (
	// initialSecondsPerToken is used until the first responses arrive. It is the inverse
	// of 17,000 prefill tokens per second, the rate of the engine model in docs/bench.md.
	initialSecondsPerToken = 1.0 / 17000
	// secondsPerTokenGain is the weight of one observation in the moving average; ten
	// responses replace most of it.
	secondsPerTokenGain = 0.1
	// maxSecondsPerToken caps one observation, so that one stalled response does not
	// exclude an upstream for long.
	maxSecondsPerToken = 0.01
)

// Counters hold the live statistics of an upstream or peer, updated by traffic. All times are those of package
// clock, which steps of the wall clock do not affect.
type Counters struct {
	// InFlight is the number of attempts of this instance in flight.
	InFlight atomic.Int64
	// ConsecutiveFailures counts failed attempts since the last success.
	ConsecutiveFailures atomic.Int64
	// Pending is the number of attempts that wait for the first byte of the response, and
	// PendingTokens the number of prompt tokens still to be computed for them.
	Pending       atomic.Int64
	PendingTokens atomic.Int64
	// UpSince is when the upstream was added or last recovered, in Unix nanoseconds.
	UpSince atomic.Int64

	// waitingSince is when Pending last rose from 0 or a first byte last arrived, whichever
	// is later, in Unix nanoseconds. It is only valid while Pending is not 0.
	waitingSince atomic.Int64
	latestLoad   atomic.Pointer[loadReport]
	// failureRate is the moving average of failed attempts, as the bits of a float64.
	failureRate atomic.Uint64
	// meanTokens is the moving average of the prompt tokens to compute for an attempt, as
	// the bits of a float64.
	meanTokens atomic.Uint64
	// window is that of Counters.coldSends; nil before the first use.
	window atomic.Pointer[coldWindow]
	// failed is that of Counters.FailedAttempts; nil before the first use.
	failed atomic.Pointer[atomic.Int64]
	// statements are those of Counters.said; nil before the first use.
	statements atomic.Pointer[statements]
	silence    silence
	// service is what is learned about the service of the upstream; nil for fixed estimates. learned is what is
	// learned about the upstream itself.
	service atomic.Pointer[estimate.Service]
	learned estimate.Upstream
	rates   attemptRates
	// longAttempt is the estimate of LongAttempt in seconds, as the bits of a float64; 0 before the first attempt.
	longAttempt atomic.Uint64

	holderID        atomic.Uint32
	secondsPerToken atomic.Uint64
}

var lastHolderID atomic.Uint32

// HolderID identifies the upstream or peer as a holder in a PrefixIndex; it is never 0.
func (c *Counters) HolderID() uint32 {
	if n := c.holderID.Load(); n != 0 {
		return n
	}
	c.holderID.CompareAndSwap(0, lastHolderID.Add(1))
	return c.holderID.Load()
}

// ForgetPrefixes discards what is known about the upstream's cache by assigning a new
// identifier: index entries of the old one no longer match.
func (c *Counters) ForgetPrefixes() { c.holderID.Store(lastHolderID.Add(1)) }

// SecondsPerToken returns the average observed time per prompt token to compute. It
// includes the time that running decodes take.
func (c *Counters) SecondsPerToken() float64 {
	if bits := c.secondsPerToken.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return initialSecondsPerToken
}

// ObservePrefill records that the first byte of a response arrived after d, in which the given
// number of prompt tokens was computed: those of the request and those queued ahead of it.
func (c *Counters) ObservePrefill(tokens int64, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	sample := min(d.Seconds()/float64(tokens), maxSecondsPerToken)
	for {
		old := c.secondsPerToken.Load()
		next := sample
		if old != 0 {
			next = math.Float64frombits(old) + secondsPerTokenGain*(sample-math.Float64frombits(old))
		}
		if c.secondsPerToken.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// TrackedAttempt tracks one attempt from the time it is sent until it ends.
type TrackedAttempt struct {
	counters *Counters
	tokens   int64
	queued   int64
	started  time.Time
	released atomic.Bool
	// responded is true once a part of the response arrived.
	responded atomic.Bool
}

// Begin records the start of an attempt with the given number of prompt tokens to
// compute, after the queued ones of other requests.
func (c *Counters) Begin(now time.Time, tokens, queued int64) *TrackedAttempt {
	c.InFlight.Add(1)
	if c.Pending.Add(1) == 1 {
		c.waitingSince.Store(now.UnixNano())
	}
	c.PendingTokens.Add(tokens)
	c.silence.begin(now.UnixNano())
	c.said().brittle.countSend()
	c.observeTokens(tokens)
	c.rates.begin(now, tokens)
	return &TrackedAttempt{counters: c, tokens: tokens, queued: queued, started: now}
}

// Progress records that a part of the response arrived.
func (a *TrackedAttempt) Progress(now time.Time) { a.counters.RecordSign(now) }

// FirstByte records the arrival of the first byte of the response. Later calls only restart
// the period that Stalled measures.
func (a *TrackedAttempt) FirstByte(now time.Time) { a.respond(now, true) }

// WholeResponse is FirstByte for an error, or a response that is read as a whole before its head is known. Its time says
// nothing about how long the upstream takes for a prompt.
func (a *TrackedAttempt) WholeResponse(now time.Time) { a.respond(now, false) }

func (a *TrackedAttempt) respond(now time.Time, learn bool) {
	a.counters.waitingSince.Store(now.UnixNano())
	a.counters.RecordSign(now)
	a.responded.Store(true)
	if a.release(now) {
		a.counters.ObservePrefill(a.tokens+a.queued, now.Sub(a.started))
		if learn {
			a.counters.observeTime(now, a.tokens+a.queued, now.Sub(a.started))
		}
		a.counters.rates.firstByte(now, a.tokens+a.queued, now.Sub(a.started))
	}
}

// release removes the attempt from the pending ones and reports whether this call did so.
func (a *TrackedAttempt) release(now time.Time) bool {
	if !a.released.CompareAndSwap(false, true) {
		return false
	}
	a.counters.Pending.Add(-1)
	a.counters.PendingTokens.Add(-a.tokens)
	a.counters.silence.end(now.UnixNano())
	return true
}

// End records the end of the attempt, with or without a response.
func (a *TrackedAttempt) End(now time.Time) {
	a.release(now)
	if a.responded.Load() {
		a.counters.observeDuration(now.Sub(a.started))
	}
	a.counters.InFlight.Add(-1)
}
