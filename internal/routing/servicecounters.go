package routing

import (
	"math"
	"sync/atomic"
	"time"

	"heatherloom/internal/estimate"
	"heatherloom/internal/external"
)

const (
	// failureRateGain is the weight of one attempt in the moving average; ten attempts
	// replace most of it.
	failureRateGain = 0.15
	// maxReportAge is the age up to which a load report is used. Upstreams report with each
	// response, so an older report precedes a period without traffic.
	maxReportAge = time.Second
)

// loadReport is the load that an upstream reported with a response.
type loadReport struct {
	load external.Load
	// ownInFlight is the number of attempts of this instance in flight when the report
	// arrived.
	ownInFlight int64
	at          int64
}

// RecordLoad records the load that an upstream reported with a response.
func (c *Counters) RecordLoad(now time.Time, load external.Load) {
	c.latestLoad.Store(&loadReport{load: load, ownInFlight: c.InFlight.Load(), at: now.UnixNano()})
	if service := c.service.Load(); service != nil {
		service.ObserveLoad(now.UnixNano(), load.Running, load.Waiting)
	}
}

// LearnFrom makes the estimates of the upstream follow what is observed of it and of the other upstreams of its
// service.
func (c *Counters) LearnFrom(service *estimate.Service) { c.service.Store(service) }

// learns reports whether the estimates of the upstream are learned.
func (c *Counters) learns() bool { return c.service.Load() != nil }

// view returns what is learned about the service of the upstream at the given time.
func (c *Counters) view(now int64) estimate.View {
	if service := c.service.Load(); service != nil {
		return service.View(now)
	}
	return estimate.Fixed()
}

// responseOverheadSeconds is the time of a response beyond its prompt: two ways through the network of the region and
// the first step of an engine.
const responseOverheadSeconds = 0.005

// observeTime records that the first byte of a response arrived after d, in which the given number of prompt tokens
// was computed.
func (c *Counters) observeTime(now time.Time, tokens int64, d time.Duration) {
	if service := c.service.Load(); service != nil && tokens > 0 {
		service.ObserveTime(now.UnixNano(), &c.learned, d.Seconds(), float64(tokens)*serviceSecondsPerToken+responseOverheadSeconds)
	}
}

// otherInstances returns the number of running and waiting requests of other instances according to the latest
// report or, if what is learned of the service replaces old reports, to those of its other upstreams.
func (c *Counters) otherInstances(now int64, v estimate.View) (running, waiting int64) {
	r := c.latestLoad.Load()
	if v.Learned() {
		return c.expectedOthers(r, now, v)
	}
	if r == nil || now-r.at > int64(maxReportAge) {
		return 0, 0
	}
	waiting = max(int64(r.load.Waiting)-c.Pending.Load(), 0)
	running = max(int64(r.load.Running)+int64(r.load.Waiting)-r.ownInFlight-waiting, 0)
	return running, waiting
}

// unreported is a report that is older than any that counts.
var unreported = loadReport{at: math.MinInt64 / 2}

// expectedOthers is otherInstances with the expected load of an upstream of which the latest report is r; nil for none.
func (c *Counters) expectedOthers(r *loadReport, now int64, v estimate.View) (running, waiting int64) {
	if r == nil {
		r = &unreported
	}
	allRunning, allWaiting, weight := v.LoadOf(r.load.Running, r.load.Waiting, time.Duration(now-r.at))
	own := weight*float64(r.ownInFlight) + (1-weight)*float64(c.InFlight.Load())
	waiting = max(int64(allWaiting+0.5)-c.Pending.Load(), 0)
	running = max(int64(allRunning+allWaiting-own+0.5)-waiting, 0)
	return running, waiting
}

// FailedAttempts returns the number of all failed attempts at the upstream, which is made at the first call.
func (c *Counters) FailedAttempts() *atomic.Int64 {
	if n := c.failed.Load(); n != nil {
		return n
	}
	c.failed.CompareAndSwap(nil, new(atomic.Int64))
	return c.failed.Load()
}

// KeepFailedAttempts makes the counters of another process of the same version share the failed attempts of the former
// one: they are evidence about the version, and attempts at the former process may fail later.
func (c *Counters) KeepFailedAttempts(former *Counters) { c.failed.Store(former.FailedAttempts()) }

// ObserveAttempt records the end of an attempt and whether the upstream made it fail.
func (c *Counters) ObserveAttempt(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
		c.FailedAttempts().Add(1)
	}
	for {
		old := c.failureRate.Load()
		rate := math.Float64frombits(old)
		rate += failureRateGain * (sample - rate)
		if c.failureRate.CompareAndSwap(old, math.Float64bits(rate)) {
			return
		}
	}
}

// FailureRate returns the moving average of failed attempts, from 0 to 1.
func (c *Counters) FailureRate() float64 { return math.Float64frombits(c.failureRate.Load()) }

// Stalled reports whether attempts are pending and no first byte has arrived for longer
// than the given time.
func (c *Counters) Stalled(now int64, after time.Duration) bool {
	return c.Pending.Load() > 0 && now-c.waitingSince.Load() > int64(after)
}

// meanTokensGain is the weight of one attempt in the moving average of prompt tokens.
const meanTokensGain = 0.05

// observeTokens adds an attempt to the moving average of prompt tokens.
func (c *Counters) observeTokens(tokens int64) {
	old := c.meanTokens.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = float64(tokens)
	}
	mean += meanTokensGain * (float64(tokens) - mean)
	// An update lost to a concurrent one changes the average only slightly.
	c.meanTokens.CompareAndSwap(old, math.Float64bits(mean))
}

// MeanPrefillTokens returns the moving average of the prompt tokens to compute for an
// attempt of this instance, which serves as the estimate for requests of other instances.
func (c *Counters) MeanPrefillTokens() float64 { return math.Float64frombits(c.meanTokens.Load()) }
