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
	// seen is when the value of that revision was first read.
	seen time.Time
	// keepUntil is when a row that disappeared is removed; zero while it exists.
	keepUntil time.Time
}

// changedParts says which parts of a view changed.
type changedParts struct {
	config, instances, evacuated, serviceRollouts, quarantines bool
}

// view holds the decoded rows of the store. The modRevision of a row that is present never
// decreases, so that a delayed or stale read does not overwrite a newer one.
type view struct {
	documents external.DocumentCodec
	log       *logrus.Entry
	rows      map[string]row
	config    *opconfig.Config
	// replaces holds the ids of the service rollouts for which an upstream of another version
	// was listed, in any region.
	replaces map[string]bool
	// recovered is when the store last became available after an outage.
	recovered time.Time
	changed   changedParts
}

func newView(documents external.DocumentCodec, log *logrus.Entry) view {
	return view{documents: documents, log: log, rows: map[string]row{}, replaces: map[string]bool{}}
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
	if known && (e.ModRevision < old.modRevision || (e.ModRevision == old.modRevision && old.keepUntil.IsZero())) {
		return
	}
	document, err := v.documents.Decode(e)
	if err != nil {
		v.log.WithField(telemetry.FieldEvent, "row_unreadable").WithError(err).Warn("cannot decode a value of the store; its row counts as absent, except that the last configuration stays in use")
	}
	v.markChanged(old.document)
	v.markChanged(document)
	v.rows[e.Key] = row{document: document, modRevision: e.ModRevision, seen: now}
	if document.Config != nil && (v.config == nil || document.Config.Revision > v.config.Revision) {
		v.config = document.Config
		v.changed.config = true
	}
}

// remove removes a row, or keeps the row of an upstream until keepUntil: the row may have
// expired because the upstream could not reach the store either.
func (v *view) remove(key string, now, keepUntil time.Time) {
	old := v.rows[key]
	upstream := old.document.Instance
	if upstream != nil && upstream.Role != external.RoleEntry && now.Before(keepUntil) {
		if old.keepUntil.IsZero() {
			old.keepUntil = keepUntil
			v.rows[key] = old
		}
		return
	}
	delete(v.rows, key)
	v.markChanged(old.document)
}

// expire removes the rows whose retention has ended without their being written again.
func (v *view) expire(now time.Time) {
	for key, r := range v.rows {
		if !r.keepUntil.IsZero() && !now.Before(r.keepUntil) {
			delete(v.rows, key)
			v.markChanged(r.document)
		}
	}
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
		if i := v.rows[key].document.Instance; i != nil {
			list = append(list, *i)
		}
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

// serviceRollouts returns the service rollouts that the operators ordered. A state that is
// older than its order, or of another version, belongs to a previous order.
func (v *view) serviceRollouts() []rollout.ServiceRollout {
	states := map[string]row{}
	for _, r := range v.rows {
		if state := r.document.RolloutState; state != nil {
			states[state.Service] = r
		}
	}
	var list []rollout.ServiceRollout
	for _, r := range v.rows {
		order := r.document.Rollout
		if order == nil {
			continue
		}
		serviceRollout := rollout.ServiceRollout{Service: order.Service, Version: order.Version, Deadline: r.seen.Add(order.TimeLimit), State: rollout.Serving}
		state, known := states[order.Service]
		serviceRollout.Revision = state.modRevision
		if known && state.modRevision > r.modRevision && state.document.RolloutState.Version == order.Version {
			serviceRollout.State, serviceRollout.Recorded = state.document.RolloutState.State, true
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
