package control

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"heatherloom/internal/invariant"
	"heatherloom/internal/membership"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"

	"github.com/sirupsen/logrus"
)

// Observer receives the changes of each tick. Its fields may be nil.
type Observer struct {
	Timeline *timeline.Recorder
	// Tick is called with the duration of each tick.
	Tick func(time.Duration)
	// Log receives a line for each change in the known state of a peer or upstream.
	Log *logrus.Entry
}

// SetObserver sets the observer. It must be called before Run.
func (l *Loop) SetObserver(o Observer) { l.observer = o }

// observe reports the differences between two successive snapshots.
func (l *Loop) observe(old, new *routing.Snapshot, took time.Duration) {
	if l.observer.Tick != nil {
		l.observer.Tick(took)
	}
	if new.Config.Revision < old.Config.Revision {
		invariant.ReportViolation(invariant.ConfigMonotonic, "revision %d replaced revision %d", new.Config.Revision, old.Config.Revision)
	}
	if new.Config.Revision != old.Config.Revision {
		l.observer.Timeline.Record(timeline.Event{Kind: timeline.KindConfigInForce, Detail: fmt.Sprintf("revision %d", new.Config.Revision)})
	}
	l.observeQuarantine(old, new)
	l.observeServiceSplits(old, new)
	isLarge := max(len(old.Peers), len(new.Peers), len(new.ListedPeers)) > membership.MaxFullMeshMembers
	diffSorted(old.Peers, new.Peers, func(p *routing.Peer) string { return p.ID }, func(old, new *routing.Peer) {
		// Of the other failure domains of a large fleet an instance knows those members that messages named lately.
		if old != nil && new != nil || !isLarge || cmp.Or(new, old).FailureDomain == l.tables.identity.FailureDomain {
			l.observePeer(old, new)
		}
	})
	diffSorted(old.ModelRollouts, new.ModelRollouts, func(r *rollout.Rollout) string { return r.ID() }, l.observeRollout)
	diffSorted(old.RolloutStops, new.RolloutStops, func(s *rollout.Stop) string { return s.RolloutID + " " + s.Instance }, l.observeStop)
	diffSorted(old.Upstreams, new.Upstreams, func(u *routing.Upstream) string { return u.ID }, l.observeUpstream)
}

// minClockStep is the change of the wall clock that is reported; the slewing of a synchronized clock is less.
const minClockStep = 200 * time.Millisecond

// observeWallClock reports a step of the wall clock, given how far it is ahead of package clock.
func (l *Loop) observeWallClock(offset time.Duration) {
	step := offset - l.wallOffset
	if step.Abs() < minClockStep {
		return
	}
	l.wallOffset = offset
	if l.observer.Log != nil {
		l.observer.Log.WithFields(logrus.Fields{"event": "clock_step", "step_ms": step.Milliseconds()}).Warn("the wall clock was set")
	}
}

// observeServiceSplits reports the changes of the traffic share that this instance sends to the
// candidate of a service rollout.
func (l *Loop) observeServiceSplits(old, new *routing.Snapshot) {
	for service, split := range new.ServiceSplits {
		if old.ServiceSplits[service] != split {
			l.log("service_share", logrus.Fields{"service": service, "version": split.Candidate, "share": split.Share})
		}
	}
	for service, split := range old.ServiceSplits {
		if _, known := new.ServiceSplits[service]; !known {
			l.log("service_share", logrus.Fields{"service": service, "version": split.Candidate, "share": "unlimited"})
		}
	}
}

// observeQuarantine reports the requests whose quarantine began or ended.
func (l *Loop) observeQuarantine(old, new *routing.Snapshot) {
	for f := range new.Quarantined {
		if _, known := old.Quarantined[f]; !known {
			l.recordQuarantine(f, "began", "crashes")
		}
	}
	for f, until := range old.Quarantined {
		if _, still := new.Quarantined[f]; still {
			continue
		}
		reason := "contradicted"
		if !new.Published.Before(until) {
			reason = "expired"
		}
		l.recordQuarantine(f, "ended", reason)
	}
}

// recordQuarantine records that a quarantine began or ended. One is contradicted if a completion or the
// crashes under other requests and parts explain its crashes.
func (l *Loop) recordQuarantine(f quarantine.Fingerprint, change, reason string) {
	upstreams := strings.Join(l.tables.crashes.Upstreams(f), " ")
	l.observer.Timeline.Record(timeline.Event{Kind: timeline.KindQuarantine, Detail: strings.TrimSpace(f.String() + " " + change + " " + upstreams)})
	if l.observer.Log != nil {
		l.observer.Log.WithFields(logrus.Fields{
			"event": "quarantine", "fingerprint": f, "change": change, "reason": reason, "upstreams": upstreams,
		}).Warn("requests with this fingerprint are rejected while they are in quarantine")
	}
}

