// Package lease holds a lease of the key-value service for one task that must have
// at most one holder, such as leading a failure domain.
//
// The decisions are pure functions of the state and the time; Holder adds the store
// calls. A holder is valid for the TTL less a margin, counted from the start of the
// last call that certainly granted or renewed the lease, so that its validity ends
// before the store can give the lease to another one.
package lease

import (
	"time"
)

const (
	// DefaultTTL is the time after which the lease of a silent holder ends.
	DefaultTTL = 10 * time.Second
	// RenewInterval is the time between the starts of two renewals.
	RenewInterval = 3 * time.Second
	// retryInterval is the pause after a call without an answer. Within the TTL it
	// leaves time for several attempts.
	retryInterval = time.Second
	// marginPercent of the TTL covers the drift between the clocks of the holder and
	// the store.
	marginPercent = 2
)

type phase int

const (
	// idle: nothing is held; the key is looked at before a lease is granted for it.
	idle phase = iota
	// free: the key did not exist.
	free
	// granted: a lease exists, the key is not attached to it yet.
	granted
	// unsure: the key may be attached to the lease.
	unsure
	// held: the key is attached to the lease.
	held
	// abandoned: the lease is of no use and should end.
	abandoned
)

type action int

const (
	actLook action = iota
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
	// resultAbsent: the key does not exist.
	resultAbsent
	// resultEnded: the store knows no such lease.
	resultEnded
	// resultLost: there was no answer; the call may have taken effect.
	resultLost
)

// state is what a holder knows. Its zero value knows of no lease.
type state struct {
	phase phase
	lease int64
	// token is the store version of the key; it grows with each new holder.
	token int64
	// until is the end of validity by the holder's own clock.
	until time.Time
	// due is the earliest start of the next call.
	due time.Time
}

// validAt reports whether the holder may act at the given time.
func (s state) validAt(now time.Time) bool { return s.phase == held && now.Before(s.until) }

// next returns the call to make at the given time. A lease that was never attached
// to the key is given up once it may have ended.
func (s state) next(now time.Time) action {
	switch s.phase {
	case free:
		return actGrant
	case granted, unsure:
		if !now.Before(s.until) {
			return actRevoke
		}
		if s.phase == unsure {
			return actReadBack
		}
		return actClaim
	case held:
		return actRenew
	case abandoned:
		return actRevoke
	default:
		return actLook
	}
}

// outcome is the result of a call with what it returned.
type outcome struct {
	result result
	lease  int64
	token  int64
}

// after returns the state after a call that started at the given time.
func (s state) after(a action, started time.Time, ttl time.Duration, o outcome) state {
	validity := started.Add(ttl - ttl*marginPercent/100)
	switch a {
	case actLook:
		return s.afterLook(started, o)
	case actGrant:
		return s.afterGrant(started, validity, o)
	case actClaim:
		return s.afterClaim(started, o)
	case actReadBack:
		return s.afterReadBack(started, o)
	case actRenew:
		return s.afterRenew(started, validity, o)
	default:
		return idleFrom(started.Add(retryInterval))
	}
}

func idleFrom(due time.Time) state { return state{phase: idle, due: due} }

func (s state) afterLook(started time.Time, o outcome) state {
	if o.result == resultAbsent {
		return state{phase: free, due: started}
	}
	return idleFrom(started.Add(RenewInterval))
}

// afterGrant: a lease whose grant was not answered holds no key and ends by itself.
func (s state) afterGrant(started, validity time.Time, o outcome) state {
	if o.result != resultYes {
		return idleFrom(started.Add(retryInterval))
	}
	return state{phase: granted, lease: o.lease, until: validity, due: started}
}

// afterClaim: a refused claim is read back too, because an earlier claim without an
// answer may have taken effect since.
func (s state) afterClaim(started time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		s.phase, s.token, s.due = held, o.token, started.Add(RenewInterval)
	case resultEnded:
		return idleFrom(started.Add(retryInterval))
	default:
		s.phase, s.due = unsure, started
	}
	return s
}

func (s state) afterReadBack(started time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		s.phase, s.token, s.due = held, o.token, started
	case resultAbsent:
		s.phase, s.due = granted, started
	case resultNo:
		s.phase, s.due = abandoned, started
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRenew: a renewal whose answer was lost counts as not renewed.
func (s state) afterRenew(started, validity time.Time, o outcome) state {
	switch o.result {
	case resultYes:
		s.until, s.due = validity, started.Add(RenewInterval)
	case resultEnded:
		return idleFrom(started)
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}
