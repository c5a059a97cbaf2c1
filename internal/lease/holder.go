package lease

import (
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

// Holder acquires and renews one lease. It is safe for concurrent use.
type Holder struct {
	store external.Store
	key   string
	id    string
	ttl   time.Duration
	now   func() time.Time

	// callMu is held during a store call. mu is held only while state is read or
	// replaced, so that Valid never waits for the store.
	callMu sync.Mutex
	mu     sync.Mutex
	state  state
}

// New returns a holder that competes for the lease at key on behalf of the instance id.
// now reads the holder's clock, which must be monotonic.
func New(store external.Store, key, id string, ttl time.Duration, now func() time.Time) *Holder {
	return &Holder{store: store, key: key, id: id, ttl: ttl, now: now}
}

// Valid reports whether the holder may act now, and its fencing token. The clock is read
// last, so that a pause before that is detected. A pause after it is not detected, so
// messages to other processes must carry the token.
func (h *Holder) Valid() (token int64, ok bool) {
	s := h.read()
	return s.token, s.validAt(h.now())
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
		wait := h.read().due.Sub(h.now())
		if h.read().phase == idle {
			wait = max(wait, retryInterval)
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
	s, started := h.read(), h.now()
	if started.Before(s.due) {
		return
	}
	a := s.next(started)
	r := h.call(ctx, a, s)
	h.replace(s.after(a, started, h.ttl, r))
}

// Release revokes the lease. The holder stops being valid before the store call starts.
func (h *Holder) Release(ctx context.Context) {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	s := h.read()
	h.replace(idleUntil(h.now().Add(retryInterval)))
	if s.leaseID != 0 {
		h.call(ctx, actRevoke, s)
	}
}

func (h *Holder) call(ctx context.Context, a action, s state) callResult {
	switch a {
	case actGrant:
		leaseID, err := h.store.GrantLease(ctx, h.ttl)
		return callResult{status: statusOf(err), leaseID: leaseID}
	case actClaim:
		return h.claim(ctx, s)
	case actRenew:
		return callResult{status: statusOf(h.store.RenewLease(ctx, s.leaseID))}
	case actRevoke:
		return callResult{status: statusOf(h.store.RevokeLease(ctx, s.leaseID))}
	default: // actCheck and actReadBack
		return h.readKey(ctx, s)
	}
}

func (h *Holder) claim(ctx context.Context, s state) callResult {
	absent := []external.Condition{{Key: h.key}}
	ok, modRevision, err := h.store.Commit(ctx, absent, []external.Write{{Key: h.key, Value: []byte(h.id), Lease: s.leaseID}})
	if err == nil && !ok {
		return callResult{status: statusRejected}
	}
	return callResult{status: statusOf(err), token: modRevision}
}

func (h *Holder) readKey(ctx context.Context, s state) callResult {
	entry, err := h.store.Get(ctx, h.key)
	switch {
	case err != nil:
		return callResult{status: statusOf(err)}
	case entry.ModRevision == 0:
		return callResult{status: statusAbsent}
	case s.leaseID != 0 && entry.Lease == s.leaseID:
		return callResult{status: statusOK, token: entry.ModRevision}
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
