package standin

import "container/list"

// prefixCache is an LRU cache of prompt blocks, identified by their hashes.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	// The first block is moved last, so that the end of a prompt is evicted first.
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
	return n
}

// insert adds the missing blocks and returns the added and the evicted ones.
func (c *prefixCache) insert(hashes []uint64) (stored, removed []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if element, ok := c.blocks[hashes[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.order.PushFront(hashes[i])
		stored = append(stored, hashes[i])
	}
	for len(c.blocks) > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		removed = append(removed, hash)
	}
	return stored, removed
}

// clear evicts all blocks and returns them.
func (c *prefixCache) clear() []uint64 {
	var removed []uint64
	for hash := range c.blocks {
		removed = append(removed, hash)
	}
	c.order.Init()
	clear(c.blocks)
	return removed
}
