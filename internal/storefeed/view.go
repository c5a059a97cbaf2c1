package storefeed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/telemetry"
)

// row is one decoded key.
type row struct {
	document external.Document
	version  int64
	// seen is when this version of the key was first read.
	seen time.Time
	// until is when a row that is gone no longer counts; zero while it exists.
	until time.Time
}

// changes tells which parts of a view changed.
type changes struct {
	config, instances, evacuated, orders bool
}

// view holds the decoded rows of the service. Versions of a key never go back, so that a
// late or stale read does not overrule a newer one.
type view struct {
	documents external.Documents
	log       *logrus.Entry
	rows      map[string]row
	config    *opconfig.Config
	// returned is when the service last answered again after it was away.
	returned time.Time
	changed  changes
}

func newView(documents external.Documents, log *logrus.Entry) view {
	return view{documents: documents, log: log, rows: map[string]row{}}
}

// replace takes a reading of everything. Keys that it lacks are gone.
func (v *view) replace(entries []external.Entry, now, lapsedUntil time.Time) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		v.put(e, now)
	}
	for key := range v.rows {
		if !present[key] {
			v.remove(key, now, lapsedUntil)
		}
	}
}

// change takes one event.
func (v *view) change(e external.WatchEvent, now, lapsedUntil time.Time) {
	if !e.Deleted {
		v.put(e.Entry, now)
		return
	}
	if old, ok := v.rows[e.Entry.Key]; ok && e.Entry.Version > old.version {
		v.remove(e.Entry.Key, now, lapsedUntil)
	}
}

func (v *view) put(e external.Entry, now time.Time) {
	old, known := v.rows[e.Key]
	if known && (e.Version < old.version || (e.Version == old.version && old.until.IsZero())) {
		return
	}
	document, err := v.documents.Decode(e)
	if err != nil {
		v.log.WithField(telemetry.FieldEvent, "row_unreadable").WithError(err).Warn("a value of the key-value service cannot be read; it counts as absent")
	}
	v.mark(old.document)
	v.mark(document)
	v.rows[e.Key] = row{document: document, version: e.Version, seen: now}
	if document.Config != nil && (v.config == nil || document.Config.Revision > v.config.Revision) {
		v.config = document.Config
		v.changed.config = true
	}
}

// remove drops a row, or lets the row of an upstream count until lapsedUntil: it may have
// lapsed because its upstream could not reach the service either.
func (v *view) remove(key string, now, lapsedUntil time.Time) {
	old := v.rows[key]
	upstream := old.document.Upstream
	if upstream != nil && upstream.Role != external.RoleEntry && now.Before(lapsedUntil) {
		if old.until.IsZero() {
			old.until = lapsedUntil
			v.rows[key] = old
		}
		return
	}
	delete(v.rows, key)
	v.mark(old.document)
}

// expire drops the rows that lapsed and did not return.
func (v *view) expire(now time.Time) {
	for key, r := range v.rows {
		if !r.until.IsZero() && !now.Before(r.until) {
			delete(v.rows, key)
			v.mark(r.document)
		}
	}
}

func (v *view) mark(d external.Document) {
	v.changed.instances = v.changed.instances || d.Upstream != nil
	v.changed.evacuated = v.changed.evacuated || d.Evacuated != ""
	v.changed.orders = v.changed.orders || d.Rollout != nil || d.RolloutState != nil
}

// takeChanges returns what changed since the last call.
func (v *view) takeChanges() changes {
	taken := v.changed
	v.changed = changes{}
	return taken
}

func (v *view) instances() []external.Instance {
	var list []external.Instance
	for _, key := range slices.Sorted(maps.Keys(v.rows)) {
		if i := v.rows[key].document.Upstream; i != nil {
			list = append(list, *i)
		}
	}
	return list
}

// entryInstances returns how many entry instances are listed.
func (v *view) entryInstances() int {
	n := 0
	for _, r := range v.rows {
		if i := r.document.Upstream; i != nil && i.Role == external.RoleEntry {
			n++
		}
	}
	return n
}

func (v *view) evacuatedDomains() map[string]struct{} {
	domains := map[string]struct{}{}
	for _, r := range v.rows {
		if r.document.Evacuated != "" {
			domains[r.document.Evacuated] = struct{}{}
		}
	}
	return domains
}

// orders returns the rollouts of services that are ordered. A state that is older than its
// order, or of another version, belongs to an order before.
func (v *view) orders() []rollout.ServiceOrder {
	states := map[string]row{}
	for _, r := range v.rows {
		if state := r.document.RolloutState; state != nil {
			states[state.Service] = r
		}
	}
	var list []rollout.ServiceOrder
	for _, r := range v.rows {
		order := r.document.Rollout
		if order == nil {
			continue
		}
		one := rollout.ServiceOrder{Service: order.Service, Version: order.Version, Deadline: r.seen.Add(order.Within), State: rollout.Sharing}
		state, known := states[order.Service]
		one.Revision = state.version
		if known && state.version > r.version && state.document.RolloutState.Version == order.Version {
			one.State, one.Recorded = state.document.RolloutState.State, true
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b rollout.ServiceOrder) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
