package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/lease"
	"heatherloom/internal/membership"
	"heatherloom/internal/telemetry"
)

// idleInterval is the time between two checks whether to compete for the duty.
const idleInterval = 200 * time.Millisecond

// shutdownReason is the reason of a release that Release makes.
const shutdownReason = "this instance shuts down"

// Config holds the dependencies and settings of a Holder.
type Config struct {
	// Store extends all revisions by the era of the store, see lease.EraStore.
	Store lease.Store
	Duty  external.Duty
	// Instance is the own instance ID, and Started the start time of the process in Unix nanoseconds.
	Instance string
	Started  int64
	// LeaseTime is the time within which holders must not alternate: settings.Duties.Lease.
	LeaseTime time.Duration
	// Live returns the IDs of the live instances that do not drain, with or without the own one.
	Live func() []string
	// Now reads a clock that is monotonic and includes suspensions, as package clock does.
	Now func() time.Time
	Log *logrus.Entry
}

// Holder competes for a duty and holds it. It is safe for concurrent use.
type Holder struct {
	config Config
	lease  *lease.Holder
	// wake ends a wait of Run.
	wake chan struct{}

	// mu protects the fields below. It is not held during a store call.
	mu sync.Mutex
	// known is true once the entry of the duty was observed.
	known bool
	// vacantSince is when the duty was first observed as vacant; zero if it is not.
	vacantSince time.Time
	// attemptAt is the earliest next attempt to get the lease.
	attemptAt time.Time
	// callsFrom is when calls may be made again after a pause.
	callsFrom time.Time
	outcomes  outcomes
	// releaseReason is set while a release is pending. No call is permitted meanwhile.
	releaseReason string
	// left is true once Release was called.
	left bool
}

// New returns a holder that does not have the duty yet.
func New(c Config) *Holder {
	h := &Holder{config: c, wake: make(chan struct{}, 1)}
	h.lease = lease.NewFromConfig(lease.Config{
		Store: c.Store, Key: Key(c.Duty), Timing: timing(c.LeaseTime), Now: c.Now,
		Value: h.value,
		Invalid: func(e external.Entry) bool {
			era, _ := external.SplitEra(e.ModRevision)
			return vacant(e, era)
		},
	})
	return h
}

func (h *Holder) value(leaseID int64) []byte {
	raw, err := json.Marshal(Row{Holder: h.config.Instance, Started: h.config.Started, Lease: leaseID})
	if err != nil {
		panic(err) // Row has only strings and integers.
	}
	return raw
}

// Permit reports whether a call to the API may start now, with the fence that it must carry. The
// call must have the timeout CallTimeout and use a connection that is reset when it times out. It
// then ends before until, when the right to make calls ends unless it is renewed. Callers check the
// permit immediately before they write a call, because the clock may have advanced since an earlier
// check, and they make one call at a time.
func (h *Holder) Permit() (f external.Fence, until time.Time, ok bool) {
	h.mu.Lock()
	blocked, callsFrom := h.left || h.releaseReason != "", h.callsFrom
	h.mu.Unlock()
	term, held := h.lease.Term()
	// The clock is read last, so that a pause before that is detected.
	now := h.config.Now()
	if !held || blocked || now.Before(callsFrom) || !permitted(term, now, h.config.LeaseTime, h.CallTimeout()) {
		return external.Fence{}, time.Time{}, false
	}
	return external.Fence{Holder: h.config.Instance, Token: term.Token}, term.Until, true
}

// CallTimeout returns the timeout that each call to the API must have.
func (h *Holder) CallTimeout() time.Duration { return CallTimeout(h.config.LeaseTime) }

// Term returns the term of the lease for status displays; held is false without one. Only Permit
// says whether a call may be made.
func (h *Holder) Term() (t lease.Term, held bool) { return h.lease.Term() }

