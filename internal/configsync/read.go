package configsync

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
)

// errBaseMissing reports that a base was deleted or is not completely written.
var errBaseMissing = errors.New("base not found in the key-value service")

// Load reads the latest accepted configuration from the key-value service.
func Load(ctx context.Context, store external.Store) (*opconfig.Config, error) {
	config, _, err := catchUp(ctx, store, opconfig.New())
	return config, err
}

// catchUp returns the latest accepted configuration and the deltas that it was built
// from: those after current, or those after the base if current is too old.
func catchUp(ctx context.Context, store external.Store, current *opconfig.Config) (*opconfig.Config, []opconfig.Delta, error) {
	head, _, err := readHead(ctx, store)
	if err != nil {
		return nil, nil, err
	}
	return catchUpTo(ctx, store, current, head)
}

func catchUpTo(ctx context.Context, store external.Store, current *opconfig.Config, head Head) (*opconfig.Config, []opconfig.Delta, error) {
	if head.Revision <= current.Revision {
		return current, nil, nil
	}
	if head.Revision-current.Revision <= deltasPerBase {
		deltas, err := readDeltas(ctx, store, current.Revision, head.Revision)
		if err != nil {
			return nil, nil, err
		}
		if contiguous(deltas, current.Revision, head.Revision) {
			config, err := applyAll(current, deltas)
			return config, deltas, err
		}
	}
	return loadFromBase(ctx, store, head)
}

func loadFromBase(ctx context.Context, store external.Store, head Head) (*opconfig.Config, []opconfig.Delta, error) {
	config, err := readBase(ctx, store, head.BaseRevision)
	if err != nil {
		return nil, nil, err
	}
	deltas, err := readDeltas(ctx, store, config.Revision, head.Revision)
	if err != nil {
		return nil, nil, err
	}
	if !contiguous(deltas, config.Revision, head.Revision) {
		return nil, nil, eris.Errorf("missing deltas between revisions %d and %d", config.Revision, head.Revision)
	}
	config, err = applyAll(config, deltas)
	return config, deltas, err
}

// contiguous reports whether the deltas are exactly those of revisions (from, to].
func contiguous(deltas []opconfig.Delta, from, to int64) bool {
	for i, d := range deltas {
		if d.Revision != from+int64(i)+1 {
			return false
		}
	}
	return int64(len(deltas)) == to-from
}

// applyAll applies the deltas to config and skips those that it already includes.
func applyAll(config *opconfig.Config, deltas []opconfig.Delta) (*opconfig.Config, error) {
	for _, delta := range deltas {
		if delta.Revision <= config.Revision {
			continue
		}
		next, err := config.Apply(delta)
		if err != nil {
			return nil, err
		}
		config = next
	}
	return config, nil
}

func readHead(ctx context.Context, store external.Store) (Head, int64, error) {
	entry, err := store.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, eris.Wrap(err, "read configuration head")
	}
	if entry.ModRevision == 0 {
		return Head{}, 0, nil
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, eris.Wrap(err, "decode configuration head")
	}
	return head, entry.ModRevision, nil
}

// readDeltas returns the deltas of revisions (from, to] that exist in the store, in
// order.
func readDeltas(ctx context.Context, store external.Store, from, to int64) ([]opconfig.Delta, error) {
	var deltas []opconfig.Delta
	start, end := deltaKey(from+1), deltaKey(to+1)
	for {
		entries, err := store.Range(ctx, start, end, deltasPerRead)
		if err != nil {
			return nil, eris.Wrap(err, "read configuration deltas")
		}
		for _, entry := range entries {
			var delta opconfig.Delta
			if err := json.Unmarshal(entry.Value, &delta); err != nil {
				return nil, eris.Wrapf(err, "decode configuration delta %q", entry.Key)
			}
			deltas = append(deltas, delta)
		}
		if len(entries) < deltasPerRead {
			return deltas, nil
		}
		start = entries[len(entries)-1].Key + "\x00"
	}
}

func readManifest(ctx context.Context, store external.Store, revision int64) (opconfig.Manifest, error) {
	var manifest opconfig.Manifest
	entry, err := store.Get(ctx, manifestKey(revision))
	if err != nil {
		return manifest, eris.Wrapf(err, "read manifest of revision %d", revision)
	}
	if entry.ModRevision == 0 {
		return manifest, eris.Wrapf(errBaseMissing, "manifest of revision %d", revision)
	}
	if err := json.Unmarshal(entry.Value, &manifest); err != nil {
		return manifest, eris.Wrapf(err, "decode manifest of revision %d", revision)
	}
	return manifest, nil
}

// readBase returns the configuration of a base; that of revision 0 is empty.
func readBase(ctx context.Context, store external.Store, revision int64) (*opconfig.Config, error) {
	if revision == 0 {
		return opconfig.New(), nil
	}
	manifest, err := readManifest(ctx, store, revision)
	if err != nil {
		return nil, err
	}
	base := opconfig.Base{Manifest: manifest}
	for n := 0; n < len(manifest.Shards); n += shardsPerRead {
		last := min(n+shardsPerRead, len(manifest.Shards))
		entries, err := store.Range(ctx, shardKey(revision, n), shardKey(revision, last), shardsPerRead)
		if err != nil {
			return nil, eris.Wrapf(err, "read shards of revision %d", revision)
		}
		for _, entry := range entries {
			base.Shards = append(base.Shards, entry.Value)
		}
	}
	return opconfig.DecodeBase(base)
}
