package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

const (
	// LoadClasses is the number of upstream load levels at which latencies are
	// compared separately.
	LoadClasses = 3
	// latencyBucketCount covers 1 ms to 9 min in powers of two.
	latencyBucketCount = 20
	// requestsPerStep is the minimum number of candidate requests that a step needs
	// on each route with traffic.
	requestsPerStep = 100
	// requestsAfterBudget is the minimum once the time budget of the step is used up.
	requestsAfterBudget = 10
	// minLatencySamples is the number of latencies that each version needs in a load
	// class for the class to be compared.
	minLatencySamples = 20
	// maxLatencyRatio is the highest ratio of the candidate's median latency to that of
	// the running version. It is above two because buckets are a factor of two wide.
	maxLatencyRatio = 2.5
	// errorRateTolerance is how far the candidate's error rate may exceed that of the
	// running version.
	errorRateTolerance = 0.01
	// minErrors is the number of errors below which error rates are not compared, so
	// that a single failure causes no rollback.
	minErrors = 3
	// zScore is the z-score of the confidence interval of an error rate.
	zScore = 1.96
)

// Sample counts the requests to one version on one route. Samples of several instances
// can be merged.
type Sample struct {
	Requests int64
	// Errors counts attempts that failed because of the upstream.
	Errors int64
	// Latency is a histogram of times to first byte per load class. Bucket bounds are
	// powers of two in milliseconds.
	Latency [LoadClasses][latencyBucketCount]int64
}

// LoadClass returns the load class of an upstream from its number of requests in progress
// (running) and queued requests (waiting): 2 if requests are queued, 1 if more than four are in
// progress and none is queued, 0 otherwise.
func LoadClass(running, waiting int) int {
	switch {
	case waiting > 0:
		return 2
	case running > 4:
		return 1
	default:
		return 0
	}
}

// Add counts one attempt. A failed attempt has no latency.
func (s *Sample) Add(failed bool, latency time.Duration, loadClass int) {
	s.Requests++
	if failed {
		s.Errors++
		return
	}
	s.Latency[loadClass][latencyBucket(latency)]++
}

func latencyBucket(d time.Duration) int {
	ms := uint64(max(d.Milliseconds(), 0))
	return min(bits.Len64(ms), latencyBucketCount-1)
}

// Merge adds the counts of another sample.
func (s *Sample) Merge(o Sample) {
	s.Requests += o.Requests
	s.Errors += o.Errors
	for class := range o.Latency {
		for bucket := range o.Latency[class] {
			s.Latency[class][bucket] += o.Latency[class][bucket]
		}
	}
}

// idle reports whether the route had no traffic, so that it says nothing about either
// version.
func (r RouteEvidence) idle() bool {
	return r.Candidate.Requests == 0 && r.Running.Requests == 0
}

// regression returns in which way the candidate is worse than the running version, or
// "" if it is not.
func regression(r RouteEvidence) string {
	if reason := errorRegression(r); reason != "" {
		return reason
	}
	return latencyRegression(r)
}

func errorRegression(r RouteEvidence) string {
	if r.Candidate.Errors < minErrors {
		return ""
	}
	low, _ := wilsonInterval(r.Candidate.Errors, r.Candidate.Requests)
	high := 0.0
	if r.Running.Requests > 0 {
		_, high = wilsonInterval(r.Running.Errors, r.Running.Requests)
		high = min(high, float64(r.Running.Errors)/float64(r.Running.Requests)+errorRateTolerance)
	}
	if low <= high+errorRateTolerance {
		return ""
	}
	return fmt.Sprintf("route %s: %d of %d requests failed", r.Route, r.Candidate.Errors, r.Candidate.Requests)
}

// wilsonInterval returns the Wilson score interval of a proportion.
func wilsonInterval(hits, n int64) (low, high float64) {
	if n == 0 {
		return 0, 1
	}
	p, m, z := float64(hits)/float64(n), float64(n), zScore
	center := p + z*z/(2*m)
	spread := z * math.Sqrt(p*(1-p)/m+z*z/(4*m*m))
	scale := 1 + z*z/m
	return max((center-spread)/scale, 0), min((center+spread)/scale, 1)
}

func latencyRegression(r RouteEvidence) string {
	for class := range LoadClasses {
		candidate, running := r.Candidate.Latency[class], r.Running.Latency[class]
		if total(candidate) < minLatencySamples || total(running) < minLatencySamples {
			continue
		}
		candidateMedian, runningMedian := quantile(candidate, 0.5), quantile(running, 0.5)
		if candidateMedian > maxLatencyRatio*runningMedian {
			return fmt.Sprintf("route %s: median time to first byte about %.0f ms, running version %.0f ms, at load class %d (0: up to 4 requests in progress, 1: more in progress, 2: requests queued)", r.Route, candidateMedian, runningMedian, class)
		}
	}
	return ""
}

func total(buckets [latencyBucketCount]int64) int64 {
	var n int64
	for _, count := range buckets {
		n += count
	}
	return n
}

// quantile returns the q-quantile in milliseconds, interpolated within its bucket.
func quantile(buckets [latencyBucketCount]int64, q float64) float64 {
	rank := q * float64(total(buckets))
	seen := 0.0
	for i, count := range buckets {
		if seen+float64(count) >= rank && count > 0 {
			low, high := bucketBounds(i)
			return low + (high-low)*(rank-seen)/float64(count)
		}
		seen += float64(count)
	}
	low, _ := bucketBounds(latencyBucketCount - 1)
	return low
}

func bucketBounds(i int) (low, high float64) {
	if i == 0 {
		return 0, 1
	}
	return math.Ldexp(1, i-1), math.Ldexp(1, i)
}

// localStopErrors is the number of consecutive failed requests after which an
// instance stops sending to the candidate.
const localStopErrors = 3

// LocalStopReason returns why one instance must stop sending to the candidate at once, without
// waiting for the other instances, or "". The reason is a number of consecutive failures
// or a regression in the instance's own samples.
func LocalStopReason(routes []RouteEvidence, consecutiveErrors int) string {
	if consecutiveErrors >= localStopErrors {
		return fmt.Sprintf("%d consecutive requests failed", consecutiveErrors)
	}
	for _, route := range routes {
		if reason := regression(route); reason != "" {
			return reason
		}
	}
	return ""
}
