package routing

import (
	"sync"
	"time"
)

const (
	// indexSets and indexWays limit the index to 65,536 blocks in 2.5 MB.
	indexSets = 1 << 14
	indexWays = 4
	// holdersPerBlock limits the upstreams that are recorded for a block.
	holdersPerBlock = 4
	indexLocks      = 64
	// prefixTTL is how long an entry is valid after its last request or cache event.
	// Engines under load evict an unused prefix within minutes.
	prefixTTL = 10 * time.Minute
	// maxMatches limits the upstreams that one lookup returns.
	maxMatches = 8
)

// indexEntry records the holders of one block. next is the position in holders that is
// overwritten next.
type indexEntry struct {
	hash    uint64
	used    int64
	holders [holdersPerBlock]uint32
	next    uint8
}

// PrefixIndex is a set-associative index of the upstreams that have a prompt prefix in
// their caches. It is updated by the requests sent and corrected by the engines' cache
// events. It is safe for concurrent use.
type PrefixIndex struct {
	locks [indexLocks]sync.Mutex
	sets  [indexSets][indexWays]indexEntry
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{} }

// match is a holder of the first blocks of a prompt.
type match struct {
	holder uint32
	blocks int
}

func (x *PrefixIndex) lock(hash uint64) *sync.Mutex {
	return &x.locks[hash%indexSets%indexLocks]
}

func (x *PrefixIndex) find(hash uint64) *indexEntry {
	set := &x.sets[hash%indexSets]
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// Add records that the holder has the prefix with the given block hashes in its cache.
func (x *PrefixIndex) Add(now int64, holder uint32, hashes []uint64) {
	for _, hash := range hashes {
		x.add(now, holder, hash)
	}
}

func (x *PrefixIndex) add(now int64, holder uint32, hash uint64) {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil {
		entry = x.evict(hash)
	}
	entry.used = now
	for _, known := range entry.holders {
		if known == holder {
			return
		}
	}
	entry.holders[entry.next] = holder
	entry.next = (entry.next + 1) % holdersPerBlock
}

// evict replaces the least recently used entry of the set with an empty one for hash.
func (x *PrefixIndex) evict(hash uint64) *indexEntry {
	set := &x.sets[hash%indexSets]
	oldest := &set[0]
	for i := range set {
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	*oldest = indexEntry{hash: hash}
	return oldest
}

// Remove records that the holder no longer has these blocks in its cache.
func (x *PrefixIndex) Remove(holder uint32, hashes []uint64) {
	for _, hash := range hashes {
		x.remove(holder, hash)
	}
}

func (x *PrefixIndex) remove(holder uint32, hash uint64) {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil {
		return
	}
	for i := range entry.holders {
		if entry.holders[i] == holder {
			entry.holders[i] = 0
		}
	}
}

// matches appends to found the holders of the longest cached prefixes, longest first.
func (x *PrefixIndex) matches(now int64, hashes []uint64, found []match) []match {
	for i := len(hashes) - 1; i >= 0 && len(found) < maxMatches; i-- {
		found = x.appendHolders(now, hashes[i], i+1, found)
	}
	return found
}

// appendHolders appends to found the holders of one block that are not in it yet.
func (x *PrefixIndex) appendHolders(now int64, hash uint64, blocks int, found []match) []match {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil || now-entry.used > int64(prefixTTL) {
		return found
	}
	for _, holder := range entry.holders {
		if holder != 0 && len(found) < maxMatches && !containsHolder(found, holder) {
			found = append(found, match{holder: holder, blocks: blocks})
		}
	}
	return found
}

func containsHolder(found []match, holder uint32) bool {
	for i := range found {
		if found[i].holder == holder {
			return true
		}
	}
	return false
}
