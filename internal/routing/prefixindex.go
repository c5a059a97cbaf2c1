package routing

import (
	"sync"
	"time"
)

const (
	// indexSets and indexWays bound the index to 65,536 blocks in 2.5 MB.
	indexSets = 1 << 14
	indexWays = 4
	// holdersPerBlock bounds the upstreams that are remembered for a block.
	holdersPerBlock = 4
	indexLocks      = 64
	// prefixAge is when an entry without use or event no longer counts. Engines under
	// load replace an unused prefix within minutes.
	prefixAge = 10 * time.Minute
	// maxMatches bounds the upstreams that one lookup returns.
	maxMatches = 8
)

type indexEntry struct {
	hash    uint64
	used    int64
	holders [holdersPerBlock]uint32
	next    uint8
}

// PrefixIndex remembers which upstreams hold which prompt prefixes in their caches.
// It learns from the requests sent and is corrected by the engines' cache events. It
// is safe for concurrent use.
type PrefixIndex struct {
	locks [indexLocks]sync.Mutex
	sets  [indexSets][indexWays]indexEntry
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{} }

// match is an upstream that holds the first blocks of a prompt.
type match struct {
	number uint32
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

// Add records that the upstream with this number holds the prefix with these hashes.
func (x *PrefixIndex) Add(now int64, number uint32, hashes []uint64) {
	for _, hash := range hashes {
		x.add(now, number, hash)
	}
}

func (x *PrefixIndex) add(now int64, number uint32, hash uint64) {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil {
		entry = x.replace(hash)
	}
	entry.used = now
	for _, holder := range entry.holders {
		if holder == number {
			return
		}
	}
	entry.holders[entry.next] = number
	entry.next = (entry.next + 1) % holdersPerBlock
}

// replace takes the entry of the set that was unused for longest.
func (x *PrefixIndex) replace(hash uint64) *indexEntry {
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

// Remove records that the upstream no longer holds these blocks.
func (x *PrefixIndex) Remove(number uint32, hashes []uint64) {
	for _, hash := range hashes {
		x.remove(number, hash)
	}
}

func (x *PrefixIndex) remove(number uint32, hash uint64) {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil {
		return
	}
	for i := range entry.holders {
		if entry.holders[i] == number {
			entry.holders[i] = 0
		}
	}
}

// matches appends the upstreams that hold the longest prefixes, the longest first.
func (x *PrefixIndex) matches(now int64, hashes []uint64, found []match) []match {
	for i := len(hashes) - 1; i >= 0 && len(found) < maxMatches; i-- {
		found = x.matchesOf(now, hashes[i], i+1, found)
	}
	return found
}

func (x *PrefixIndex) matchesOf(now int64, hash uint64, blocks int, found []match) []match {
	lock := x.lock(hash)
	lock.Lock()
	defer lock.Unlock()
	entry := x.find(hash)
	if entry == nil || now-entry.used > int64(prefixAge) {
		return found
	}
	for _, holder := range entry.holders {
		if holder != 0 && len(found) < maxMatches && !matched(found, holder) {
			found = append(found, match{number: holder, blocks: blocks})
		}
	}
	return found
}

func matched(found []match, number uint32) bool {
	for i := range found {
		if found[i].number == number {
			return true
		}
	}
	return false
}
