// Package slotclaim claims one slot of the own failure domain in the key-value service, so
// that at most one instance at a time uses a slot's share of the rate limits and owns its
// idempotency keys.
//
// The claim is a key with a store lease that outlives long outages. The decisions are pure
// functions of the state and the time; Holder makes the store calls.
package slotclaim

import (
	"time"

	"heatherloom/internal/quota"
)

const (
	// TTL is the time after which a claim that is not renewed expires. It exceeds the hour
	// for which the store or a region may be unreachable.
	TTL = 75 * time.Minute
	// RenewInterval is the time between the starts of two renewals: 1.5 writes/s at
	// 920 instances.
	RenewInterval = 10 * time.Minute
	// retryInterval is the delay after a call without a response, and while all slots are
	// taken.
	retryInterval = 3 * time.Second
	// waitInterval is the delay while the configuration defines no slots. No store call is
	// made then.
	waitInterval = 250 * time.Millisecond
	// marginPercent is the percentage of the TTL that covers the drift between the clocks
	// of the holder and the store.
	marginPercent = 2
	// loanSettleTime is the time after which no rate limit token lent by an earlier holder
	// of the slot can be spent. It includes a tenth for clock drift.
	loanSettleTime = quota.LoanValidity + quota.LoanValidity/10
)

type phase int

const (
	// idle: no slot is held or chosen.
	idle phase = iota
	// chosen: a slot is chosen, there is no lease yet.
	chosen
	// granted: the store granted a lease, but the slot's key is not attached to it yet.
	granted
	// uncertain: the slot's key may be attached to the lease.
	uncertain
	// held: the slot's key is attached to the lease.
	held
	// abandoned: the lease must end before another claim, because a claim whose response
	// was lost may still take effect with it.
	abandoned
)

type action int

const (
	actWait action = iota
	actChoose
	actGrant
	actClaim
	actReadBack
	actRenew
	actRevoke
)

// callStatus is what is known after a store call.
type callStatus int

const (
	// statusOK: the call took effect, or the key belongs to this holder.
	statusOK callStatus = iota
	// statusRejected: the call had no effect, or the key does not belong to this holder.
	statusRejected
	// statusLeaseNotFound: the lease does not exist in the store.
	statusLeaseNotFound
	// statusUnknown: there was no response; the call may have taken effect.
	statusUnknown
)

// target is the slot to claim, as it was read from the store.
type target struct {
	index int
	// modRevision is the mod revision of the slot's key; 0 if the key does not exist.
	modRevision int64
	// earlierLeaseID is the id of the lease that an earlier process with the same instance id
	// attached to the key; 0 if there is none.
	earlierLeaseID int64
	// neverClaimed is true if the slot was never claimed before.
	neverClaimed bool
}

// state is the state of a holder. The zero value holds no slot.
type state struct {
	phase   phase
	target  target
	leaseID int64
	// usableFrom is when use of the slot's rate may begin, and usableUntil when all use of the
	// slot must end, both by the holder's own clock.
	usableFrom  time.Time
	usableUntil time.Time
	// due is the earliest start of the next call.
	due time.Time
}

// next returns the call to make at the given time. slots is the number of slots of the
// failure domain in the current configuration.
func (s state) next(now time.Time, slots int) action {
	switch s.phase {
	case chosen:
		return actGrant
	case granted:
		if !now.Before(s.usableUntil) {
			return actRevoke
		}
		return actClaim
	case uncertain:
		return actReadBack
	case held:
		if s.target.index >= slots {
			return actRevoke
		}
		return actRenew
	case abandoned:
		return actRevoke
	default:
		if slots == 0 {
			return actWait
		}
		return actChoose
	}
}

// callResult is the status of a store call with the values that it returned.
type callResult struct {
	status  callStatus
	leaseID int64
	target  target
}

// after returns the state after a call that began at started and returned at returned.
func (s state) after(a action, started, returned time.Time, r callResult) state {
	switch a {
	case actWait:
		return idleUntil(started.Add(waitInterval))
	case actChoose:
		return afterChoose(started, r)
	case actGrant:
		return s.afterGrant(started, r)
	case actClaim:
		return s.afterClaim(started, returned, r)
	case actReadBack:
		return s.afterReadBack(started, returned, r)
	case actRenew:
		return s.afterRenew(started, r)
	default:
		return s.afterRevoke(started, r)
	}
}

func idleUntil(due time.Time) state { return state{phase: idle, due: due} }

func validity(started time.Time) time.Time { return started.Add(TTL - TTL*marginPercent/100) }

func afterChoose(started time.Time, r callResult) state {
	if r.status != statusOK {
		return idleUntil(started.Add(retryInterval))
	}
	return state{phase: chosen, target: r.target, due: started}
}

// afterGrant discards a lease whose grant had no response: it has no key attached and
// expires by itself.
func (s state) afterGrant(started time.Time, r callResult) state {
	if r.status != statusOK {
		return idleUntil(started.Add(retryInterval))
	}
	s.phase, s.leaseID, s.usableUntil, s.due = granted, r.leaseID, validity(started), started
	return s
}

// afterClaim abandons the lease after a rejected claim, which lost the race for the slot.
// The slots are then read again.
func (s state) afterClaim(started, returned time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		return s.beginUse(started, returned)
	case statusLeaseNotFound:
		return idleUntil(started)
	case statusRejected:
		s.phase, s.due = abandoned, started
	default:
		s.phase, s.due = uncertain, started
	}
	return s
}

// beginUse returns the state in which the slot is held. Use of a slot that was claimed
// before begins later, because tokens that an earlier holder lent may still be spent.
func (s state) beginUse(started, returned time.Time) state {
	s.phase, s.usableFrom, s.due = held, returned, started.Add(RenewInterval)
	if !s.target.neverClaimed {
		s.usableFrom = returned.Add(loanSettleTime)
	}
	return s
}

func (s state) afterReadBack(started, returned time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		// The lease may be close to its expiry by now, so it is renewed at once.
		s = s.beginUse(started, returned)
		s.due = started
	case statusRejected:
		s.phase, s.due = abandoned, started
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRenew treats a renewal whose response was lost as not renewed.
func (s state) afterRenew(started time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		s.usableUntil, s.due = validity(started), started.Add(RenewInterval)
	case statusLeaseNotFound:
		return idleUntil(started)
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRevoke repeats the revocation until the store responds.
func (s state) afterRevoke(started time.Time, r callResult) state {
	if r.status != statusUnknown {
		return idleUntil(started)
	}
	s.phase, s.due = abandoned, started.Add(retryInterval)
	return s
}
