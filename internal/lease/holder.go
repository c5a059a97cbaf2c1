package lease

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"heatherloom/internal/external"
)

// KeyPrefix is the key prefix of the leases in the key-value service.
const KeyPrefix = "/heatherloom/lease/"

// DomainKey returns the key of a failure domain's leader lease.
func DomainKey(domain string) string { return KeyPrefix + "domain/" + domain }

// Store is the part of the key-value service that a lease needs. Its methods are those of
// external.Store.
type Store interface {
	Get(ctx context.Context, key string) (external.Entry, error)
	Commit(ctx context.Context, conditions []external.Condition, writes []external.Write) (ok bool, revision int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	RenewLease(ctx context.Context, lease int64) error
	RevokeLease(ctx context.Context, lease int64) error
}

// ttlStore is a Store that tells the TTL that applies to a lease, 0 if it is not known. Those of other stores have the
// TTL that was requested.
type ttlStore interface {
	AppliedTTL(lease int64) time.Duration
}

// Config holds the dependencies and times of a Holder.
type Config struct {
	Store Store
	// Key is the key that is attached to the lease.
	Key string
	// Value returns the value of the key for the holder of the given lease. It should differ
	// between processes: a key that has another value was not written by this holder.
	Value func(lease int64) []byte
	// Invalid reports whether the holder that wrote an existing key is known to be no longer
	// valid, so that the key may be replaced; nil means that it never is.
	Invalid func(external.Entry) bool
	Timing  Timing
	// Now reads the holder's clock, which must be monotonic.
	Now func() time.Time
}

// Holder acquires and renews one lease. It is safe for concurrent use.
type Holder struct {
	config Config

	// callMu is held during a store call. mu is held only while state is read or
	// replaced, so that Valid never waits for the store.
	callMu sync.Mutex
	mu     sync.Mutex
	state  state
}

// New returns a holder that competes for the lease at key on behalf of the instance id.
// now reads the holder's clock, which must be monotonic.
func New(store Store, key, id string, ttl time.Duration, now func() time.Time) *Holder {
	return NewFromConfig(Config{
		Store: store, Key: key, Now: now,
		Value:  func(int64) []byte { return []byte(id) },
		Timing: Timing{TTL: ttl, RenewInterval: defaultRenewInterval, RetryInterval: defaultRetryInterval},
	})
}

// NewFromConfig returns a holder without a lease.
func NewFromConfig(c Config) *Holder { return &Holder{config: c} }

// Valid reports whether the holder may act now, and its fencing token. The clock is read
// last, so that a pause before that is detected. A pause after it is not detected, so
// messages to other processes must carry the token.
func (h *Holder) Valid() (token int64, ok bool) {
	s := h.read()
	return s.token, s.validAt(h.config.Now())
}

// ValidUntil returns when validity ends without a further renewal; zero if the lease is not
// held.
func (h *Holder) ValidUntil() time.Time {
	s := h.read()
	if s.phase != held {
		return time.Time{}
	}
	return s.validUntil
}

// Term is the time in which a holder has the lease without interruption.
type Term struct {
	// Token is the fencing token, which grows with each new term of any holder.
	Token int64
	// Since is when the holder learned that it has the lease.
	Since time.Time
	// Until is when validity ends without a further renewal. It may have passed.
	Until time.Time
}

// Term returns the current term; ok is false if there is none. It reads no clock.
func (h *Holder) Term() (t Term, ok bool) {
	s := h.read()
	if s.phase != held {
		return Term{}, false
	}
	return Term{Token: s.token, Since: s.heldSince, Until: s.validUntil}, true
}

// NextStep returns when the next call of Step is due; isIdle is true if no lease is held or
// requested, so that a step would begin to compete for it.
func (h *Holder) NextStep() (due time.Time, isIdle bool) {
	s := h.read()
	return s.due, s.phase == idle
}

func (h *Holder) read() state {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *Holder) replace(s state) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
}

// Run acquires the lease while candidate returns true and renews it until ctx ends. A
// holder that is no longer a candidate keeps the lease, so that the lease does not change
// hands with each membership change.
func (h *Holder) Run(ctx context.Context, candidate func() bool) {
	for ctx.Err() == nil {
		if h.read().phase != idle || candidate() {
			h.Step(ctx)
		}
		wait := h.read().due.Sub(h.config.Now())
		if h.read().phase == idle {
			wait = max(wait, h.config.Timing.RetryInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Step makes the next store call if it is due.
func (h *Holder) Step(ctx context.Context) {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	s, started := h.read(), h.config.Now()
	if started.Before(s.due) {
		return
	}
	a := s.next(started)
	r := h.call(ctx, a, s)
	h.replace(s.after(a, callTime{started, h.config.Now()}, h.config.Timing, r))
}

// Release revokes the lease. The holder stops being valid before the store call starts.
func (h *Holder) Release(ctx context.Context) {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	s := h.read()
	h.replace(idleUntil(h.config.Now().Add(h.config.Timing.RetryInterval)))
	if s.leaseID != 0 {
		h.call(ctx, actRevoke, s)
	}
}

func (h *Holder) call(ctx context.Context, a action, s state) callResult {
	switch a {
	case actGrant:
		leaseID, err := h.config.Store.GrantLease(ctx, h.config.Timing.TTL)
		r := callResult{status: statusOf(err), leaseID: leaseID}
		if s, ok := h.config.Store.(ttlStore); ok && err == nil {
			r.ttl = s.AppliedTTL(leaseID)
		}
		return r
	case actClaim:
		return h.claim(ctx, s)
	case actRenew:
		return callResult{status: statusOf(h.config.Store.RenewLease(ctx, s.leaseID))}
	case actRevoke:
		return callResult{status: statusOf(h.config.Store.RevokeLease(ctx, s.leaseID))}
	default: // actCheck and actReadBack
		return h.readKey(ctx, s)
	}
}

func (h *Holder) claim(ctx context.Context, s state) callResult {
	condition := []external.Condition{{Key: h.config.Key, ModRevision: s.replaces}}
	write := []external.Write{{Key: h.config.Key, Value: h.config.Value(s.leaseID), Lease: s.leaseID}}
	ok, modRevision, err := h.config.Store.Commit(ctx, condition, write)
	if err == nil && !ok {
		return callResult{status: statusRejected}
	}
	return callResult{status: statusOf(err), token: modRevision}
}

// readKey also compares the value: after a restore of the store, a claim that another holder
// sent earlier may attach its key to a lease whose ID was given out again.
func (h *Holder) readKey(ctx context.Context, s state) callResult {
	entry, err := h.config.Store.Get(ctx, h.config.Key)
	switch {
	case err != nil:
		return callResult{status: statusOf(err)}
	case entry.ModRevision == 0:
		return callResult{status: statusAbsent}
	case s.leaseID != 0 && entry.Lease == s.leaseID && bytes.Equal(entry.Value, h.config.Value(s.leaseID)):
		return callResult{status: statusOK, token: entry.ModRevision}
	case h.config.Invalid != nil && h.config.Invalid(entry):
		return callResult{status: statusAbsent, replaces: entry.ModRevision}
	default:
		return callResult{status: statusRejected}
	}
}

func statusOf(err error) callStatus {
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, external.ErrLeaseNotFound):
		return statusLeaseNotFound
	default:
		return statusUnknown
	}
}
