// Package configsync distributes accepted revisions of the operators' configuration
// from the key-value service to the instances. A revision is a delta or a base under
// KeyPrefix; `heatherloom sheet apply` writes them with Publisher.
//
// Instances that serve host routes do not read KeyPrefix: they get their configuration
// from the platform's document through package storefeed, and of this package use only
// PeerSource and Syncer.SyncFromPeers, to exchange revisions with peers.
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

// ConflictError reports that another operator's apply was accepted first.
type ConflictError struct {
	// Revision is the latest accepted revision.
	Revision int64
	// Changes are the changes accepted since the revision that the apply was based on.
	Changes []opconfig.Change
	// Incomplete is true if some of the changes are only part of a base and are missing
	// from Changes.
	Incomplete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator's changes were accepted first; the latest revision is %d", e.Revision)
}

// ErrOutcomeUnknown reports that the response to an apply was lost and that the
// key-value service could not be read to find out whether the apply was accepted.
var ErrOutcomeUnknown = errors.New("it is not known whether the apply was accepted")

// readBackInterval is the delay before the head is read again after a lost response.
const readBackInterval = 100 * time.Millisecond

// Publisher commits revisions to the store, the key-value service. It is unrelated to the
// routing snapshots that package control publishes in memory.
type Publisher struct {
	Store external.Store
}

// applyOperation is the state of one apply in progress.
type applyOperation struct {
	store external.Store
	from  int64
	delta opconfig.Delta
	raw   []byte
	// responseLost is true after a response was lost; the apply may have been accepted.
	responseLost bool
	// wroteBase is true once the shards of a base are written; previousBase is the
	// revision of the preceding base.
	wroteBase    bool
	previousBase int64
}

