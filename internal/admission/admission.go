// Package admission decides whether a client account may send a request now. It
// keeps one token bucket per active client account and knows no HTTP and no clock.
package admission

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

// shardCount spreads the buckets over locks so that traffic rarely waits.
const shardCount = 64

// Limit is the part of a client account's rate and burst that this instance may use.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Decision is the answer to one request.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until a token is available; 0 if admitted.
	RetryAfter time.Duration
}

type bucket struct {
	tokens float64
	last   time.Time
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// Buckets holds the token buckets. It is safe for concurrent use.
type Buckets struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// NewBuckets returns an empty set of buckets.
func NewBuckets() *Buckets {
	b := &Buckets{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].buckets = map[string]*bucket{}
	}
	return b
}

// Admit takes one token of the client account's bucket if there is one. A bucket
// starts empty, so that restarting an instance does not renew a burst.
func (b *Buckets) Admit(now time.Time, account string, limit Limit) Decision {
	s := &b.shards[maphash.String(b.seed, account)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.buckets[account]
	if !ok {
		row = &bucket{last: now}
		s.buckets[account] = row
	}
	row.refill(now, limit)
	if row.tokens >= 1 {
		row.tokens--
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: row.wait(limit)}
}

// refill adds what the rate brought since the last call. A clock that went back
// adds nothing.
func (r *bucket) refill(now time.Time, limit Limit) {
	elapsed := now.Sub(r.last).Seconds()
	if elapsed > 0 {
		r.tokens += elapsed * limit.Rate
		r.last = now
	}
	r.tokens = math.Min(r.tokens, math.Max(limit.Burst, 1))
}

// maxWait bounds the wait that is reported to a client account without a rate.
const maxWait = time.Minute

func (r *bucket) wait(limit Limit) time.Duration {
	if limit.Rate <= 0 {
		return maxWait
	}
	seconds := (1 - r.tokens) / limit.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}
