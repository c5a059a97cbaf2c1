package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

const (
	// LoadClasses is the number of classes of load at which latencies are compared.
	LoadClasses = 3
	// latencyBuckets covers 1 ms to 9 min in steps of a factor of two.
	latencyBuckets = 20
	// requestsPerStep is the evidence that a step needs on each route with traffic.
	requestsPerStep = 100
	// requestsAtBudget is the evidence that a step needs once its time is used up.
	requestsAtBudget = 10
	// minCompared is the number of latencies in a class that make it comparable.
	minCompared = 20
	// slowFactor is the ratio of a latency quantile to that of the running version
	// that counts as a fault. Buckets are a factor of two wide, so it is above two.
	slowFactor = 2.5
	// toleratedErrors is the part of errors above that of the running version that
	// is not a fault.
	toleratedErrors = 0.01
	// minErrors keeps a single failure from being a fault.
	minErrors = 3
	// confidence is the number of standard deviations of the error bounds.
	confidence = 1.96
)

// Sample counts the requests of one version on one route. Samples of several
// instances are added up.
type Sample struct {
	Requests int64
	// Errors are attempts that failed through the upstream's fault.
	Errors int64
	// Latency counts times to first byte by load class and by power of two of
	// milliseconds.
	Latency [LoadClasses][latencyBuckets]int64
}

// LoadClass returns the class of an upstream that runs and queues so many requests.
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
	return min(bits.Len64(ms), latencyBuckets-1)
}

// Merge adds another sample.
func (s *Sample) Merge(o Sample) {
	s.Requests += o.Requests
	s.Errors += o.Errors
	for class := range o.Latency {
		for bucket := range o.Latency[class] {
			s.Latency[class][bucket] += o.Latency[class][bucket]
		}
	}
}

// idle reports whether the route had no traffic at all, which is no evidence.
func (r RouteEvidence) idle() bool {
	return r.Candidate.Requests == 0 && r.Running.Requests == 0
}

// compare returns why the candidate is worse than the running version, or "".
func compare(r RouteEvidence) string {
	if reason := compareErrors(r); reason != "" {
		return reason
	}
	return compareLatency(r)
}

func compareErrors(r RouteEvidence) string {
	if r.Candidate.Errors < minErrors {
		return ""
	}
	low, _ := wilson(r.Candidate.Errors, r.Candidate.Requests)
	high := 0.0
	if r.Running.Requests > 0 {
		_, high = wilson(r.Running.Errors, r.Running.Requests)
		high = min(high, float64(r.Running.Errors)/float64(r.Running.Requests)+toleratedErrors)
	}
	if low <= high+toleratedErrors {
		return ""
	}
	return fmt.Sprintf("route %s: %d of %d requests failed", r.Route, r.Candidate.Errors, r.Candidate.Requests)
}

// wilson returns the confidence interval of a proportion.
func wilson(hits, n int64) (low, high float64) {
	if n == 0 {
		return 0, 1
	}
	p, m, z := float64(hits)/float64(n), float64(n), confidence
	center := p + z*z/(2*m)
	spread := z * math.Sqrt(p*(1-p)/m+z*z/(4*m*m))
	scale := 1 + z*z/m
	return max((center-spread)/scale, 0), min((center+spread)/scale, 1)
}

func compareLatency(r RouteEvidence) string {
	for class := range LoadClasses {
		candidate, running := r.Candidate.Latency[class], r.Running.Latency[class]
		if total(candidate) < minCompared || total(running) < minCompared {
			continue
		}
		slow, usual := quantile(candidate, 0.5), quantile(running, 0.5)
		if slow > slowFactor*usual {
			return fmt.Sprintf("route %s: median time to first byte about %.0f ms against %.0f ms at load class %d", r.Route, slow, usual, class)
		}
	}
	return ""
}

func total(buckets [latencyBuckets]int64) int64 {
	var n int64
	for _, count := range buckets {
		n += count
	}
	return n
}

// quantile returns the quantile in milliseconds, interpolated within its bucket.
func quantile(buckets [latencyBuckets]int64, q float64) float64 {
	rank := q * float64(total(buckets))
	seen := 0.0
	for i, count := range buckets {
		if seen+float64(count) >= rank && count > 0 {
			low, high := bucketBounds(i)
			return low + (high-low)*(rank-seen)/float64(count)
		}
		seen += float64(count)
	}
	low, _ := bucketBounds(latencyBuckets - 1)
	return low
}

func bucketBounds(i int) (low, high float64) {
	if i == 0 {
		return 0, 1
	}
	return math.Ldexp(1, i-1), math.Ldexp(1, i)
}

// localErrorsInRow is the number of failed requests in a row that stop an instance.
const localErrorsInRow = 3

// LocalStop decides whether one instance stops sending to the version at once,
// without agreement: after failures in a row, or when its own evidence shows a fault.
func LocalStop(routes []RouteEvidence, errorsInRow int) string {
	if errorsInRow >= localErrorsInRow {
		return fmt.Sprintf("%d requests failed in a row", errorsInRow)
	}
	for _, route := range routes {
		if reason := compare(route); reason != "" {
			return reason
		}
	}
	return ""
}
