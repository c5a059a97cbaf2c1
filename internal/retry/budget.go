package retry

import (
	"sync"
	"time"
)

const (
	// budgetWindow is the sliding window in which requests and retries are counted.
	budgetWindow = 10 * time.Second
	// budgetBuckets is the number of buckets into which the window is divided.
	budgetBuckets = 10
	bucketLength  = budgetWindow / budgetBuckets
	// budgetShare limits retries to this fraction of the requests in the window.
	budgetShare = 0.1
	// budgetFloor is the number of retries that are always allowed. It lets an instance with
	// little traffic retry all requests that fail at once when an upstream dies. With 3,
	// three of eight such requests were rejected.
	budgetFloor = 16
)

// bucket counts the requests and retries of one bucketLength; index is its position in time.
type bucket struct {
	index    int64
	requests int64
	retries  int64
}

// Budget limits retries to a fraction of the requests of the last 10 s, so that a slow
// upstream does not get a multiple of its traffic. The zero value is ready to use. It is
// safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	buckets [budgetBuckets]bucket
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take reports whether one more retry is allowed, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, func(requests int64) float64 { return max(budgetFloor, budgetShare*float64(requests)) })
}

// Record counts retries that were made without Take.
func (b *Budget) Record(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).retries += int64(n)
}

// take counts a retry if the limit for the number of requests in the window allows it.
func (b *Budget) take(now time.Time, limit func(requests int64) float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	var requests, retries int64
	for _, s := range b.buckets {
		if current.index-s.index < budgetBuckets {
			requests += s.requests
			retries += s.retries
		}
	}
	if float64(retries+1) > limit(requests) {
		return false
	}
	current.retries++
	return true
}

// bucket returns the bucket for now, reset if it held an earlier period.
func (b *Budget) bucket(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketLength)
	s := &b.buckets[index%budgetBuckets]
	if s.index != index {
		*s = bucket{index: index}
	}
	return s
}