// diffSorted calls fn once for each id in either of two lists sorted by id. The argument
// for a list that lacks the id is nil. Lists that share their memory have no differences.
func diffSorted[T any](old, new []T, id func(*T) string, fn func(old, new *T)) {
	if routing.SharesElements(old, new) {
		return
	}
	for len(old) > 0 || len(new) > 0 {
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(new) == 0:
			order = -1
		default:
			order = cmp.Compare(id(&old[0]), id(&new[0]))
		}
		var before, after *T
		if order <= 0 {
			before, old = &old[0], old[1:]
		}
		if order >= 0 {
			after, new = &new[0], new[1:]
		}
		fn(before, after)
	}
}

func (l *Loop) observePeer(old, new *routing.Peer) {
	record := func(kind timeline.Kind, p *routing.Peer, detail string) {
		l.observer.Timeline.Record(timeline.Event{Kind: kind, Detail: detail})
		l.log("peer", logrus.Fields{"peer": p.ID, "change": string(kind), "silent_ms": p.SilentFor(l.Snapshot().Published).Milliseconds()})
	}
	switch {
	case old == nil:
		record(timeline.KindMemberUp, new, new.ID+" in region "+new.Region)
	case new == nil:
		record(timeline.KindMemberDown, old, old.ID+" in region "+old.Region)
	case new.Draining && !old.Draining:
		record(timeline.KindMemberDraining, new, new.ID)
	}
}

// log writes a log line for a state change if the observer has a log. The event and the
// fields tell what changed and how.
func (l *Loop) log(event string, fields logrus.Fields) {
	if l.observer.Log != nil {
		fields["event"] = event
		l.observer.Log.WithFields(fields).Info("state of a peer, an upstream or a rollout changed")
	}
}

func (l *Loop) observeUpstream(old, new *routing.Upstream) {
	record := func(kind timeline.Kind, id, detail string) {
		l.observer.Timeline.Record(timeline.Event{Kind: kind, Upstream: id, Detail: detail})
		l.log("upstream", logrus.Fields{"upstream": id, "change": string(kind), "reason": detail})
	}
	switch {
	case old == nil && new.Cold:
		record(timeline.KindUpstreamUp, new.ID, fmt.Sprintf("listed as cold, limit %d", new.ColdRateLimit))
	case old == nil:
		record(timeline.KindUpstreamUp, new.ID, "listed")
	case new == nil:
		record(timeline.KindUpstreamDown, old.ID, "no longer listed")
	case new.Down && !old.Down:
		record(timeline.KindUpstreamDown, new.ID, "repeated failures")
	case !new.Down && old.Down:
		record(timeline.KindUpstreamUp, new.ID, "probe allowed")
	case new.Draining && !old.Draining:
		record(timeline.KindUpstreamLeaving, new.ID, leavingSource(new, l.Snapshot().Published))
	case new.GoneAt != 0 && old.GoneAt == 0:
		record(timeline.KindUpstreamLeaving, new.ID, leavingSource(new, l.Snapshot().Published))
	case !new.Draining && old.Draining:
		record(timeline.KindUpstreamUp, new.ID, "does not leave any more")
	case new.Evacuated != old.Evacuated:
		l.log("upstream", logrus.Fields{"upstream": new.ID, "change": "evacuated", "reason": new.Evacuated})
	case new.RateLimited != old.RateLimited:
		l.log("upstream", logrus.Fields{"upstream": new.ID, "change": "rate", "reason": new.RateLimited, "limit": new.RequestRate})
	case new.Brittle != old.Brittle:
		l.log("upstream", logrus.Fields{"upstream": new.ID, "change": "brittle", "reason": new.Brittle, "limit": new.Places})
	case new.Cold != old.Cold:
		l.log("upstream", logrus.Fields{"upstream": new.ID, "change": "cold", "reason": new.Cold, "limit": new.ColdRateLimit})
	}
}

// leavingSource tells how it was learned that an upstream leaves.
func leavingSource(u *routing.Upstream, now time.Time) string {
	switch {
	case u.GoneAt != 0:
		return fmt.Sprintf("listed as ending in %s", time.Duration(u.GoneAt-now.UnixNano()).Round(time.Millisecond))
	case u.ListedDraining:
		return "listed as leaving"
	default:
		return "its responses say so"
	}
}

func (l *Loop) observeRollout(old, new *rollout.Rollout) {
	switch {
	case new == nil:
		l.recordRollout(*old, "no longer known")
	case old == nil || old.State != new.State || old.Step != new.Step:
		l.recordRollout(*new, fmt.Sprintf("%s %d%% %s", new.State, new.Percent(), new.Reason))
	}
}

func (l *Loop) recordRollout(r rollout.Rollout, detail string) {
	l.observer.Timeline.Record(timeline.Event{Kind: timeline.KindRollout, Version: r.Version, Detail: strings.TrimSpace(r.ID() + " " + detail)})
}

func (l *Loop) observeStop(old, new *rollout.Stop) {
	if old == nil {
		l.observer.Timeline.Record(timeline.Event{Kind: timeline.KindLocalStop, Detail: new.Instance + " stopped sending to " + new.RolloutID + ": " + new.Reason})
	}
}
