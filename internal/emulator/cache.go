package emulator

import "container/list"

// CacheStats counts all blocks ever created, by whether they were evicted, released or are still cached, and the hits and
// misses of prompts.
type CacheStats struct {
	// Created counts blocks inserted. It equals the sum of the evicted, released and held counts.
	Created int64 `json:"created"`
	// EvictedReused and EvictedUnused count blocks evicted to make room, with and without a hit.
	EvictedReused int64 `json:"evicted_reused"`
	EvictedUnused int64 `json:"evicted_unused"`
	// ReleasedReused and ReleasedUnused count blocks dropped when their program ended.
	ReleasedReused int64 `json:"released_reused"`
	ReleasedUnused int64 `json:"released_unused"`
	// HeldReused and HeldUnused count blocks still in the cache.
	HeldReused int64 `json:"held_reused"`
	HeldUnused int64 `json:"held_unused"`
	// Hits and Misses count prompt blocks that were cached, or had to be computed.
	Hits   int64 `json:"hits"`
	Misses int64 `json:"misses"`
	// Capacity is the size of the cache in blocks.
	Capacity int64 `json:"capacity"`
}

// WastedFraction returns the fraction of created blocks that never had a hit.
func (s CacheStats) WastedFraction() float64 {
	if s.Created == 0 {
		return 0
	}
	return float64(s.EvictedUnused+s.ReleasedUnused+s.HeldUnused) / float64(s.Created)
}

// Add returns the field-wise sum of s and other.
func (s CacheStats) Add(other CacheStats) CacheStats {
	return CacheStats{
		Created:        s.Created + other.Created,
		EvictedReused:  s.EvictedReused + other.EvictedReused,
		EvictedUnused:  s.EvictedUnused + other.EvictedUnused,
		ReleasedReused: s.ReleasedReused + other.ReleasedReused,
		ReleasedUnused: s.ReleasedUnused + other.ReleasedUnused,
		HeldReused:     s.HeldReused + other.HeldReused,
		HeldUnused:     s.HeldUnused + other.HeldUnused,
		Hits:           s.Hits + other.Hits,
		Misses:         s.Misses + other.Misses,
		Capacity:       s.Capacity + other.Capacity,
	}
}

type block struct {
	hash uint64
	// pins counts the running sequences that use the block.
	pins   int
	reused bool
	// program created the block; shared is set when another program uses it.
	program string
	shared  bool
	element *list.Element
}

// cache is an LRU cache of blocks. Pinned blocks can't be evicted.
type cache struct {
	capacity int
	blocks   map[uint64]*block
	// idle lists the unpinned blocks, least recently used first.
	idle     *list.List
	counters CacheStats
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[uint64]*block), idle: list.New()}
}

func (c *cache) stats() CacheStats {
	stats := c.counters
	stats.Capacity = int64(c.capacity)
	for _, b := range c.blocks {
		if b.reused {
			stats.HeldReused++
		} else {
			stats.HeldUnused++
		}
	}
	return stats
}

// pin pins the blocks of a prompt and inserts the missing ones; hits is the length of the cached prefix.
// If the missing blocks don't fit beside the pinned ones, it returns false and changes nothing.
func (c *cache) pin(blocks []uint64, program string) (hits int, fits bool) {
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	missing, idleNeeded := 0, 0
	for _, hash := range blocks {
		switch cached := c.blocks[hash]; {
		case cached == nil:
			missing++
		case cached.pins == 0:
			idleNeeded++
		}
	}
	free := c.capacity - len(c.blocks) + c.idle.Len() - idleNeeded
	if missing > free {
		return 0, false
	}
	for index, hash := range blocks {
		c.pinBlock(hash, program, index < hits)
	}
	for len(c.blocks) > c.capacity {
		c.evict()
	}
	c.counters.Hits += int64(hits)
	c.counters.Misses += int64(len(blocks) - hits)
	return hits, true
}

func (c *cache) pinBlock(hash uint64, program string, hit bool) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash, program: program}
		c.blocks[hash] = b
		c.counters.Created++
	}
	if hit {
		b.reused = true
	}
	if b.program != program {
		b.shared = true
	}
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
	b.pins++
}

func (c *cache) unpin(blocks []uint64) {
	for _, hash := range blocks {
		b := c.blocks[hash]
		if b == nil || b.pins == 0 {
			continue
		}
		b.pins--
		if b.pins == 0 {
			b.element = c.idle.PushBack(b)
		}
	}
}

func (c *cache) evict() {
	front := c.idle.Front()
	if front == nil {
		return
	}
	b := front.Value.(*block)
	c.idle.Remove(front)
	delete(c.blocks, b.hash)
	if b.reused {
		c.counters.EvictedReused++
	} else {
		c.counters.EvictedUnused++
	}
}

// release drops the idle blocks that only this program has used and returns their number.
func (c *cache) release(program string) int {
	released := 0
	for element := c.idle.Front(); element != nil; {
		next := element.Next()
		b := element.Value.(*block)
		if b.program == program && !b.shared {
			c.idle.Remove(element)
			delete(c.blocks, b.hash)
			released++
			if b.reused {
				c.counters.ReleasedReused++
			} else {
				c.counters.ReleasedUnused++
			}
		}
		element = next
	}
	return released
}

// clearIdle evicts all unpinned blocks.
func (c *cache) clearIdle() {
	for c.idle.Len() > 0 {
		c.evict()
	}
}

// heldBy counts the blocks that only this program has used.
func (c *cache) heldBy(program string) int {
	held := 0
	for _, b := range c.blocks {
		if b.program == program && !b.shared {
			held++
		}
	}
	return held
}
