// Package configsync brings accepted revisions of the operators' configuration
// from the key-value service to every instance.
package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/platform"
)

// Keys of the configuration in the key-value service.
const (
	Prefix      = "/heatherloom/config/"
	headKey     = Prefix + "head"
	deltaPrefix = Prefix + "delta/"
)

// Head names the latest accepted revision.
type Head struct {
	Revision int64 `json:"revision"`
	// BaseRevision is the revision of the base that the deltas build on; 0 for an
	// empty configuration.
	BaseRevision int64  `json:"base_revision"`
	ApplyID      string `json:"apply_id"`
}

func deltaKey(revision int64) string {
	return fmt.Sprintf("%s%020d", deltaPrefix, revision)
}

// ConflictError reports that another operator's apply came first.
type ConflictError struct {
	// Revision is the latest accepted revision.
	Revision int64
	// Changes are what was accepted since the revision that the apply built on.
	Changes []opconfig.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator's changes were accepted first, as revision %d", e.Revision)
}

// Publisher writes revisions to the key-value service.
type Publisher struct {
	Store platform.Store
}

// Apply accepts changes on top of revision from by compare-and-swap and returns
// the new revision. It returns a *ConflictError if another apply came first. After
// an answer was lost it reads back whether its own write took effect.
func (p *Publisher) Apply(ctx context.Context, from int64, changes []opconfig.Change) (int64, error) {
	delta := opconfig.Delta{Revision: from + 1, ApplyID: uuid.NewString(), Changes: changes}
	for {
		head, version, err := readHead(ctx, p.Store)
		if err != nil {
			return 0, err
		}
		if head.ApplyID == delta.ApplyID {
			return head.Revision, nil
		}
		if head.Revision != from {
			return p.afterConflict(ctx, from, delta.ApplyID)
		}
		ok, err := p.commit(ctx, head, version, delta)
		if errors.Is(err, platform.ErrUnavailable) {
			continue
		}
		if err != nil {
			return 0, err
		}
		if ok {
			return delta.Revision, nil
		}
	}
}

func (p *Publisher) commit(ctx context.Context, head Head, version int64, delta opconfig.Delta) (bool, error) {
	rawDelta, err := json.Marshal(delta)
	if err != nil {
		return false, eris.Wrap(err, "encode delta")
	}
	next := Head{Revision: delta.Revision, BaseRevision: head.BaseRevision, ApplyID: delta.ApplyID}
	rawHead, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "encode head")
	}
	ok, _, err := p.Store.Commit(ctx,
		[]platform.Condition{{Key: headKey, Version: version}},
		[]platform.Write{{Key: headKey, Value: rawHead}, {Key: deltaKey(delta.Revision), Value: rawDelta}},
	)
	return ok, err
}

// afterConflict tells an own apply that took effect before others from one that
// lost the race.
func (p *Publisher) afterConflict(ctx context.Context, from int64, applyID string) (int64, error) {
	deltas, err := readDeltas(ctx, p.Store, from)
	if err != nil {
		return 0, err
	}
	conflict := &ConflictError{}
	for _, d := range deltas {
		if d.ApplyID == applyID {
			return d.Revision, nil
		}
		conflict.Revision = d.Revision
		conflict.Changes = append(conflict.Changes, d.Changes...)
	}
	return 0, conflict
}

func readHead(ctx context.Context, store platform.Store) (Head, int64, error) {
	entry, err := store.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, eris.Wrap(err, "read configuration head")
	}
	if entry.Version == 0 {
		return Head{}, 0, nil
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, eris.Wrap(err, "decode configuration head")
	}
	return head, entry.Version, nil
}

// readDeltas returns the deltas after revision from in order.
func readDeltas(ctx context.Context, store platform.Store, from int64) ([]opconfig.Delta, error) {
	entries, err := store.List(ctx, deltaPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration deltas")
	}
	var deltas []opconfig.Delta
	for _, entry := range entries {
		if entry.Key <= deltaKey(from) {
			continue
		}
		var delta opconfig.Delta
		if err := json.Unmarshal(entry.Value, &delta); err != nil {
			return nil, eris.Wrapf(err, "decode configuration delta %q", entry.Key)
		}
		deltas = append(deltas, delta)
	}
	return deltas, nil
}

// Load reads the latest accepted configuration from the key-value service.
func Load(ctx context.Context, store platform.Store) (*opconfig.Config, error) {
	deltas, err := readDeltas(ctx, store, 0)
	if err != nil {
		return nil, err
	}
	config := opconfig.New()
	for _, delta := range deltas {
		next, err := config.Apply(delta)
		if err != nil {
			return nil, err
		}
		config = next
	}
	return config, nil
}
