package routing

import (
	"sync"
	"time"
)

const (
	// minNamedRate is the request rate, in requests a second, that an upstream is assumed to take if
	// it names a lower one. Without any request it could not tell that the rate rose.
	minNamedRate = 0.25
	// rateBurst is the time, in seconds, of unused requests that an instance may send at once besides
	// a single one.
	rateBurst = 0.5
)

// namedRate is a request rate that an upstream named.
type namedRate struct {
	// perSecond is the number of requests a second from all instances together.
	perSecond float64
	// at is when the latest response that named the rate, or a lower one, arrived, in Unix
	// nanoseconds.
	at int64
}

// RecordNamedRate records the request rate that the upstream named in a response, in requests a second
// from all instances together; named is false if the response names none. Responses may overtake each
// other: a rate ends, or rises, only with the response to a request that was sent after the rate
// had been named. The times are those of package clock.
func (c *Counters) RecordNamedRate(now, sent time.Time, perSecond float64, named bool) {
	s := c.said()
	for {
		old := s.named.Load()
		if old != nil && sent.UnixNano() <= old.at && (!named || perSecond > old.perSecond) {
			return
		}
		var next *namedRate
		if named {
			next = &namedRate{perSecond: perSecond, at: now.UnixNano()}
		}
		if old == next || s.named.CompareAndSwap(old, next) {
			return
		}
	}
}

// NamedRate returns the request rate that the upstream names, at least minNamedRate; ok is false if it
// names none.
func (c *Counters) NamedRate() (perSecond float64, ok bool) {
	s := c.statements.Load()
	if s == nil {
		return 0, false
	}
	if named := s.named.Load(); named != nil {
		return max(named.perSecond, minNamedRate), true
	}
	return 0, false
}

// rateBucket is the token bucket of the requests that this instance sends to an upstream which names a
// request rate. It starts empty.
type rateBucket struct {
	mu     sync.Mutex
	tokens float64
	// filledAt is when tokens was last updated in Unix nanoseconds; 0 before the first use.
	filledAt int64
	// announcedAt is the latest time at which a rejected caller was told to come back, in Unix
	// nanoseconds.
	announcedAt int64
}

// fill adds the tokens since the last call. The mutex must be held.
func (b *rateBucket) fill(now int64, perSecond float64) {
	if b.filledAt == 0 {
		b.filledAt = now
	}
	b.tokens += perSecond * time.Duration(max(now-b.filledAt, 0)).Seconds()
	b.tokens = min(b.tokens, 1+rateBurst*perSecond)
	b.filledAt = now
}

// untilAllowed returns the time until the bucket has a token; 0 if it has one.
func (b *rateBucket) untilAllowed(now int64, perSecond float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now, perSecond)
	if b.tokens >= 1 {
		return 0
	}
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// announce returns when a rejected caller should come back, as the time from now: when the bucket will have
// a token for it after those for the callers rejected before, at most maxRetryAfter.
func (b *rateBucket) announce(now int64, perSecond float64) time.Duration {
	wait := b.untilAllowed(now, perSecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now + int64(wait)
	if perSecond > 0 && b.announcedAt-now < int64(maxRetryAfter) {
		at = max(at, b.announcedAt+int64(float64(time.Second)/perSecond))
	}
	if at-now >= int64(maxRetryAfter) {
		return maxRetryAfter
	}
	b.announcedAt = at
	return time.Duration(at - now)
}

func (b *rateBucket) take(now int64, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now, perSecond)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// charge takes tokens for requests that were sent without asking; the balance may become negative.
func (b *rateBucket) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(n)
}

// reset empties the bucket, as before its first use.
func (b *rateBucket) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens, b.filledAt, b.announcedAt = 0, 0, 0
}

// untilRateAllows returns the time until this instance may send a request to the upstream; 0 if it may
// now.
func (u *Upstream) untilRateAllows(now int64) time.Duration {
	if !u.RateLimited {
		return 0
	}
	return u.Counters.said().rate.untilAllowed(now, u.RequestRate)
}

// TakeRequest reports whether this instance may send a request to the upstream now by the rate that it
// names, and counts the request if so.
func (u *Upstream) TakeRequest(now int64) bool {
	return !u.RateLimited || u.Counters.said().rate.take(now, u.RequestRate)
}

// ChargeResends counts requests that the transport sent again by itself.
func (u *Upstream) ChargeResends(n int) {
	if u.RateLimited && n > 0 {
		u.Counters.said().rate.charge(n)
	}
}
