// Package storefeed follows the platform's key-value service, here called the store: the
// operators' configuration, the rows of upstreams and entry instances, evacuations, rollouts
// of routed services, and quarantined requests. It posts each change to control, registers
// this instance by writing its row to the store, and writes quarantines there.
//
// It polls for changes with short calls instead of keeping a watch open. A call without a
// response therefore delays the next one by no more than its timeout, and the age of the
// known state is the time since the last call that succeeded.
package storefeed

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/telemetry"
)

const (
	// pollInterval is the time between two reads of changes. The platform counts the calls,
	// and long polling would not save any, because upstreams write their rows every second.
	// Together with one lost call, 1.5 s, the interval stays within the 3 s that a change
	// may take and the 4 s for which a configuration counts as confirmed.
	pollInterval = 1100 * time.Millisecond
	// largePollInterval is the poll interval in a large fleet, where the calls of the
	// instances add up. With one lost call, 3.5 s, it stays within the 4 s for which a
	// configuration counts as confirmed and the 5 s in which a large fleet must apply a
	// change.
	largePollInterval = 2 * time.Second
	// pollWait is how long a read waits for a change if there is none yet.
	pollWait = 300 * time.Millisecond
	// retryInterval is the delay after a failed call.
	retryInterval = 300 * time.Millisecond
	// expiryGrace is how long rows that disappeared during an outage of the store are kept
	// after it has recovered. Live upstreams write their rows again within 2 s.
	expiryGrace = 2200 * time.Millisecond
	// outageSlack bounds the delay of reads: if a successful read starts later than the poll
	// interval plus outageSlack after the previous one, the gap counts as an outage, and rows
	// missing after it may merely have expired. The row of an upstream expires after three
	// report intervals of about 1 s.
	outageSlack = 400 * time.Millisecond
)

// Feed follows the store for one instance and registers the instance in it.
type Feed struct {
	Store     external.PollingStore
	Documents external.DocumentCodec
	Loop      *control.Loop
	// Self is the row with which this instance registers itself.
	Self external.Instance
	Log  *logrus.Entry
	// Readers are those of the failure domain; nil to read the store always directly. Changes holds what this
	// instance reads directly, for others; nil to keep nothing.
	Readers Readers
	Changes *ChangeLog
	// Observer takes the entries of keys that the documents leave out; nil for none.
	Observer  *Observer
	following following
	view      view
	// lastSuccess is when the last successful call began.
	lastSuccess time.Time
	// era is that of the last successful call.
	era int64
	// unavailable is true while calls to the store fail.
	unavailable bool
}

// Run registers this instance and follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.view = newView(f.Documents, f.Log)
	f.following.retryAt = map[string]time.Time{}
	if f.Changes == nil {
		f.Changes = &ChangeLog{}
	}
	go f.keepQuarantines(ctx)
	revision := int64(0)
	for ctx.Err() == nil {
		started := clock.Now()
		if next, began, ok := f.follow(ctx, revision); ok {
			revision = next
			f.recordSuccess(ctx, began)
			clock.Sleep(ctx, max(f.following.dueAt.Sub(clock.Now()), minFollowInterval-clock.Now().Sub(started)))
			continue
		}
		started = clock.Now()
		next, err := f.poll(ctx, revision, started)
		if err != nil {
			f.Changes.fail()
			f.recordFailure(ctx, err)
			if errors.Is(err, external.ErrCompacted) {
				revision = 0
				continue
			}
			clock.Sleep(ctx, retryInterval)
			continue
		}
		revision = next
		f.recordSuccess(ctx, started)
		clock.Sleep(ctx, f.interval()-clock.Now().Sub(started))
	}
}

// poll reads the changes since revision, or everything if it is 0. It returns the revision
// from which to read next.
func (f *Feed) poll(ctx context.Context, revision int64, started time.Time) (int64, error) {
	if revision == 0 {
		return f.readAll(ctx, started)
	}
	changes, err := f.Store.Changes(ctx, "", revision, pollWait)
	if err != nil {
		return 0, err
	}
	if changes.Era != f.era {
		return f.readAll(ctx, started)
	}
	f.applyChanges(changes, started)
	f.Changes.record(revision, changes, started)
	return changes.Revision, nil
}

// applyChanges applies the changes of a call that began at the given time.
func (f *Feed) applyChanges(changes external.Changes, began time.Time) {
	f.view.received = clock.Now()
	for _, e := range changes.Events {
		f.view.apply(e, began, f.keepExpiredUntil(began))
		f.Observer.observe(e, changes.Era)
	}
}

