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
	// defaultRenewInterval and defaultRetryInterval are the intervals of the holders that New returns.
	defaultRenewInterval = 3 * time.Second
	defaultRetryInterval = time.Second
	// marginPercent is the percentage of the TTL that covers the drift between the clocks
	// of the holder and the store.
	marginPercent = 2
)

// Timing holds the times of a lease.
type Timing struct {
	// TTL is the time after which a lease that is not renewed expires.
	TTL time.Duration
	// RenewInterval is the time between the starts of two renewals, and between two reads of
	// a key that another holder has.
	RenewInterval time.Duration
	// RetryInterval is the delay after a call without a response. It should allow several
	// attempts within the TTL.
	RetryInterval time.Duration
}

// validity returns when the validity ends that a call which began at started has granted.
func (t Timing) validity(started time.Time) time.Time {
	return started.Add(t.TTL - t.TTL*marginPercent/100)
}

// of returns the times of a lease whose TTL in the store is ttl, 0 for the requested one. A longer one is not used.
func (t Timing) of(ttl time.Duration) Timing {
	if ttl <= 0 || ttl >= t.TTL {
		return t
	}
	share := float64(ttl) / float64(t.TTL)
	return Timing{
		TTL: ttl, RenewInterval: time.Duration(share * float64(t.RenewInterval)), RetryInterval: time.Duration(share * float64(t.RetryInterval)),
	}
}

type phase int

const (
	// idle: there is no lease; the key is read before one is requested.
	idle phase = iota
	// available: the key did not exist, or its holder is known to be invalid.
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
	// ttl is the TTL of the lease in the store; 0 for the requested one.
	ttl time.Duration
	// replaces is the key's mod revision before the claim; 0 if the key did not exist.
	replaces int64
	// token is the key's mod revision in the store; it grows with each new holder.
	token int64
	// heldSince is when the response arrived that showed that the key is attached to the lease.
	heldSince time.Time
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
	// ttl is the TTL of a granted lease; 0 for the requested one.
	ttl time.Duration
	// replaces is the mod revision of a key that may be claimed although it exists.
	replaces int64
}

// callTime is when a call began and when its response arrived, by the holder's own clock.
type callTime struct{ started, returned time.Time }

// after returns the state after a call.
func (s state) after(a action, at callTime, t Timing, r callResult) state {
	t = t.of(s.ttl)
	switch a {
	case actCheck:
		return s.afterCheck(at.started, t, r)
	case actGrant:
		return s.afterGrant(at.started, t, r)
	case actClaim:
		return s.afterClaim(at, t, r)
	case actReadBack:
		return s.afterReadBack(at, t, r)
	case actRenew:
		return s.afterRenew(at.started, t, r)
	default:
		return idleUntil(at.started.Add(t.RetryInterval))
	}
}

func idleUntil(due time.Time) state { return state{phase: idle, due: due} }

func (s state) afterCheck(started time.Time, t Timing, r callResult) state {
	if r.status == statusAbsent {
		return state{phase: available, replaces: r.replaces, due: started}
	}
	return idleUntil(started.Add(t.RenewInterval))
}

// afterGrant discards a lease whose grant had no response: it has no key attached and
// expires by itself.
func (s state) afterGrant(started time.Time, t Timing, r callResult) state {
	if r.status != statusOK {
		return idleUntil(started.Add(t.RetryInterval))
	}
	return state{phase: granted, leaseID: r.leaseID, ttl: r.ttl, replaces: s.replaces, validUntil: t.of(r.ttl).validity(started), due: started}
}

// afterClaim also has the key read back after a rejected claim, because an earlier claim
// without a response may have taken effect since.
func (s state) afterClaim(at callTime, t Timing, r callResult) state {
	switch r.status {
	case statusOK:
		s.phase, s.token, s.heldSince, s.due = held, r.token, at.returned, at.started.Add(t.RenewInterval)
	case statusLeaseNotFound:
		return idleUntil(at.started.Add(t.RetryInterval))
	default:
		s.phase, s.due = uncertain, at.started
	}
	return s
}

func (s state) afterReadBack(at callTime, t Timing, r callResult) state {
	switch r.status {
	case statusOK:
		s.phase, s.token, s.heldSince, s.due = held, r.token, at.returned, at.started
	case statusAbsent:
		s.phase, s.replaces, s.due = granted, r.replaces, at.started
	case statusRejected:
		s.phase, s.due = abandoned, at.started
	default:
		s.due = at.started.Add(t.RetryInterval)
	}
	return s
}

// afterRenew treats a renewal whose response was lost as not renewed.
func (s state) afterRenew(started time.Time, t Timing, r callResult) state {
	switch r.status {
	case statusOK:
		s.validUntil, s.due = t.validity(started), started.Add(t.RenewInterval)
	case statusLeaseNotFound:
		return idleUntil(started)
	default:
		s.due = started.Add(t.RetryInterval)
	}
	return s
}
