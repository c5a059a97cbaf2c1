// Package storefeed follows the platform's key-value service: the operators'
// configuration, the rows of upstreams and entry instances, evacuations and rollout
// orders. It hands each change to control, and lists this instance in the service.
//
// It reads changes with short calls of its own pace. A call that goes silent therefore
// delays the next one by no more than its time limit, and the age of what is known is
// that of the last call that was answered.
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
	// pollInterval is the time between two reads of changes. Each is a call that the
	// platform counts; upstreams write their rows every second, so that a read that waits
	// would return at once. With one lost call, 1.5 s, it stays within the 3 s that a
	// change may take and the 4 s for which a configuration counts as confirmed.
	pollInterval = 1100 * time.Millisecond
	// largePollInterval is that of each instance of a large fleet, whose calls add up. With
	// one lost call, 3.5 s, it stays within the 4 s for which a configuration counts as
	// confirmed and the 5 s in which a large fleet has to follow a change.
	largePollInterval = 2 * time.Second
	// pollWait is how long a read waits for a first change if there is none.
	pollWait = 300 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 300 * time.Millisecond
	// lapseGrace is how long rows that vanished while the service was away still count
	// after its return. Upstreams that live write their rows again within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// outageSlack is the time without an answer beyond the interval of reads after which
	// missing rows may have lapsed: the rows of upstreams last for three of their reports,
	// which come about every second.
	outageSlack = 400 * time.Millisecond
)

// Feed follows the service for one instance.
type Feed struct {
	Store     external.ChangeLog
	Documents external.Documents
	Loop      *control.Loop
	// Self is the row by which this instance lists itself.
	Self external.Instance
	Log  *logrus.Entry
	view view
	// answered is when the last call that was answered began.
	answered time.Time
	// away is true while the service does not answer.
	away bool
}

// Run follows the service until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.view = newView(f.Documents, f.Log)
	go f.list(ctx)
	at := int64(0)
	for ctx.Err() == nil {
		started := clock.Now()
		next, err := f.step(ctx, at, started)
		if err != nil {
			f.failed(ctx, err)
			if errors.Is(err, external.ErrCompacted) {
				at = 0
				continue
			}
			clock.Sleep(ctx, retryInterval)
			continue
		}
		at = next
		f.succeeded(ctx, started)
		clock.Sleep(ctx, f.interval()-clock.Now().Sub(started))
	}
}

// step reads everything or what changed since at, and returns the revision to go on from.
func (f *Feed) step(ctx context.Context, at int64, started time.Time) (int64, error) {
	if at == 0 {
		reading, err := f.Store.Read(ctx, "")
		if err != nil {
			return 0, err
		}
		f.view.replace(reading.Entries, started, f.lapsedUntil(started))
		return reading.At, nil
	}
	changes, err := f.Store.Changes(ctx, "", at, pollWait)
	if err != nil {
		return 0, err
	}
	for _, e := range changes.Events {
		f.view.change(e, started, f.lapsedUntil(started))
	}
	return changes.At, nil
}

// interval returns the time between two reads of changes.
func (f *Feed) interval() time.Duration {
	if f.view.entryInstances() > membership.SmallFleet {
		return largePollInterval
	}
	return pollInterval
}

// lapsedUntil returns until when rows that are gone still count: for a while after the
// service was away, and not at all otherwise.
func (f *Feed) lapsedUntil(now time.Time) time.Time {
	if f.away || (!f.answered.IsZero() && now.Sub(f.answered) > f.interval()+outageSlack) {
		f.view.returned = now
	}
	return f.view.returned.Add(lapseGrace)
}

func (f *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || f.away {
		return
	}
	if errors.Is(err, external.ErrCompacted) {
		f.Log.WithField(telemetry.FieldEvent, "store_compacted").Info("history of the key-value service is gone, everything is read again")
		return
	}
	f.away = true
	f.Log.WithField(telemetry.FieldEvent, "store_lost").WithError(err).Warn("key-value service does not answer")
}

// succeeded hands what changed to control, and the age of the configuration.
func (f *Feed) succeeded(ctx context.Context, started time.Time) {
	if f.away {
		f.away = false
		f.Log.WithFields(logrus.Fields{
			telemetry.FieldEvent: "store_regained",
			telemetry.FieldAge:   started.Sub(f.answered).Milliseconds(),
		}).Info("key-value service answers again")
	}
	f.answered = started
	f.view.expire(started)
	changed := f.view.takeChanges()
	if changed.config {
		f.postConfig(ctx, f.view.config, started)
	} else if f.view.config != nil {
		f.Loop.Post(ctx, control.ConfirmedEvent{Revision: f.view.config.Revision, At: started})
	}
	if changed.instances {
		f.Loop.Post(ctx, control.InstancesEvent{Instances: f.view.instances()})
	}
	if changed.evacuated {
		f.Loop.Post(ctx, control.EvacuationEvent{Domains: f.view.evacuatedDomains()})
	}
	if changed.orders {
		f.Loop.Post(ctx, control.OrdersEvent{Orders: f.view.orders()})
	}
}

func (f *Feed) postConfig(ctx context.Context, config *opconfig.Config, started time.Time) {
	f.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "config_read",
		telemetry.FieldRevision: config.Revision,
	}).Info("new configuration read from the key-value service")
	f.Loop.Post(ctx, control.ConfigEvent{Config: config, Confirmed: started})
}

// list writes the row of this instance once. A lost answer leaves the row as it should
// be or absent, so that writing it again does no harm.
func (f *Feed) list(ctx context.Context) {
	entry, err := f.Documents.EncodeInstance(f.Self)
	if err != nil {
		f.Log.WithField(telemetry.FieldEvent, "instance_unlisted").WithError(err).Error("row of this instance cannot be encoded")
		return
	}
	for failed := false; ctx.Err() == nil; failed = true {
		_, _, err := f.Store.Commit(ctx, nil, []external.Write{{Key: entry.Key, Value: entry.Value}})
		if err == nil {
			f.Log.WithField(telemetry.FieldEvent, "instance_listed").Info("row of this instance is written")
			return
		}
		if !failed && ctx.Err() == nil {
			f.Log.WithField(telemetry.FieldEvent, "instance_unlisted").WithError(err).Warn("row of this instance cannot be written, it is tried again")
		}
		clock.Sleep(ctx, retryInterval)
	}
}