// readAll reads everything. After the first read, and if the store was restored from a copy, it
// registers this instance.
func (f *Feed) readAll(ctx context.Context, started time.Time) (int64, error) {
	reading, err := f.Store.Read(ctx, "")
	if err != nil {
		return 0, err
	}
	f.Changes.restart(reading.Revision, reading.Era, started)
	f.view.received = clock.Now()
	first, restored := f.lastSuccess.IsZero(), reading.Era != f.era
	f.era = reading.Era
	switch {
	case restored && !first:
		retained := f.view.restore(reading.Entries, started)
		f.Log.WithFields(logrus.Fields{
			telemetry.FieldEvent:    "store_restored",
			telemetry.FieldRevision: reading.Revision,
			"kept_rows":             retained,
		}).Warn("the store was restored from a copy; rows that were read before stay in use until they are written again")
	default:
		f.view.replace(reading.Entries, started, f.keepExpiredUntil(started))
	}
	f.Observer.observeAll(reading.Entries, reading.Era)
	if first || restored {
		go f.register(ctx)
	}
	return reading.Revision, nil
}

// interval returns the time between two reads of changes.
func (f *Feed) interval() time.Duration {
	if f.Readers != nil && f.Readers.IsReader() {
		return pollInterval
	}
	if f.view.entryInstances() > membership.MaxFullMeshMembers {
		return largePollInterval
	}
	return pollInterval
}

// keepExpiredUntil returns until when rows that disappeared are kept: for expiryGrace after
// an outage of the store, and not at all otherwise.
func (f *Feed) keepExpiredUntil(now time.Time) time.Time {
	if f.unavailable || (!f.lastSuccess.IsZero() && now.Sub(f.lastSuccess) > f.interval()+outageSlack) {
		f.view.recovered = now
	}
	return f.view.recovered.Add(expiryGrace)
}

func (f *Feed) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || f.unavailable {
		return
	}
	if errors.Is(err, external.ErrCompacted) {
		f.Log.WithField(telemetry.FieldEvent, "store_compacted").Info("history of the store was compacted, reading everything again")
		return
	}
	f.unavailable = true
	f.Log.WithField(telemetry.FieldEvent, "store_lost").WithError(err).Warn("store unavailable; the last configuration stays in use until it is too old to check API keys; retrying")
}

// recordSuccess posts what changed to control, and confirms the configuration.
func (f *Feed) recordSuccess(ctx context.Context, started time.Time) {
	if f.unavailable {
		f.unavailable = false
		f.Log.WithFields(logrus.Fields{
			telemetry.FieldEvent: "store_regained",
			telemetry.FieldAge:   started.Sub(f.lastSuccess).Milliseconds(),
		}).Info("store available again")
	}
	f.lastSuccess = started
	f.view.expire(started)
	changed := f.view.takeChanges()
	if changed.quarantines {
		// Before the configuration, with which the instance starts to serve.
		f.Loop.Post(ctx, control.StoredQuarantinesEvent{Quarantines: f.view.quarantines()})
	}
	confirmed := f.view.configConfirmed(started)
	if changed.config {
		confirmedAt := started
		if !confirmed {
			confirmedAt = time.Time{}
		}
		f.postConfig(ctx, f.view.config, confirmedAt)
	} else if f.view.config != nil && confirmed {
		f.Loop.Post(ctx, control.ConfigConfirmedEvent{Revision: f.view.config.Revision, At: started})
	}
	if changed.instances {
		f.Loop.Post(ctx, control.InstancesEvent{Instances: f.view.instances()})
	}
	if changed.evacuated {
		f.Loop.Post(ctx, control.EvacuationEvent{Domains: f.view.evacuatedDomains()})
	}
	if changed.serviceRollouts || changed.instances {
		f.Loop.Post(ctx, control.ServiceRolloutsEvent{Rollouts: f.view.serviceRollouts()})
	}
}

// postConfig posts a configuration, and when it was the latest one; zero if unknown.
func (f *Feed) postConfig(ctx context.Context, config *opconfig.Config, confirmedAt time.Time) {
	f.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "config_read",
		telemetry.FieldRevision: config.Revision,
		"confirmed":             !confirmedAt.IsZero(),
	}).Info("read new configuration from the store")
	f.Loop.Post(ctx, control.ConfigEvent{Config: config, ConfirmedAt: confirmedAt})
}

// register writes the row of this instance, retrying until it succeeds. After a lost
// response the row is either correct or absent, so that writing it again is safe.
func (f *Feed) register(ctx context.Context) {
	entry, err := f.Documents.EncodeInstance(f.Self)
	if err != nil {
		f.Log.WithField(telemetry.FieldEvent, "instance_unlisted").WithError(err).Error("encoding the row of this instance failed")
		return
	}
	for failed := false; ctx.Err() == nil; failed = true {
		_, _, err := f.Store.Commit(ctx, nil, []external.Write{{Key: entry.Key, Value: entry.Value}})
		if err == nil {
			f.Log.WithField(telemetry.FieldEvent, "instance_listed").Info("registered this instance in the store")
			return
		}
		if !failed && ctx.Err() == nil {
			f.Log.WithField(telemetry.FieldEvent, "instance_unlisted").WithError(err).Warn("writing the row of this instance failed, retrying")
		}
		clock.Sleep(ctx, retryInterval)
	}
}