// Apply commits changes on top of revision from by compare-and-swap and returns the
// new revision. It returns a *ConflictError if another apply was accepted first. After
// a lost response it reads back whether its own write took effect, and returns
// ErrOutcomeUnknown if ctx is done before the key-value service responds.
//
// Changes that cannot be decoded are rejected. Apply does not validate the resulting
// configuration. `heatherloom sheet apply` passes changes from rows whose values and
// references sheet.Parse has checked against the configuration of revision from.
func (p *Publisher) Apply(ctx context.Context, from int64, changes []opconfig.Change) (int64, error) {
	delta := opconfig.Delta{Revision: from + 1, ApplyID: uuid.NewString(), Changes: changes}
	if _, err := opconfig.New().Apply(opconfig.Delta{Revision: 1, Changes: changes}); err != nil {
		return 0, err
	}
	raw, err := json.Marshal(delta)
	if err != nil {
		return 0, eris.Wrap(err, "encode delta")
	}
	a := &applyOperation{store: p.Store, from: from, delta: delta, raw: raw}
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

// attempt reads the head and tries one write. It returns false if another attempt must
// read back the outcome.
func (a *applyOperation) attempt(ctx context.Context) (bool, error) {
	head, modRevision, err := readHead(ctx, a.store)
	if err != nil {
		return false, a.readFailed(ctx, err)
	}
	if head.ApplyID == a.delta.ApplyID {
		a.cleanUp(ctx)
		return true, nil
	}
	if head.Revision != a.from {
		return a.resolveConflict(ctx, head)
	}
	ok, err := a.commit(ctx, head, modRevision)
	if errors.Is(err, external.ErrUnavailable) {
		a.responseLost = true
		return false, nil
	}
	return ok, err
}

// readFailed returns the error with which the apply fails after a failed read, or nil
// if it must retry: an apply that sent no write fails at once, one whose response was
// lost retries until ctx is done.
func (a *applyOperation) readFailed(ctx context.Context, err error) error {
	if !a.responseLost {
		return err
	}
	if ctx.Err() != nil || !errors.Is(err, external.ErrUnavailable) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return nil
}

// commit writes the delta, or a base where the limits require one, together with the
// head.
func (a *applyOperation) commit(ctx context.Context, head Head, modRevision int64) (bool, error) {
	next := Head{Revision: a.delta.Revision, BaseRevision: head.BaseRevision, ApplyID: a.delta.ApplyID}
	conditions := []external.Condition{{Key: headKey, ModRevision: modRevision}}
	var writes []external.Write
	if len(a.raw) <= maxDeltaBytes {
		writes = append(writes, external.Write{Key: deltaKey(next.Revision), Value: a.raw})
	}
	if a.needsBase(head) {
		next.BaseRevision = next.Revision
		shardConditions, manifest, err := a.writeShards(ctx, head, modRevision)
		if err != nil || manifest == nil {
			return false, err
		}
		conditions = append(conditions, shardConditions...)
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

func (a *applyOperation) needsBase(head Head) bool {
	return len(a.raw) > maxDeltaBytes || a.delta.Revision-head.BaseRevision >= deltasPerBase
}

// writeShards writes the shards of the base that includes the delta. It returns
// conditions that require the shards to be unmodified, and the manifest, which is nil if
// the head changed concurrently. Another operator may write the same shard keys: each
// write requires the head to be unchanged, so that no shard of an accepted base is
// overwritten.
func (a *applyOperation) writeShards(ctx context.Context, head Head, modRevision int64) ([]external.Condition, []byte, error) {
	base, err := a.encodeBase(ctx, head)
	if err != nil {
		return nil, nil, err
	}
	headUnchanged := external.Condition{Key: headKey, ModRevision: modRevision}
	var shardConditions []external.Condition
	for n, shard := range base.Shards {
		key := shardKey(a.delta.Revision, n)
		ok, at, err := a.store.Commit(ctx, []external.Condition{headUnchanged}, []external.Write{{Key: key, Value: shard}})
		if err != nil || !ok {
			return nil, nil, err
		}
		shardConditions = append(shardConditions, external.Condition{Key: key, ModRevision: at})
	}
	a.wroteBase, a.previousBase = true, head.BaseRevision
	manifest, err := json.Marshal(base.Manifest)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode manifest")
	}
	return shardConditions, manifest, nil
}

func (a *applyOperation) encodeBase(ctx context.Context, head Head) (opconfig.Base, error) {
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

// cleanUp deletes the deltas through the previous base and all bases before it, if this
// apply wrote a base. After a failure the next base cleans up.
func (a *applyOperation) cleanUp(ctx context.Context) {
	if !a.wroteBase {
		return
	}
	_, _, _ = a.store.Commit(ctx, nil, []external.Write{
		{Key: deltaKey(0), RangeEnd: deltaKey(a.previousBase + 1), Delete: true},
		{Key: baseKey(0), RangeEnd: baseKey(a.previousBase), Delete: true},
	})
}

// resolveConflict determines whether this apply was accepted before the later ones or
// lost the race.
func (a *applyOperation) resolveConflict(ctx context.Context, head Head) (bool, error) {
	deltas, err := readDeltas(ctx, a.store, a.from, head.Revision)
	if err != nil {
		return false, a.readFailed(ctx, err)
	}
	conflict := &ConflictError{Revision: head.Revision, Incomplete: !contiguous(deltas, a.from, head.Revision)}
	for _, d := range deltas {
		if d.ApplyID == a.delta.ApplyID {
			a.cleanUp(ctx)
			return true, nil
		}
		conflict.Changes = append(conflict.Changes, d.Changes...)
	}
	if !a.responseLost || (len(deltas) > 0 && deltas[0].Revision == a.delta.Revision) {
		return false, conflict
	}
	return a.resolveByManifest(ctx, conflict)
}

// resolveByManifest determines from the manifest whether an apply whose revision has no
// delta was accepted.
func (a *applyOperation) resolveByManifest(ctx context.Context, conflict *ConflictError) (bool, error) {
	manifest, err := readManifest(ctx, a.store, a.delta.Revision)
	if errors.Is(err, errBaseMissing) {
		return false, errors.Join(ErrOutcomeUnknown, err)
	}
	if err != nil {
		return false, a.readFailed(ctx, err)
	}
	if manifest.ApplyID != a.delta.ApplyID {
		return false, conflict
	}
	a.cleanUp(ctx)
	return true, nil
}
