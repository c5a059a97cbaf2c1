package configsync

import (
	"fmt"
)

// Keys of the configuration in the key-value service.
const (
	KeyPrefix   = "/heatherloom/config/"
	headKey     = KeyPrefix + "head"
	deltaPrefix = KeyPrefix + "delta/"
	basePrefix  = KeyPrefix + "base/"
)

const (
	// maxDeltaBytes limits the size of an encoded delta; a larger apply writes a base
	// instead.
	maxDeltaBytes = 256 << 10
	// deltasPerBase is the number of revisions between two bases.
	deltasPerBase = 1024
	// deltasPerRead limits one range read of deltas to 16 MB.
	deltasPerRead = 64
	// shardsPerRead limits one range read of shards to 4 MB.
	shardsPerRead = 8
)

// Head identifies the latest accepted revision.
type Head struct {
	Revision int64 `json:"revision"`
	// BaseRevision is the revision of the base that the deltas build on; 0 for an
	// empty configuration.
	BaseRevision int64  `json:"base_revision"`
	ApplyID      string `json:"apply_id"`
}

// deltaKey returns a key that sorts by revision, as do those of baseKey.
func deltaKey(revision int64) string { return fmt.Sprintf("%s%020d", deltaPrefix, revision) }

func baseKey(revision int64) string { return fmt.Sprintf("%s%020d/", basePrefix, revision) }

func manifestKey(revision int64) string { return baseKey(revision) + "manifest" }

func shardKey(revision int64, n int) string { return fmt.Sprintf("%sshard/%06d", baseKey(revision), n) }
