// Package duty lets one instance at a time make the calls of a duty, such as usage reports, to an
// API of the platform. The holder of a lease in the key-value service has the duty; the instances
// run no consensus protocol of their own. docs/work-plan.md section B.1 describes the design.
//
// The decisions in this file are pure functions; Holder makes the store calls.
package duty

import (
	"errors"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/lease"
)

const (
	// maxTTL is the TTL of the lease if the platform's lease time is long enough. A duty is vacant for
	// as long after its holder was killed.
	maxTTL = 2500 * time.Millisecond
	// maxCallTimeout is the timeout of a call to the API if the platform's lease time is long enough.
	maxCallTimeout = time.Second
	// immediateCandidates is the number of instances that compete for a vacant duty at once.
	immediateCandidates = 3
	// widenAfter is how long a duty is vacant before further instances compete for it; the first
	// ones cannot reach the store then. One more joins in each widenInterval.
	widenAfter    = 4 * time.Second
	widenInterval = time.Second
	// attemptInterval is the time between two attempts of one of the first candidates. Those of
	// lower rank attempt less often, up to maxAttemptInterval, so that the calls of 1,000 instances
	// to a store that is down do not exceed 30/s.
	attemptInterval    = time.Second
	maxAttemptInterval = time.Minute
	// unansweredCalls consecutive calls to the API without a response, over at least unansweredFor,
	// show that this instance cannot reach it. It then releases the duty and does not compete
	// for standDown.
	unansweredCalls = 3
	unansweredFor   = 3 * time.Second
	standDown       = 10 * time.Second
	// defaultRetryAfter is the delay after a call that exceeded the rate limit of the API, if the
	// response names none.
	defaultRetryAfter = time.Second
)

// timing returns the times of the lease if holders must not alternate within leaseTime. The TTL is
// shorter, so that the validity of a lost lease ends before the settling time of the next holder.
func timing(leaseTime time.Duration) lease.Timing {
	ttl := min(maxTTL, leaseTime*5/6)
	return lease.Timing{TTL: ttl, RenewInterval: ttl * 8 / 25, RetryInterval: ttl * 2 / 25}
}

// CallTimeout returns the timeout that each call to the API must have.
func CallTimeout(leaseTime time.Duration) time.Duration { return min(maxCallTimeout, leaseTime/3) }

// competes reports whether the instance of a rank, counted from 0, competes for a duty that has been
// vacant for the given time.
func competes(rank int, vacantFor time.Duration) bool {
	if vacantFor < widenAfter {
		return rank < immediateCandidates
	}
	return rank <= immediateCandidates+int((vacantFor-widenAfter)/widenInterval)
}

// attemptDelay returns the time between two attempts of the instance of a rank.
func attemptDelay(rank int) time.Duration {
	return min(attemptInterval*time.Duration(1+rank/immediateCandidates), maxAttemptInterval)
}

// permitted reports whether a call of callTimeout may start at now in a term of the lease.
func permitted(t lease.Term, now time.Time, settling, callTimeout time.Duration) bool {
	return !now.Before(t.Since.Add(settling)) && t.Until.Sub(now) >= callTimeout
}

// outcomes counts the consecutive calls to the API without a response.
type outcomes struct {
	unanswered int
	// since is when the first of them ended.
	since time.Time
}

// verdict is what follows from the outcome of a call.
type verdict struct {
	// release is why the duty is to be released; empty if it is kept.
	release string
	// pause is how long no call may be made.
	pause time.Duration
}

// after returns the counts and the verdict after a call that ended at now.
func (o outcomes) after(err error, now time.Time) (outcomes, verdict) {
	var limited *external.RateLimitedError
	switch {
	case errors.Is(err, external.ErrStaleFence):
		return outcomes{}, verdict{release: "the API has accepted a higher token"}
	case errors.As(err, &limited):
		if limited.RetryAfter > 0 {
			return outcomes{}, verdict{pause: limited.RetryAfter}
		}
		return outcomes{}, verdict{pause: defaultRetryAfter}
	case !errors.Is(err, external.ErrUnavailable):
		return outcomes{}, verdict{}
	}
	if o.unanswered == 0 {
		o.since = now
	}
	o.unanswered++
	if o.unanswered >= unansweredCalls && now.Sub(o.since) >= unansweredFor {
		return outcomes{}, verdict{release: "the API does not respond"}
	}
	return o, verdict{}
}
