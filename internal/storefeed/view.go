package storefeed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/rollout"
	"heatherloom/internal/telemetry"
)

// row is the decoded value of one key.
type row struct {
	document external.Document
	// modRevision is the store revision of the last write to the key.
	modRevision int64
	// seen is when the call began that first read the value of that revision, and received when
	// its response arrived.
	seen, received time.Time
	// keepUntil is when a row that disappeared is removed; zero while it exists.
	keepUntil time.Time
	// hash identifies the value.
	hash uint64
	// retained is true if a restored store lacks the value, and copied the older value that it has
	// instead; modRevision is that of the latter.
	retained bool
	copied   *external.Entry
	// decided is the final state of the rollout that the row orders; empty if there is none.
	decided rollout.State
}

// changedParts says which parts of a view changed.
type changedParts struct {
	config, instances, evacuated, serviceRollouts, quarantines bool
}

// view holds the decoded rows of the store. The modRevision of a row that is present never
// decreases, so that a delayed or stale read does not overwrite a newer one, until the store is
// restored from a copy.
type view struct {
	documents external.DocumentCodec
	log       *logrus.Entry
	rows      map[string]row
	config    *opconfig.Config
	// configWritten is when a value of the configuration was last read that was new to this instance.
	configWritten time.Time
	// replaces holds the ids of the service rollouts for which an upstream of another version
	// was listed, in any region.
	replaces map[string]bool
	// gone holds the rows of upstreams that were removed, by key.
	gone map[string]goneRow
	// received is when the response that is being applied arrived; zero means with the call.
	received time.Time
	// restoredAt is when the store was last known to be restored from a copy; zero if it was not.
	restoredAt time.Time
	// recovered is when the store last became available after an outage.
	recovered time.Time
	changed   changedParts
}

func newView(documents external.DocumentCodec, log *logrus.Entry) view {
	return view{documents: documents, log: log, rows: map[string]row{}, replaces: map[string]bool{}, gone: map[string]goneRow{}}
}

// replace applies a full read. Keys that it does not contain are removed.
func (v *view) replace(entries []external.Entry, now, keepUntil time.Time) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		v.put(e, now)
	}
	for key := range v.rows {
		if !present[key] {
			v.remove(key, now, keepUntil)
		}
	}
}

// apply applies one event.
func (v *view) apply(e external.WatchEvent, now, keepUntil time.Time) {
	if !e.Deleted {
		v.put(e.Entry, now)
		return
	}
	if old, ok := v.rows[e.Entry.Key]; ok && e.Entry.ModRevision > old.modRevision {
		v.remove(e.Entry.Key, now, keepUntil)
	}
}

// put stores the decoded value of a key. If decoding fails, the row is replaced by what the
// codec returned, usually an empty document, so that the previous value does not stay in use.
// An undecodable configuration is the exception: v.config keeps the previous one.
func (v *view) put(e external.Entry, now time.Time) {
	old, known := v.rows[e.Key]
	if known && (e.ModRevision < old.modRevision || (e.ModRevision == old.modRevision && (old.retained || old.keepUntil.IsZero()))) {
		return
	}
	if gone, ok := v.gone[e.Key]; ok && e.ModRevision <= gone.modRevision {
		return
	}
	delete(v.gone, e.Key)
	document, err := v.documents.Decode(e)
	if err != nil {
		v.log.WithField(telemetry.FieldEvent, "row_unreadable").WithError(err).Warn("cannot decode a value of the store; its row counts as absent, except that the last configuration stays in use")
	}
	v.markChanged(old.document)
	v.markChanged(document)
	next := row{document: document, modRevision: e.ModRevision, seen: now, received: now, hash: hashValue(e.Value)}
	if v.received.After(now) {
		next.received = v.received
	}
	if known && v.rewritten(old, next.hash, now) {
		next.seen, next.decided = old.seen, old.decided
	}
	v.rows[e.Key] = next
	if document.Config != nil {
		v.configWritten = next.received
	}
	if document.Config != nil && (v.config == nil || document.Config.Revision > v.config.Revision) {
		v.config = document.Config
		v.changed.config = true
	}
}

// remove removes a row, or keeps the row of an upstream until keepUntil: the row may have
// expired because the upstream could not reach the store either.
func (v *view) remove(key string, now, keepUntil time.Time) {
	old := v.rows[key]
	if old.retained && old.modRevision == 0 {
		return
	}
	upstream := old.document.Instance
	if upstream != nil && upstream.Role != external.RoleEntry && now.Before(keepUntil) {
		if old.keepUntil.IsZero() {
			old.keepUntil = keepUntil
			v.rows[key] = old
		}
		return
	}
	v.drop(key, old, now)
}

// drop removes a row and remembers it if it is that of an upstream.
func (v *view) drop(key string, old row, now time.Time) {
	delete(v.rows, key)
	v.markChanged(old.document)
	if upstream := old.document.Instance; upstream != nil && upstream.Role != external.RoleEntry {
		v.gone[key] = goneRow{at: now}
	}
}

