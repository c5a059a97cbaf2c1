// Package configsync brings accepted revisions of the operators' configuration
// from the key-value service to every instance.
package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
)

// ConflictError reports that another operator's apply came first.
type ConflictError struct {
	// Revision is the latest accepted revision.
	Revision int64
	// Changes are what was accepted since the revision that the apply built on.
	Changes []opconfig.Change
	// Incomplete is true if a base replaced some of the changes, so that Changes
	// does not hold all of them.
	Incomplete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator's changes were accepted first; the latest revision is %d", e.Revision)
}

// ErrOutcomeUnknown reports that the answer to an apply was lost and that the key-value
// service could not tell whether the apply was accepted.
var ErrOutcomeUnknown = errors.New("it is not known whether the apply was accepted")

// readBackInterval is the pause before the head is read again after a lost answer.
const readBackInterval = 100 * time.Millisecond

// Publisher writes revisions to the key-value service.
type Publisher struct {
	Store external.Store
}

// apply is one apply in progress.
type apply struct {
	store external.Store
	from  int64
	delta opconfig.Delta
	raw   []byte
	// lost is true after an answer was lost, when the apply may have been accepted.
	lost bool
	// wroteBase is true once the shards of a base are written, and previousBase is
	// the revision of the base before it.
	wroteBase    bool
	previousBase int64
}

// Apply accepts changes on top of revision from by compare-and-swap and returns
// the new revision. It returns a *ConflictError if another apply came first. After
// an answer was lost it reads back whether its own write took effect, and returns
// ErrOutcomeUnknown if ctx ends before the key-value service answers.
//
// Changes that do not decode are refused. The caller checks the configuration that
// they lead to with opconfig.Delta.Validate.
func (p *Publisher) Apply(ctx context.Context, from int64, changes []opconfig.Change) (int64, error) {
	delta := opconfig.Delta{Revision: from + 1, ApplyID: uuid.NewString(), Changes: changes}
	if _, err := opconfig.New().Apply(opconfig.Delta{Revision: 1, Changes: changes}); err != nil {
		return 0, err
	}
	raw, err := json.Marshal(delta)
	if err != nil {
		return 0, eris.Wrap(err, "encode delta")
	}
	a := &apply{store: p.Store, from: from, delta: delta, raw: raw}
	for {
		done, err := a.attempt(ctx)
		if err != nil {
			return 0, err
		}
		if done {
			return delta.Revision, nil
		}
		clock.Sleep(ctx, readBackInterval)
	}
}

// attempt reads the head and writes once. It returns false if another attempt must
// read back the outcome.
func (a *apply) attempt(ctx context.Context) (bool, error) {
	head, version, err := readHead(ctx, a.store)
	if err != nil {
		return false, a.unreadable(ctx, err)
	}
	if head.ApplyID == a.delta.ApplyID {
		a.cleanUp(ctx)
		return true, nil
	}
	if head.Revision != a.from {
		return a.afterConflict(ctx, head)
	}
	ok, err := a.commit(ctx, head, version)
	if errors.Is(err, external.ErrUnavailable) {
		a.lost = true
		return false, nil
	}
	return ok, err
}

// unreadable decides about an apply whose head cannot be read: one that sent no
// write fails at once, one that lost an answer goes on until ctx ends.
func (a *apply) unreadable(ctx context.Context, err error) error {
	if !a.lost {
		return err
	}
	if ctx.Err() != nil || !errors.Is(err, external.ErrUnavailable) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return nil
}

// commit writes the delta, or a base where the limits demand one, together with the head.
func (a *apply) commit(ctx context.Context, head Head, version int64) (bool, error) {
	next := Head{Revision: a.delta.Revision, BaseRevision: head.BaseRevision, ApplyID: a.delta.ApplyID}
	conditions := []external.Condition{{Key: headKey, Version: version}}
	var writes []external.Write
	if len(a.raw) <= maxDeltaBytes {
		writes = append(writes, external.Write{Key: deltaKey(next.Revision), Value: a.raw})
	}
	if a.needsBase(head) {
		next.BaseRevision = next.Revision
		written, manifest, err := a.writeShards(ctx, head, version)
		if err != nil || manifest == nil {
			return false, err
		}
		conditions = append(conditions, written...)
		writes = append(writes, external.Write{Key: manifestKey(next.Revision), Value: manifest})
	}
	rawHead, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "encode head")
	}
	ok, _, err := a.store.Commit(ctx, conditions, append(writes, external.Write{Key: headKey, Value: rawHead}))
	if ok {
		a.cleanUp(ctx)
	}
	return ok, err
}

