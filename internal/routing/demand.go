package routing

import (
	"errors"
	"sync"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
)

const (
	// rateSeconds is the number of whole seconds over which rates are averaged.
	rateSeconds = 2
	// minReadTokens is the number of prompt tokens from which a first byte tells how fast an upstream reads. With
	// fewer, the time for the connection and the first step counts for more than the reading.
	minReadTokens = 1000
)

// secondCounts are the counts of one second. The array holds the current second, rateSeconds whole ones and one that is
// about to be replaced.
type secondCounts[T any] [rateSeconds + 2]struct {
	second int64
	counts T
}

// at returns the counts of the second of a time in Unix nanoseconds, which are zero at first.
func (s *secondCounts[T]) at(now int64) *T {
	second := now / int64(time.Second)
	entry := &s[second%int64(len(s))]
	if entry.second != second {
		var zero T
		entry.second, entry.counts = second, zero
	}
	return &entry.counts
}

// eachWhole calls fn with the counts of each of the last whole seconds.
func (s *secondCounts[T]) eachWhole(now int64, fn func(*T)) {
	second := now / int64(time.Second)
	for i := range s {
		if entry := &s[i]; entry.second < second && entry.second >= second-rateSeconds {
			fn(&entry.counts)
		}
	}
}

// attemptCounts are the attempts of this instance at an upstream, and their prompt tokens to compute.
type attemptCounts struct {
	attempts, tokens int64
	// readTokens were computed in readTime, until the first bytes of responses.
	readTokens int64
	readTime   time.Duration
}

// attemptRates counts the attempts at an upstream by second.
type attemptRates struct {
	mu      sync.Mutex
	seconds secondCounts[attemptCounts]
}

func (r *attemptRates) begin(now time.Time, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.seconds.at(now.UnixNano())
	counts.attempts++
	counts.tokens += tokens
}

// firstByte records that tokens were computed in the time until a first byte.
func (r *attemptRates) firstByte(now time.Time, tokens int64, took time.Duration) {
	if tokens < minReadTokens || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.seconds.at(now.UnixNano())
	counts.readTokens += tokens
	counts.readTime += took
}

// AttemptRates are the attempts of this instance at an upstream in the last whole seconds.
type AttemptRates struct {
	// Attempts and PromptTokens are the attempts and their prompt tokens to compute, each a second.
	Attempts, PromptTokens float64
	// ReadTokens is the number of prompt tokens that were computed in ReadSeconds, those queued ahead of an attempt
	// included. They are 0 without a first byte of a response to a prompt that tells.
	ReadTokens, ReadSeconds float64
}

// AttemptRates returns the attempts of this instance in the last whole seconds.
func (c *Counters) AttemptRates(now time.Time) (rates AttemptRates) {
	c.rates.mu.Lock()
	defer c.rates.mu.Unlock()
	c.rates.seconds.eachWhole(now.UnixNano(), func(counts *attemptCounts) {
		rates.Attempts += float64(counts.attempts) / rateSeconds
		rates.PromptTokens += float64(counts.tokens) / rateSeconds
		rates.ReadTokens += float64(counts.readTokens)
		rates.ReadSeconds += counts.readTime.Seconds()
	})
	return rates
}

// ReportedLoad returns the load of all instances that the upstream reported last; ok is false if the report is older than
// a second.
func (c *Counters) ReportedLoad(now time.Time) (load external.Load, ok bool) {
	r := c.latestLoad.Load()
	if r == nil || now.UnixNano()-r.at > int64(maxReportAge) {
		return external.Load{}, false
	}
	return r.load, true
}

// Rejections counts the requests of host routes for which there was no upstream or no room, by service. It is safe for
// concurrent use, and nil counts nothing.
type Rejections struct {
	mu       sync.Mutex
	services map[string]*secondCounts[int64]
}

// record counts a request that a pick rejected with an error. Only the instance that received the request counts it, and
// only if more upstreams would have helped.
func (r *Rejections) record(req *Request, err error) {
	var kind *errkind.Error
	if r == nil || len(req.Visited) > 0 || !errors.As(err, &kind) || (kind.Kind != errkind.Overloaded && kind.Kind != errkind.NoUpstream) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*secondCounts[int64]{}
	}
	if r.services[req.Target] == nil {
		r.services[req.Target] = &secondCounts[int64]{}
	}
	*r.services[req.Target].at(req.Now)++
}

// PerSecond returns the rejected requests of a service a second, in the last whole seconds.
func (r *Rejections) PerSecond(service string, now time.Time) (perSecond float64) {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.eachWhole(now.UnixNano(), func(n *int64) { perSecond += float64(*n) / rateSeconds })
	}
	return perSecond
}