// expire removes the rows whose retention has ended without their being written again.
func (v *view) expire(now time.Time) {
	for key, r := range v.rows {
		expired := !r.keepUntil.IsZero() && !now.Before(r.keepUntil)
		switch {
		case expired && r.retained:
			v.expireRetained(key, r, now)
		case expired:
			v.drop(key, r, now)
		case r.retained:
			v.expireQuarantine(key, r, now)
		}
	}
	maps.DeleteFunc(v.gone, func(_ string, g goneRow) bool { return now.Sub(g.at) >= goneRetention })
}

func (v *view) markChanged(d external.Document) {
	v.changed.instances = v.changed.instances || d.Instance != nil
	v.changed.evacuated = v.changed.evacuated || d.EvacuatedDomain != ""
	v.changed.quarantines = v.changed.quarantines || d.Quarantined != nil
	v.changed.serviceRollouts = v.changed.serviceRollouts || d.Rollout != nil || d.RolloutState != nil
}

// takeChanges returns what changed since the last call.
func (v *view) takeChanges() changedParts {
	changed := v.changed
	v.changed = changedParts{}
	return changed
}

func (v *view) instances() []external.Instance {
	var list []external.Instance
	for _, key := range slices.Sorted(maps.Keys(v.rows)) {
		r := v.rows[key]
		if r.document.Instance == nil {
			continue
		}
		instance := *r.document.Instance
		instance.ListedAt = r.received
		list = append(list, instance)
	}
	return list
}

// entryInstances returns the number of registered entry instances.
func (v *view) entryInstances() int {
	n := 0
	for _, r := range v.rows {
		if i := r.document.Instance; i != nil && i.Role == external.RoleEntry {
			n++
		}
	}
	return n
}

func (v *view) evacuatedDomains() map[string]struct{} {
	domains := map[string]struct{}{}
	for _, r := range v.rows {
		if r.document.EvacuatedDomain != "" {
			domains[r.document.EvacuatedDomain] = struct{}{}
		}
	}
	return domains
}

func (v *view) quarantines() map[quarantine.Fingerprint]quarantine.Stored {
	stored := map[quarantine.Fingerprint]quarantine.Stored{}
	for _, r := range v.rows {
		if r.document.Quarantined != nil {
			stored[*r.document.Quarantined] = quarantine.Stored{Until: r.seen.Add(quarantine.Duration), Revision: r.modRevision}
		}
	}
	return stored
}

// recordReplaced records for which orders an upstream of another version is listed.
func (v *view) recordReplaced(rollouts []rollout.ServiceRollout) {
	ordered := map[string]bool{}
	for _, r := range rollouts {
		ordered[r.ID()] = true
		for _, row := range v.rows {
			if i := row.document.Instance; i != nil && i.Service == r.Service && i.Version != r.Version {
				v.replaces[r.ID()] = true
			}
		}
	}
	maps.DeleteFunc(v.replaces, func(id string, _ bool) bool { return !ordered[id] })
}

// serviceRolloutOf returns the rollout of an order; state is the row of the last state of the
// service. A state that is older than its order, or of another version, belongs to a previous
// order. A decided rollout keeps its state, which is not recorded while the store lacks it.
func serviceRolloutOf(order, state row) rollout.ServiceRollout {
	o := order.document.Rollout
	r := rollout.ServiceRollout{Service: o.Service, Version: o.Version, Deadline: order.seen.Add(o.TimeLimit), State: rollout.Serving, Revision: state.modRevision}
	written := state.document.RolloutState
	if order.decided != "" {
		r.State = order.decided
		r.Recorded = written != nil && !state.retained && written.Version == o.Version && written.State == order.decided
		return r
	}
	if written != nil && !state.retained && state.modRevision > order.modRevision && written.Version == o.Version {
		r.State, r.Recorded = written.State, true
	}
	return r
}

// serviceRollouts returns the service rollouts that the operators ordered.
func (v *view) serviceRollouts() []rollout.ServiceRollout {
	states := map[string]row{}
	for _, r := range v.rows {
		if state := r.document.RolloutState; state != nil {
			states[state.Service] = r
		}
	}
	var list []rollout.ServiceRollout
	for key, r := range v.rows {
		if r.document.Rollout == nil {
			continue
		}
		serviceRollout := serviceRolloutOf(r, states[r.document.Rollout.Service])
		if serviceRollout.Final() {
			r.decided = serviceRollout.State
			v.rows[key] = r
		}
		list = append(list, serviceRollout)
	}
	v.recordReplaced(list)
	for i := range list {
		list[i].OnlyVersion = !v.replaces[list[i].ID()]
	}
	slices.SortFunc(list, func(a, b rollout.ServiceRollout) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