// Observe takes the entry of the duty's key (see Key) as read from the store in an era; ModRevision
// is 0 if the key does not exist, and not extended by the era. The entry may be outdated.
// Before the first observation the instance does not compete.
func (h *Holder) Observe(e external.Entry, era int64) {
	now := h.config.Now()
	revision, fits := external.ExtendByEra(era, e.ModRevision)
	term, held := h.lease.Term()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.wakeRun()
	h.known = true
	switch {
	case !vacant(e, era):
		h.vacantSince = time.Time{}
	case h.vacantSince.IsZero():
		h.vacantSince = now
	}
	if held && fits && revision > term.Token {
		h.releaseReason = "another instance has claimed the duty"
	}
}

// ReportOutcome takes the result of each call that was made with a permit; nil for an accepted one.
// The errors are those of external.DutyAPI.
func (h *Holder) ReportOutcome(err error) {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var v verdict
	h.outcomes, v = h.outcomes.after(err, now)
	if v.pause > 0 {
		h.callsFrom = now.Add(v.pause)
	}
	if v.release != "" {
		h.releaseReason, h.attemptAt = v.release, now.Add(standDown)
		h.wakeRun()
	}
}

// Run competes for the duty and holds it until ctx ends. It does not release it then: the caller
// does so with Release if the process can still make calls.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.Step(ctx)
		wait := idleInterval
		if due, idle := h.lease.NextStep(); !idle {
			wait = due.Sub(h.config.Now())
		}
		select {
		case <-ctx.Done():
		case <-h.wake:
		case <-time.After(wait):
		}
	}
}

// Step makes the next store call if it is due. Run calls it; tests call it to simulate time.
func (h *Holder) Step(ctx context.Context) {
	if reason := h.pendingRelease(); reason != "" {
		h.release(ctx, reason)
		return
	}
	if _, idle := h.lease.NextStep(); idle && !h.attempts() {
		return
	}
	before, had := h.lease.Term()
	h.lease.Step(ctx)
	h.logChange(before, had)
}

func (h *Holder) logChange(before lease.Term, had bool) {
	term, has := h.lease.Term()
	log := h.config.Log.WithField("duty", h.config.Duty)
	switch {
	case has && (!had || before.Token != term.Token):
		h.mu.Lock()
		h.outcomes = outcomes{}
		h.mu.Unlock()
		log.WithFields(logrus.Fields{telemetry.FieldEvent: "duty_acquired", "token": term.Token}).Info("duty acquired; calls begin after the settling time")
	case had && !has:
		log.WithFields(logrus.Fields{telemetry.FieldEvent: "duty_lost", "token": before.Token}).Warn("duty lost: its lease has ended in the store")
	}
}

// pendingRelease returns why the lease has to be given up; empty if it need not be. After Release, a
// step that had begun before may still have acquired it.
func (h *Holder) pendingRelease() (reason string) {
	_, idle := h.lease.NextStep()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left && !idle {
		return shutdownReason
	}
	return h.releaseReason
}

// release gives up the lease. Calls have not been permitted since the release became pending.
func (h *Holder) release(ctx context.Context, reason string) {
	term, held := h.lease.Term()
	h.lease.Release(ctx)
	if held {
		h.config.Log.WithFields(logrus.Fields{
			telemetry.FieldEvent: "duty_released", "duty": h.config.Duty, "token": term.Token, telemetry.FieldReason: reason,
		}).Info("duty released")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releaseReason = ""
}

// Release gives up the duty for good, for example on a drain. No call is permitted from then on,
// and the instance does not compete again. If the store does not respond, the lease expires by itself.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.left = true
	h.mu.Unlock()
	h.release(ctx, shutdownReason)
}

// attempts reports whether to compete for the duty now, and reserves the attempt.
func (h *Holder) attempts() bool {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left || !h.known || h.vacantSince.IsZero() || now.Before(h.attemptAt) {
		return false
	}
	rank := membership.Rank(string(h.config.Duty), h.config.Instance, h.config.Live())
	if !competes(rank, now.Sub(h.vacantSince)) {
		return false
	}
	h.attemptAt = now.Add(attemptDelay(rank))
	return true
}

func (h *Holder) wakeRun() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
