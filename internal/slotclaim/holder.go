package slotclaim

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
)

// Deps holds the dependencies and settings of a Holder.
type Deps struct {
	Store external.Store
	// Domain is the own failure domain.
	Domain string
	// Instance is the own instance id, and Incarnation the start time of the process
	// in Unix nanoseconds.
	Instance    string
	Incarnation int64
	// Slots returns the number of slots of the domain in the current configuration; 0 if
	// there is none yet.
	Slots func() int
	// OnChange is called on each change of the claim; may be nil.
	OnChange func(context.Context, Claim)
	// Now reads the holder's clock, which must be monotonic.
	Now func() time.Time
}

// Holder claims a slot and renews the claim.
type Holder struct {
	Deps

	// callMu is held during a store call, mu only while state is read or replaced.
	callMu   sync.Mutex
	mu       sync.Mutex
	state    state
	released bool
}

// New returns a holder without a slot.
func New(deps Deps) *Holder { return &Holder{Deps: deps} }

// Claim returns the claim on the slot that is held. Use of the slot ends at UsableUntil,
// even if Claim is not called again; callers must read the clock after any pause.
func (h *Holder) Claim() Claim { return h.read().claim() }

// ClaimedSlots returns the ids, as domain/index, of the slots of all failure domains that are
// claimed in the store.
func (h *Holder) ClaimedSlots(ctx context.Context) (map[string]bool, error) {
	entries, err := h.Store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read slot claims")
	}
	claimed := make(map[string]bool, len(entries))
	for _, e := range entries {
		claimed[strings.TrimPrefix(e.Key, KeyPrefix)] = true
	}
	return claimed, nil
}

func (h *Holder) read() state {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *Holder) replace(ctx context.Context, s state) {
	h.mu.Lock()
	before := h.state.claim()
	h.state = s
	h.mu.Unlock()
	if after := s.claim(); after != before && h.OnChange != nil {
		h.OnChange(ctx, after)
	}
}

// Run claims a slot and renews the claim until ctx ends or the slot is released.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && h.Step(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(h.nextDelay()):
		}
	}
}

// nextDelay returns the time until the next call of Step. A held slot is checked more
// often than it is renewed, because the configuration may remove it.
func (h *Holder) nextDelay() time.Duration {
	return min(h.read().due.Sub(h.Now()), retryInterval)
}

// Step makes the next store call if it is due. It returns false once the slot was
// released.
func (h *Holder) Step(ctx context.Context) bool {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	if h.released {
		return false
	}
	s, started, slots := h.read(), h.Now(), h.Slots()
	removed := s.phase == held && s.target.index >= slots
	if started.Before(s.due) && !removed {
		return true
	}
	a := s.next(started, slots)
	if removed {
		// The slot must not be used after the revocation has started.
		s.phase = abandoned
		h.replace(ctx, s)
	}
	r := h.call(ctx, a, s, slots)
	h.replace(ctx, s.after(a, started, h.Now(), r))
	if a == actClaim && r.status == statusOK && s.target.earlierLeaseID != 0 {
		// An earlier process that is unexpectedly still running stops using the slot at
		// its next renewal.
		_ = h.Store.RevokeLease(ctx, s.target.earlierLeaseID)
	}
	return true
}

// Release gives up the slot, for example on a drain. Use of the slot ends before the store
// call starts. The call is repeated until the store responds or ctx ends.
func (h *Holder) Release(ctx context.Context) {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	h.released = true
	s := h.read()
	h.replace(ctx, idleUntil(h.Now()))
	for s.leaseID != 0 && ctx.Err() == nil {
		if h.call(ctx, actRevoke, s, 0).status != statusUnknown {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (h *Holder) call(ctx context.Context, a action, s state, slots int) callResult {
	switch a {
	case actChoose:
		return h.chooseTarget(ctx, slots)
	case actGrant:
		leaseID, err := h.Store.GrantLease(ctx, TTL)
		return callResult{status: statusOf(err), leaseID: leaseID}
	case actClaim:
		return h.claim(ctx, s)
	case actReadBack:
		return h.readBack(ctx, s)
	case actRenew:
		return callResult{status: statusOf(h.Store.RenewLease(ctx, s.leaseID))}
	case actRevoke:
		return callResult{status: statusOf(h.Store.RevokeLease(ctx, s.leaseID))}
	default:
		return callResult{}
	}
}

func (h *Holder) self() slotValue { return slotValue{Instance: h.Instance, Incarnation: h.Incarnation} }

// chooseTarget chooses a slot and reads whether it was claimed before.
func (h *Holder) chooseTarget(ctx context.Context, slots int) callResult {
	entries, err := h.Store.List(ctx, domainPrefix(h.Domain))
	if err != nil {
		return callResult{status: statusUnknown}
	}
	t, found := chooseSlot(h.self(), h.Domain, slots, entries)
	if !found {
		return callResult{status: statusRejected}
	}
	used, err := h.Store.Get(ctx, usedKey(h.Domain, t.index))
	t.neverClaimed = used.ModRevision == 0
	return callResult{status: statusOf(err), target: t}
}

// claim writes the slot's key with the lease and, for a slot that was never claimed before,
// the marker that it now was.
func (h *Holder) claim(ctx context.Context, s state) callResult {
	raw, err := json.Marshal(h.self())
	if err != nil {
		return callResult{status: statusRejected}
	}
	key := slotKey(h.Domain, s.target.index)
	conditions := []external.Condition{{Key: key, ModRevision: s.target.modRevision}}
	writes := []external.Write{{Key: key, Value: raw, Lease: s.leaseID}}
	if s.target.neverClaimed {
		used := usedKey(h.Domain, s.target.index)
		conditions = append(conditions, external.Condition{Key: used})
		writes = append(writes, external.Write{Key: used, Value: raw})
	}
	ok, _, err := h.Store.Commit(ctx, conditions, writes)
	if err == nil && !ok {
		return callResult{status: statusRejected}
	}
	return callResult{status: statusOf(err)}
}

func (h *Holder) readBack(ctx context.Context, s state) callResult {
	entry, err := h.Store.Get(ctx, slotKey(h.Domain, s.target.index))
	switch {
	case err != nil:
		return callResult{status: statusUnknown}
	case entry.ModRevision != 0 && entry.Lease == s.leaseID:
		return callResult{status: statusOK}
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
