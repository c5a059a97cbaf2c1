package storefeed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/external"
	"heatherloom/internal/quarantine"
)

// A store that was restored from a copy has lost its latest writes, and gives their revisions out
// again. The operators and the upstreams write again what they had written, and the instances
// what is theirs. Until then, what an instance has read before takes precedence over the copy, unless the
// copy holds what was written after that read.

const (
	// restoreGrace is how long rows of the operators that a restored store lacks, or has an older
	// value of, are kept unless they are written again.
	restoreGrace = 10 * time.Second
	// upstreamRestoreGrace is restoreGrace for the rows of upstreams, which write every 1.2 s. It ends,
	// with the next read, before the 5 s after which an instance that was away is bound again by
	// what it missed, such as an upstream that left.
	upstreamRestoreGrace = 4 * time.Second
	// confirmGrace is how long the configuration of a restored store does not count as the latest
	// one unless it is written again: the store may have lost a later one that took API keys away.
	confirmGrace = 3 * time.Second
	// maxCopyAge bounds the age of the copy from which a store is restored, which is some seconds.
	maxCopyAge = time.Minute
	// goneRetention is how long the rows of upstreams that were removed are remembered.
	goneRetention = maxCopyAge
)

// hashValue identifies the value of a row.
func hashValue(value []byte) uint64 { return xxhash.Sum64(value) }

// retain returns a row that is kept although the restored store lacks it.
func (r row) retain(keepUntil time.Time) row {
	r.retained, r.copied = true, nil
	r.modRevision, r.keepUntil = 0, keepUntil
	return r
}

// writtenByInstances reports whether entry instances write the row, so that no one else writes it
// again.
func (r row) writtenByInstances() bool {
	d := r.document
	return d.Quarantined != nil || d.RolloutState != nil || (d.Instance != nil && d.Instance.Role == external.RoleEntry)
}

// restoreDeadline returns until when the row is kept in place of what a restored store has of it;
// zero if until it is written again.
func (r row) restoreDeadline(now time.Time) time.Time {
	switch {
	case r.writtenByInstances():
		return time.Time{}
	case r.document.Instance != nil:
		return now.Add(upstreamRestoreGrace)
	default:
		return now.Add(restoreGrace)
	}
}

// restore applies the first full read after the store was restored from a copy, and returns the
// number of rows that were read before and that the copy lacks or has another value of.
func (v *view) restore(entries []external.Entry, now time.Time) (retained int) {
	sharesHistory := v.restoredAt.IsZero() || now.Sub(v.restoredAt) >= maxCopyAge
	v.restoredAt = now
	// A configuration of the copy is not written again, though it may be new to this instance.
	configWritten := v.configWritten
	defer func() { v.configWritten = configWritten }()
	before := v.rows
	v.rows = make(map[string]row, len(before))
	for key, old := range before {
		v.rows[key] = old.retain(old.restoreDeadline(now))
	}
	for _, e := range entries {
		old, known := before[e.Key]
		_, gone := v.gone[e.Key]
		switch {
		case known && old.hash == hashValue(e.Value):
			old.modRevision, old.keepUntil, old.retained, old.copied = e.ModRevision, time.Time{}, false, nil
			v.rows[e.Key] = old
		case known && v.isNewer(old, e, sharesHistory):
			delete(v.rows, e.Key)
			v.put(e, now)
		case known:
			kept := v.rows[e.Key]
			kept.modRevision, kept.copied = e.ModRevision, &e
			v.rows[e.Key] = kept
		case gone:
			// Upstreams that still run write their rows again.
			v.gone[e.Key] = goneRow{at: now, modRevision: e.ModRevision}
		default:
			v.put(e, now)
		}
	}
	for _, r := range v.rows {
		if r.retained {
			retained++
			v.markChanged(r.document)
		}
	}
	return retained
}

// configConfirmed reports whether the configuration in the store counts as the latest one.
func (v *view) configConfirmed(now time.Time) bool {
	return v.restoredAt.IsZero() || v.configWritten.After(v.restoredAt) || now.Sub(v.restoredAt) >= confirmGrace
}

// isNewer reports whether an entry of a restored store is newer than the known row. If the copy shares its
// history with the store that the row was read from, a higher revision means a later write, since those of
// writes after the restore are higher than the copy's. A lower one may have been given out again. A copy that
// is older than the previous restore is of another history.
func (v *view) isNewer(old row, e external.Entry, sharesHistory bool) bool {
	if sharesHistory && !old.retained && e.ModRevision > old.modRevision {
		return true
	}
	document, err := v.documents.Decode(e)
	if err != nil {
		return false
	}
	if old.document.Config != nil && document.Config != nil {
		return document.Config.Revision > old.document.Config.Revision
	}
	return isNewerUpstream(old.document.Instance, document.Instance)
}

// isNewerUpstream reports whether a row that was read is that of an upstream that is not older than the
// known one as far as it matters: a later process, or the same one, which was not draining.
func isNewerUpstream(known, read *external.Instance) bool {
	if known == nil || read == nil || known.Role == external.RoleEntry {
		return false
	}
	if read.StartedAtUnixMilli != known.StartedAtUnixMilli {
		return read.StartedAtUnixMilli > known.StartedAtUnixMilli
	}
	return known.State != external.InstanceDraining
}

// expireRetained removes a retained row that was not written again in time, or replaces it by the
// older one of the restored store.
func (v *view) expireRetained(key string, r row, now time.Time) {
	v.markChanged(r.document)
	delete(v.rows, key)
	if r.copied != nil {
		v.put(*r.copied, now)
	}
}

// expireQuarantine removes a retained quarantine that has ended.
func (v *view) expireQuarantine(key string, r row, now time.Time) {
	if r.document.Quarantined != nil && now.Sub(r.seen) >= quarantine.Duration {
		v.markChanged(r.document)
		delete(v.rows, key)
	}
}

// rewritten reports whether a write only repeats what the row has held since before the store was
// restored, so that a rollout or a quarantine does not begin anew.
func (v *view) rewritten(old row, hash uint64, now time.Time) bool {
	recent := !v.restoredAt.IsZero() && now.Sub(v.restoredAt) < restoreGrace
	return old.hash == hash && (old.retained || recent)
}

// goneRow is what is known of the row of an upstream that was removed.
type goneRow struct {
	at time.Time
	// modRevision is the revision up to which the row is ignored: that of a restored copy.
	modRevision int64
}
