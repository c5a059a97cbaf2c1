// Package slotclaim claims one slot of the own failure domain in the key-value
// service, so that at most one instance at a time uses a slot's part of the rates and
// owns its idempotency keys.
//
// The claim is a key under a store lease that outlives long outages. The decisions
// are pure functions of the state and the time; Holder adds the store calls.
package slotclaim

import (
	"time"

	"heatherloom/internal/quota"
)

const (
	// TTL is the time after which the claim of a silent holder ends. It exceeds the
	// hour for which the store or a region may be out of reach.
	TTL = 75 * time.Minute
	// RenewInterval is the time between the starts of two renewals: 1.5 writes/s at
	// 920 instances.
	RenewInterval = 10 * time.Minute
	// retryInterval is the pause after a call without an answer, and while all slots
	// are taken.
	retryInterval = 3 * time.Second
	// waitInterval is the pause while the configuration names no slots. No store call
	// is made then.
	waitInterval = 250 * time.Millisecond
	// marginPercent of the TTL covers the drift between the clocks of the holder and
	// the store.
	marginPercent = 2
	// settleTime is the time until no token that an earlier holder of the slot lent
	// can be spent, with a tenth for clock drift.
	settleTime = quota.LoanValidity + quota.LoanValidity/10
)

type phase int

const (
	// idle: nothing is held and no slot is chosen.
	idle phase = iota
	// chosen: a slot is chosen, there is no lease yet.
	chosen
	// granted: a lease exists, the slot's key is not attached to it.
	granted
	// unsure: the slot's key may be attached to the lease.
	unsure
	// held: the slot's key is attached to the lease.
	held
	// abandoned: the lease must end before another claim, because a claim whose answer
	// was lost may still take effect under it.
	abandoned
)

type action int

const (
	actWait action = iota
	actLook
	actGrant
	actClaim
	actReadBack
	actRenew
	actRevoke
)

// result is what a store call showed.
type result int

const (
	// resultYes: the call had the wished effect, or the key is this holder's.
	resultYes result = iota
	// resultNo: the call certainly had no effect, or the key is not this holder's.
	resultNo
	// resultEnded: the store knows no such lease.
	resultEnded
	// resultLost: there was no answer; the call may have taken effect.
	resultLost
)

// target is the slot that is to be claimed, as it was read from the store.
type target struct {
	index int
	// version is the store version of the slot's key; 0 if it does not exist.
	version int64
	// lease is the lease of the earlier process of the same instance id; 0 for none.
	lease int64
	// unused is true if the slot was never claimed before.
	unused bool
}

// state is what a holder knows. Its zero value holds nothing.
type state struct {
	phase  phase
	target target
	lease  int64
	// since is the time from which the slot may be used, and until the end of use, by
	// the holder's own clock.
	since time.Time
	until time.Time
	// due is the earliest start of the next call.
	due time.Time
}

// next returns the call to make at the given time. slots is the number of slots of
// the failure domain by the configuration in force.
func (s state) next(now time.Time, slots int) action {
	switch s.phase {
	case chosen:
		return actGrant
	case granted:
		if !now.Before(s.until) {
			return actRevoke
		}
		return actClaim
	case unsure:
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
		return actLook
	}
}

// outcome is the result of a call with what it returned.
type outcome struct {
	result result
	lease  int64
	target target
}

// after returns the state after a call that started and was answered at the given
// times.
func (s state) after(a action, started, answered time.Time, o outcome) state {
	switch a {
	case actWait:
		return idleFrom(started.Add(waitInterval))
	case actLook:
		return afterLook(started, o)
	case actGrant:
		return s.afterGrant(started, o)
	case actClaim:
		return s.afterClaim(started, answered, o)
	case actReadBack:
		return s.afterReadBack(started, answered, o)
	case actRenew:
		return s.afterRenew(started, o)
	default:
		return s.afterRevoke(started, o)
	}
}

func idleFrom(due time.Time) state { return state{phase: idle, due: due} }

func validity(started time.Time) time.Time { return started.Add(TTL - TTL*marginPercent/100) }

func afterLook(started time.Time, o outcome) state {
	if o.result != resultYes {
		return idleFrom(started.Add(retryInterval))
	}
	return state{phase: chosen, target: o.target, due: started}
}

// afterGrant: a lease whose grant was not answered holds no key and ends by itself.
func (s state) afterGrant(started time.Time, o outcome) state {
	if o.result != resultYes {
		return idleFrom(started.Add(retryInterval))
	}
	s.phase, s.lease, s.until, s.due = granted, o.lease, validity(started), started
	return s
}

// afterClaim: a refused claim lost the race for the slot, so that its lease is given
// up and the slots are read again.
func (s state) afterClaim(started, answered time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		return s.claimed(started, answered)
	case resultEnded:
		return idleFrom(started)
	case resultNo:
		s.phase, s.due = abandoned, started
	default:
		s.phase, s.due = unsure, started
	}
	return s
}

// claimed begins the use of the slot. Tokens that an earlier holder lent may be spent
// for a while, so that a slot that was used before starts later.
func (s state) claimed(started, answered time.Time) state {
	s.phase, s.since, s.due = held, answered, started.Add(RenewInterval)
	if !s.target.unused {
		s.since = answered.Add(settleTime)
	}
	return s
}

func (s state) afterReadBack(started, answered time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		// The lease may be old by now, so that it is renewed at once.
		s = s.claimed(started, answered)
		s.due = started
	case resultNo:
		s.phase, s.due = abandoned, started
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRenew: a renewal whose answer was lost counts as not renewed.
func (s state) afterRenew(started time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		s.until, s.due = validity(started), started.Add(RenewInterval)
	case resultEnded:
		return idleFrom(started)
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRevoke: the revocation is repeated until the store answers.
func (s state) afterRevoke(started time.Time, o outcome) state {
	if o.result != resultLost {
		return idleFrom(started)
	}
	s.phase, s.due = abandoned, started.Add(retryInterval)
	return s
}
