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
	o := h.call(ctx, a, s, slots)
	h.replace(ctx, s.after(a, started, h.Now(), o))
	if a == actClaim && o.result == resultOK && s.target.lease != 0 {
		// An earlier process that is unexpectedly still running stops using the slot at
		// its next renewal.
		_ = h.Store.RevokeLease(ctx, s.target.lease)
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
	for s.lease != 0 && ctx.Err() == nil {
		if h.call(ctx, actRevoke, s, 0).result != resultUnknown {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (h *Holder) call(ctx context.Context, a action, s state, slots int) outcome {
	switch a {
	case actChoose:
		return h.chooseTarget(ctx, slots)
	case actGrant:
		lease, err := h.Store.GrantLease(ctx, TTL)
		return outcome{result: resultOf(err), lease: lease}
	case actClaim:
		return h.claim(ctx, s)
	case actReadBack:
		return h.readBack(ctx, s)
	case actRenew:
		return outcome{result: resultOf(h.Store.RenewLease(ctx, s.lease))}
	case actRevoke:
		return outcome{result: resultOf(h.Store.RevokeLease(ctx, s.lease))}
	default:
		return outcome{}
	}
}

func (h *Holder) self() slotValue { return slotValue{Instance: h.Instance, Incarnation: h.Incarnation} }

// chooseTarget chooses a slot and reads whether it was claimed before.
func (h *Holder) chooseTarget(ctx context.Context, slots int) outcome {
	entries, err := h.Store.List(ctx, domainPrefix(h.Domain))
	if err != nil {
		return outcome{result: resultUnknown}
	}
	t, found := chooseSlot(h.self(), h.Domain, slots, entries)
	if !found {
		return outcome{result: resultRejected}
	}
	used, err := h.Store.Get(ctx, usedKey(h.Domain, t.index))
	t.unused = used.ModRevision == 0
	return outcome{result: resultOf(err), target: t}
}

// claim writes the slot's key with the lease and, for a slot that was never claimed before,
// the marker that it now was.
func (h *Holder) claim(ctx context.Context, s state) outcome {
	raw, err := json.Marshal(h.self())
	if err != nil {
		return outcome{result: resultRejected}
	}
	key := slotKey(h.Domain, s.target.index)
	conditions := []external.Condition{{Key: key, ModRevision: s.target.version}}
	writes := []external.Write{{Key: key, Value: raw, Lease: s.lease}}
	if s.target.unused {
		used := usedKey(h.Domain, s.target.index)
		conditions = append(conditions, external.Condition{Key: used})
		writes = append(writes, external.Write{Key: used, Value: raw})
	}
	ok, _, err := h.Store.Commit(ctx, conditions, writes)
	if err == nil && !ok {
		return outcome{result: resultRejected}
	}
	return outcome{result: resultOf(err)}
}

func (h *Holder) readBack(ctx context.Context, s state) outcome {
	entry, err := h.Store.Get(ctx, slotKey(h.Domain, s.target.index))
	switch {
	case err != nil:
		return outcome{result: resultUnknown}
	case entry.ModRevision != 0 && entry.Lease == s.lease:
		return outcome{result: resultOK}
	default:
		return outcome{result: resultRejected}
	}
}

func resultOf(err error) result {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, external.ErrLeaseNotFound):
		return resultLeaseNotFound
	default:
		return resultUnknown
	}
}
