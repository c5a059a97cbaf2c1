package control

import (
	"time"

	"heatherloom/internal/routing"
)

// tickStep updates the tables once per tick.
type tickStep func(t *tables, now time.Time)

// tickSteps run in this order on each tick.
var tickSteps = []tickStep{
	expireMembers,
	prunePeerRows,
	updateReportAccess,
	confirmConfig,
	updateHealth,
	updateQuarantines,
	pruneRollouts,
}

const (
	// pauseDuration is how long an upstream gets no requests after repeated failures. The
	// first attempt afterwards shows whether it has recovered.
	pauseDuration = 2 * time.Second
)

func expireMembers(t *tables, now time.Time) {
	if t.members.Expire(now) {
		t.publishing.peersChanged = true
	}
}

// prunePeerRows drops the rows of peers that are no longer live.
func prunePeerRows(t *tables, _ time.Time) {
	if t.prunedAt == t.members.Changes() {
		return
	}
	t.prunedAt = t.members.Changes()
	for id := range t.peers {
		if _, live := t.members.Get(id); !live {
			delete(t.peers, id)
		}
	}
}

// confirmConfig applies the peers' confirmations of the latest revision. A confirmation
// of a revision that this instance does not have yet takes effect once it has it.
func confirmConfig(t *tables, now time.Time) {
	for id, row := range t.confirmations {
		t.confirm(row.revision, row.at)
		if now.Sub(row.at) > t.identity.EffectiveMaxIsolation {
			delete(t.confirmations, id)
		}
	}
}

func updateQuarantines(t *tables, now time.Time) { t.crashes.Update(now) }

func updateHealth(t *tables, now time.Time) {
	for _, row := range t.sortedUpstreams {
		if row.paused && !now.Before(row.downUntil) {
			row.paused = false
			row.counters.UpSince.Store(now.UnixNano())
		}
		failures := row.counters.ConsecutiveFailures.Load()
		if failures == 0 {
			row.failuresAtPause, row.pauses = 0, 0
			continue
		}
		if failures >= routing.FailuresToPause && failures > row.failuresAtPause {
			row.failuresAtPause = failures
			row.downUntil = now.Add(pauseDuration)
			row.paused = true
			row.pauses++
			row.awaitsHealthCheck = t.config.Services[row.instance.Service].HealthPath != ""
		}
	}
}
