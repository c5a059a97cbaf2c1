package storefeed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

const (
	// quarantineInterval is the time between two comparisons of the quarantines that this
	// instance knows with those in the store.
	quarantineInterval = 500 * time.Millisecond
	// quarantineTakeover is how long an instance waits for each instance ranked before it, by
	// rendezvous hashing, to write a change. It covers a store call and its network latency.
	quarantineTakeover = 700 * time.Millisecond
	// contestedWriteDelay is the time from the last crash after which a quarantine is written although it is
	// contested. Instances that know only its row do not probe it, and a probe usually decides sooner.
	contestedWriteDelay = 15 * time.Second
	// maxStoredQuarantines bounds the number of quarantines in the store.
	maxStoredQuarantines = 256
	// maxQuarantineWrites bounds the writes of one comparison.
	maxQuarantineWrites = 8
)

// quarantineKeeper keeps the quarantines in the store, so that a restarted instance and one that
// its peers cannot reach know them. Every instance decides what the store lacks; one of them
// writes, and the others write only if it does not.
type quarantineKeeper struct {
	self string
	// wantedSince is when this instance first wanted to write a change.
	wantedSince map[quarantineChange]time.Time
}

// quarantineChange is a change of the quarantines in the store.
type quarantineChange struct {
	fingerprint quarantine.Fingerprint
	// revision is that of the row to delete; 0 to write a new row.
	revision int64
}

// keepQuarantines writes the quarantines that the store lacks, and deletes those that have ended or
// are contradicted, until ctx ends.
func (f *Feed) keepQuarantines(ctx context.Context) {
	keeper := quarantineKeeper{self: f.Self.ID, wantedSince: map[quarantineChange]time.Time{}}
	for ctx.Err() == nil {
		for _, change := range keeper.due(f.Loop.Snapshot(), clock.Now()) {
			f.writeQuarantine(ctx, change)
		}
		clock.Sleep(ctx, quarantineInterval)
	}
}

// due returns the changes that this instance is to write now.
func (k *quarantineKeeper) due(s *routing.Snapshot, now time.Time) []quarantineChange {
	wanted := wantedQuarantineChanges(s, now)
	ids := []string{k.self}
	for _, p := range s.Peers {
		if !p.Suspect {
			ids = append(ids, p.ID)
		}
	}
	var due []quarantineChange
	for change := range wanted {
		if _, known := k.wantedSince[change]; !known {
			k.wantedSince[change] = now
		}
		rank := membership.Rank(change.fingerprint.String(), k.self, ids)
		if now.Sub(k.wantedSince[change]) >= time.Duration(rank)*quarantineTakeover && len(due) < maxQuarantineWrites {
			due = append(due, change)
		}
	}
	for change := range k.wantedSince {
		if !wanted[change] {
			delete(k.wantedSince, change)
		}
	}
	return due
}

func wantedQuarantineChanges(s *routing.Snapshot, now time.Time) map[quarantineChange]bool {
	wanted := map[quarantineChange]bool{}
	for f := range s.RefutedQuarantines {
		if stored := s.StoredQuarantines[f]; stored.Revision != 0 {
			wanted[quarantineChange{f, stored.Revision}] = true
		}
	}
	for f, until := range s.Quarantined {
		stored, known := s.StoredQuarantines[f]
		switch {
		case known && stored.Revision != 0 && !now.Before(stored.Until):
			wanted[quarantineChange{f, stored.Revision}] = true
		case s.ImplicatedParts[f] && until.Sub(now) > quarantine.Duration-contestedWriteDelay:
			// Written later.
		case (!known || stored.Revision == 0) && now.Before(until) && len(s.StoredQuarantines) < maxStoredQuarantines:
			wanted[quarantineChange{fingerprint: f}] = true
		}
	}
	return wanted
}

// writeQuarantine writes one change on the condition that the row is as last read, so that the
// quarantine does not begin anew when several instances write it.
func (f *Feed) writeQuarantine(ctx context.Context, change quarantineChange) {
	log := f.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:       "quarantine_stored",
		telemetry.FieldFingerprint: change.fingerprint,
	})
	entry, err := f.Documents.EncodeQuarantine(change.fingerprint)
	if err != nil {
		log.WithError(err).Error("encoding a quarantine failed; it is lost when all instances restart")
		return
	}
	unchanged := external.Condition{Key: entry.Key, ModRevision: change.revision}
	write := external.Write{Key: entry.Key, Value: entry.Value, Delete: change.revision != 0}
	ok, _, err := f.Store.Commit(ctx, []external.Condition{unchanged}, []external.Write{write})
	switch {
	case err != nil:
		log.WithError(err).Warn("writing a quarantine to the store failed; the next comparison writes it again")
	case ok && write.Delete:
		log.Info("deleted a quarantine that has ended or was refuted from the store")
	case ok:
		log.Info("wrote a quarantine to the store, where all instances read it")
	}
}
