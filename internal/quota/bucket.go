package quota

import (
	"math"
	"time"
)

// LoanValidity is how long after its request a borrower may spend a borrowed token, by
// the borrower's clock.
const LoanValidity = 500 * time.Millisecond

// loanReservation is how long after lending a token the lender counts it against the
// bucket's capacity, by the lender's clock. It exceeds LoanValidity by a margin for clock
// drift.
const loanReservation = LoanValidity + LoanValidity/20

// loan is a number of tokens lent to one borrower.
type loan struct {
	borrower string
	sequence uint64
	tokens   float64
	at       time.Time
}

// bucket is the token bucket of one client account in this instance's slot. Lent tokens
// count against its capacity until they are reported as spent or can no longer be spent,
// so that the tokens held here and by borrowers never exceed the burst.
type bucket struct {
	limit  Limit
	tokens float64
	last   time.Time
	loans  []loan
}

// newBucket returns an empty bucket, because a restart must not grant a new burst.
func newBucket(now time.Time, limit Limit) *bucket {
	return &bucket{limit: limit, last: now}
}

// setLimit applies a new limit from now on. Tokens earned at the old rate are kept, up to
// the new burst.
func (b *bucket) setLimit(now time.Time, limit Limit) {
	if b.limit == limit {
		return
	}
	b.refill(now)
	b.limit = limit
	b.refill(now)
}

// refill adds the tokens earned since the last call, up to the burst minus the lent
// tokens. It adds nothing if the clock went backwards.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.tokens += elapsed * b.limit.Rate
		b.last = now
	}
	b.tokens = math.Max(math.Min(b.tokens, b.limit.Burst-b.lent(now)), 0)
}

// lent returns the number of tokens that borrowers may still hold, and drops expired
// loans.
func (b *bucket) lent(now time.Time) float64 {
	sum := 0.0
	kept := b.loans[:0]
	for _, l := range b.loans {
		if now.Sub(l.at) < loanReservation {
			kept = append(kept, l)
			sum += l.tokens
		}
	}
	b.loans = kept
	return sum
}

// take removes one token if there is one.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// lend moves up to want whole tokens to a borrower.
func (b *bucket) lend(now time.Time, borrower string, sequence uint64, want int) int {
	b.refill(now)
	n := min(want, int(b.tokens))
	if n <= 0 {
		return 0
	}
	b.tokens -= float64(n)
	b.loans = append(b.loans, loan{borrower: borrower, sequence: sequence, tokens: float64(n), at: now})
	return n
}

// releaseLoans drops the loans of a borrower up to a sequence number. Their tokens were
// spent or relinquished.
func (b *bucket) releaseLoans(borrower string, sequence uint64) {
	kept := b.loans[:0]
	for _, l := range b.loans {
		if l.borrower != borrower || l.sequence > sequence {
			kept = append(kept, l)
		}
	}
	b.loans = kept
}

// maxWait is the maximum reported wait, and the wait of a bucket that never refills.
const maxWait = time.Minute

// wait returns the time until the bucket holds a token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if b.limit.Rate <= 0 || b.limit.Burst < 1 {
		return maxWait
	}
	seconds := (1 - b.tokens) / b.limit.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}