func (a *apply) needsBase(head Head) bool {
	return len(a.raw) > maxDeltaBytes || a.delta.Revision-head.BaseRevision >= deltasPerBase
}

// writeShards writes the shards of the base after the delta and returns conditions
// that hold while they stay as written, and the manifest. The manifest is nil if the
// head moved meanwhile. Another operator may write the same shard keys: each write
// requires the head to be unmoved, so that no shard of an accepted base is replaced.
func (a *apply) writeShards(ctx context.Context, head Head, version int64) ([]external.Condition, []byte, error) {
	base, err := a.encodeBase(ctx, head)
	if err != nil {
		return nil, nil, err
	}
	unmoved := external.Condition{Key: headKey, Version: version}
	var written []external.Condition
	for n, shard := range base.Shards {
		key := shardKey(a.delta.Revision, n)
		ok, at, err := a.store.Commit(ctx, []external.Condition{unmoved}, []external.Write{{Key: key, Value: shard}})
		if err != nil || !ok {
			return nil, nil, err
		}
		written = append(written, external.Condition{Key: key, Version: at})
	}
	a.wroteBase, a.previousBase = true, head.BaseRevision
	manifest, err := json.Marshal(base.Manifest)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode manifest")
	}
	return written, manifest, nil
}

func (a *apply) encodeBase(ctx context.Context, head Head) (opconfig.Base, error) {
	config, _, err := catchUpTo(ctx, a.store, opconfig.New(), head)
	if err != nil {
		return opconfig.Base{}, err
	}
	next, err := config.Apply(a.delta)
	if err != nil {
		return opconfig.Base{}, err
	}
	base, err := next.EncodeBase()
	base.Manifest.ApplyID = a.delta.ApplyID
	return base, err
}

// cleanUp deletes what the two latest bases make needless, if this apply wrote the
// latest one. A failure leaves the work to the next base.
func (a *apply) cleanUp(ctx context.Context) {
	if !a.wroteBase {
		return
	}
	_, _, _ = a.store.Commit(ctx, nil, []external.Write{
		{Key: deltaKey(0), End: deltaKey(a.previousBase + 1), Delete: true},
		{Key: baseKey(0), End: baseKey(a.previousBase), Delete: true},
	})
}

// afterConflict tells an own apply that took effect before others from one that
// lost the race.
func (a *apply) afterConflict(ctx context.Context, head Head) (bool, error) {
	deltas, err := readDeltas(ctx, a.store, a.from, head.Revision)
	if err != nil {
		return false, a.unreadable(ctx, err)
	}
	conflict := &ConflictError{Revision: head.Revision, Incomplete: !contiguous(deltas, a.from, head.Revision)}
	for _, d := range deltas {
		if d.ApplyID == a.delta.ApplyID {
			a.cleanUp(ctx)
			return true, nil
		}
		conflict.Changes = append(conflict.Changes, d.Changes...)
	}
	if !a.lost || (len(deltas) > 0 && deltas[0].Revision == a.delta.Revision) {
		return false, conflict
	}
	return a.afterBase(ctx, conflict)
}

// afterBase decides by the manifest about an apply whose revision has no delta.
func (a *apply) afterBase(ctx context.Context, conflict *ConflictError) (bool, error) {
	manifest, err := readManifest(ctx, a.store, a.delta.Revision)
	if errors.Is(err, errBaseMissing) {
		return false, errors.Join(ErrOutcomeUnknown, err)
	}
	if err != nil {
		return false, a.unreadable(ctx, err)
	}
	if manifest.ApplyID != a.delta.ApplyID {
		return false, conflict
	}
	a.cleanUp(ctx)
	return true, nil
}
