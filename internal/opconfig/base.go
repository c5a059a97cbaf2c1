package opconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxShardBytes limits the size of one encoded shard of a base. With its key and the
// base64 encoding of the JSON gateway it stays below the store's limit of 1 MB per value.
const MaxShardBytes = 512 << 10

// Manifest lists the shards of a base.
type Manifest struct {
	// Revision is the revision of the configuration that the base holds.
	Revision int64 `json:"revision"`
	// ApplyID identifies the apply that wrote the base; empty in a base that one
	// instance sends to another.
	ApplyID string `json:"apply_id,omitempty"`
	// Records is the number of records in all shards.
	Records int     `json:"records"`
	Shards  []Shard `json:"shards"`
}

// Shard describes one shard of a base.
type Shard struct {
	// Digest is the hexadecimal SHA-256 of the encoded shard.
	Digest string `json:"digest"`
	Bytes  int    `json:"bytes"`
}

// Base is an encoded configuration. Each shard is a JSON array of Change.
type Base struct {
	Manifest Manifest
	Shards   [][]byte
}

// EncodeBase encodes the whole configuration in shards of at most MaxShardBytes.
// Equal configurations have equal encodings.
func (c *Config) EncodeBase() (Base, error) {
	w := &shardWriter{base: Base{Manifest: Manifest{Revision: c.Revision}}}
	for change, err := range c.changes() {
		if err != nil {
			return Base{}, err
		}
		if err := w.add(change); err != nil {
			return Base{}, err
		}
	}
	w.flush()
	return w.base, nil
}

// shardWriter packs encoded changes into shards.
type shardWriter struct {
	base    Base
	current []byte
}

func (w *shardWriter) add(c Change) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return eris.Wrapf(err, "encode %s record %q", c.Table, c.ID)
	}
	// Two bytes in addition to the record: its separator and the closing bracket.
	if len(raw)+2 > MaxShardBytes {
		return eris.Errorf("%s record %q has %d bytes and exceeds the shard size of %d bytes", c.Table, c.ID, len(raw), MaxShardBytes)
	}
	if len(w.current)+len(raw)+2 > MaxShardBytes {
		w.flush()
	}
	separator := byte(',')
	if len(w.current) == 0 {
		separator = '['
	}
	w.current = append(append(w.current, separator), raw...)
	w.base.Manifest.Records++
	return nil
}

func (w *shardWriter) flush() {
	if len(w.current) == 0 {
		return
	}
	shard := append(w.current, ']')
	w.base.Shards = append(w.base.Shards, shard)
	w.base.Manifest.Shards = append(w.base.Manifest.Shards, Shard{Digest: digest(shard), Bytes: len(shard)})
	w.current = make([]byte, 0, MaxShardBytes)
}

func digest(shard []byte) string {
	sum := sha256.Sum256(shard)
	return hex.EncodeToString(sum[:])
}

// DecodeBase returns the configuration that a base holds. It returns an error if
// a shard is missing or does not match the digest in the manifest.
func DecodeBase(b Base) (*Config, error) {
	if len(b.Shards) != len(b.Manifest.Shards) {
		return nil, eris.Errorf("base of revision %d has %d shards, but the manifest lists %d", b.Manifest.Revision, len(b.Shards), len(b.Manifest.Shards))
	}
	config := New()
	config.Revision = b.Manifest.Revision
	records := 0
	for i, shard := range b.Shards {
		if digest(shard) != b.Manifest.Shards[i].Digest {
			return nil, eris.Errorf("shard %d of the base of revision %d does not match its digest", i, b.Manifest.Revision)
		}
		n, err := config.addShard(shard)
		if err != nil {
			return nil, eris.Wrapf(err, "shard %d of the base of revision %d", i, b.Manifest.Revision)
		}
		records += n
	}
	if records != b.Manifest.Records {
		return nil, eris.Errorf("base of revision %d has %d records, but the manifest specifies %d", b.Manifest.Revision, records, b.Manifest.Records)
	}
	return config, nil
}

func (c *Config) addShard(shard []byte) (int, error) {
	var changes []Change
	if err := json.Unmarshal(shard, &changes); err != nil {
		return 0, eris.Wrap(err, "decode shard")
	}
	for _, change := range changes {
		if err := c.apply(change); err != nil {
			return 0, err
		}
	}
	return len(changes), nil
}

// changes yields the changes that turn an empty configuration into this one, in a fixed
// order.
func (c *Config) changes() iter.Seq2[Change, error] {
	return func(yield func(Change, error) bool) {
		_ = yieldRecords(yield, TableAccounts, c.Accounts.All()) &&
			yieldRecords(yield, TableAPIKeys, c.APIKeys.All()) &&
			yieldRecords(yield, TableModels, sorted(c.Models)) &&
			yieldRecords(yield, TableRoutes, sorted(c.Routes)) &&
			yieldRecords(yield, TableRollouts, sorted(c.Rollouts)) &&
			yieldRecords(yield, TableDrains, sorted(c.Drains)) &&
			yieldRecords(yield, TableFailureDomains, sorted(c.FailureDomains)) &&
			yieldRecords(yield, TableHostRoutes, sorted(c.HostRoutes)) &&
			yieldRecords(yield, TableServices, sorted(c.Services)) &&
			yieldRecords(yield, TableLimits, sorted(c.Limits))
	}
}

func yieldRecords[T any](yield func(Change, error) bool, table Table, records iter.Seq2[string, T]) bool {
	for id, record := range records {
		if !yield(Set(table, id, record)) {
			return false
		}
	}
	return true
}

func sorted[T any](records map[string]T) iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		for _, id := range slices.Sorted(maps.Keys(records)) {
			if !yield(id, records[id]) {
				return
			}
		}
	}
}
