// Package lease acquires and renews a lease of the key-value service for a role that
// must have at most one holder, such as the leader of a failure domain.
//
// The decisions are pure functions of the state and the time; Holder makes the store
// calls. A holder is valid for the TTL minus a margin, measured from the start of the
// last call known to have granted or renewed the lease, so that its validity ends before
// the store can grant the lease to another holder.
package lease

import (
	"time"
)

const (
	// DefaultTTL is the time after which a lease that is not renewed expires.
	DefaultTTL = 10 * time.Second
	// RenewInterval is the time between the starts of two renewals.
	RenewInterval = 3 * time.Second
	// retryInterval is the delay after a call without a response. It allows several
	// attempts within the TTL.
	retryInterval = time.Second
	// marginPercent is the percentage of the TTL that covers the drift between the clocks
	// of the holder and the store.
	marginPercent = 2
)

type phase int

const (
	// idle: there is no lease; the key is read before one is requested.
	idle phase = iota
	// available: the key did not exist.
	available
	// granted: the store granted a lease, but the key is not attached to it yet, so the role
	// is not held.
	granted
	// uncertain: the key may be attached to the lease.
	uncertain
	// held: the key is attached to the lease.
	held
	// abandoned: the lease is no longer needed and should be revoked.
	abandoned
)

type action int

const (
	actCheck action = iota
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
	// statusRejected: the call had no effect, or the key belongs to another holder.
	statusRejected
	// statusAbsent: the key does not exist.
	statusAbsent
	// statusLeaseNotFound: the lease does not exist in the store.
	statusLeaseNotFound
	// statusUnknown: there was no response; the call may have taken effect.
	statusUnknown
)

// state is the state of a holder. The zero value has no lease.
type state struct {
	phase phase
	// leaseID is the id of the lease in the store; 0 if there is none.
	leaseID int64
	// token is the key's mod revision in the store; it grows with each new holder.
	token int64
	// validUntil is when validity ends, by the holder's own clock.
	validUntil time.Time
	// due is the earliest start of the next call.
	due time.Time
}

// validAt reports whether the holder may act at the given time.
func (s state) validAt(now time.Time) bool { return s.phase == held && now.Before(s.validUntil) }

// next returns the call to make at the given time. A lease that was never attached to the
// key is revoked once it may have expired.
func (s state) next(now time.Time) action {
	switch s.phase {
	case available:
		return actGrant
	case granted, uncertain:
		if !now.Before(s.validUntil) {
			return actRevoke
		}
		if s.phase == uncertain {
			return actReadBack
		}
		return actClaim
	case held:
		return actRenew
	case abandoned:
		return actRevoke
	default:
		return actCheck
	}
}

// callResult is the status of a store call with the values that it returned.
type callResult struct {
	status  callStatus
	leaseID int64
	token   int64
}

// after returns the state after a call that began at started.
func (s state) after(a action, started time.Time, ttl time.Duration, r callResult) state {
	validity := started.Add(ttl - ttl*marginPercent/100)
	switch a {
	case actCheck:
		return s.afterCheck(started, r)
	case actGrant:
		return s.afterGrant(started, validity, r)
	case actClaim:
		return s.afterClaim(started, r)
	case actReadBack:
		return s.afterReadBack(started, r)
	case actRenew:
		return s.afterRenew(started, validity, r)
	default:
		return idleUntil(started.Add(retryInterval))
	}
}

func idleUntil(due time.Time) state { return state{phase: idle, due: due} }

func (s state) afterCheck(started time.Time, r callResult) state {
	if r.status == statusAbsent {
		return state{phase: available, due: started}
	}
	return idleUntil(started.Add(RenewInterval))
}

// afterGrant discards a lease whose grant had no response: it has no key attached and
// expires by itself.
func (s state) afterGrant(started, validity time.Time, r callResult) state {
	if r.status != statusOK {
		return idleUntil(started.Add(retryInterval))
	}
	return state{phase: granted, leaseID: r.leaseID, validUntil: validity, due: started}
}

// afterClaim also has the key read back after a rejected claim, because an earlier claim
// without a response may have taken effect since.
func (s state) afterClaim(started time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		s.phase, s.token, s.due = held, r.token, started.Add(RenewInterval)
	case statusLeaseNotFound:
		return idleUntil(started.Add(retryInterval))
	default:
		s.phase, s.due = uncertain, started
	}
	return s
}

func (s state) afterReadBack(started time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		s.phase, s.token, s.due = held, r.token, started
	case statusAbsent:
		s.phase, s.due = granted, started
	case statusRejected:
		s.phase, s.due = abandoned, started
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}

// afterRenew treats a renewal whose response was lost as not renewed.
func (s state) afterRenew(started, validity time.Time, r callResult) state {
	switch r.status {
	case statusOK:
		s.validUntil, s.due = validity, started.Add(RenewInterval)
	case statusLeaseNotFound:
		return idleUntil(started)
	default:
		s.due = started.Add(retryInterval)
	}
	return s
}
