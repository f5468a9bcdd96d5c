package emulator

import "container/list"

// CacheStats is the accounting of every block that was ever made.
type CacheStats struct {
	// Created counts blocks made; each ends in exactly one of the next three, or is still held.
	Created int64 `json:"created"`
	// EvictedReused and EvictedUnused count blocks dropped for lack of room.
	EvictedReused int64 `json:"evicted_reused"`
	EvictedUnused int64 `json:"evicted_unused"`
	// ReleasedReused and ReleasedUnused count blocks dropped because their program ended.
	ReleasedReused int64 `json:"released_reused"`
	ReleasedUnused int64 `json:"released_unused"`
	// HeldReused and HeldUnused are still there.
	HeldReused int64 `json:"held_reused"`
	HeldUnused int64 `json:"held_unused"`
	// Hits and Misses count blocks of prompts that were found, or had to be computed.
	Hits   int64 `json:"hits"`
	Misses int64 `json:"misses"`
	// Capacity is the size of the cache.
	Capacity int64 `json:"capacity"`
}

// WastedFraction is the share of all blocks made that were never used again.
func (s CacheStats) WastedFraction() float64 {
	if s.Created == 0 {
		return 0
	}
	return float64(s.EvictedUnused+s.ReleasedUnused+s.HeldUnused) / float64(s.Created)
}

// Add returns the sum over engines.
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
	// program made the block; shared is set once another one used it.
	program string
	shared  bool
	element *list.Element
}

// cache holds blocks, least recently used first out. Pinned blocks stay.
type cache struct {
	capacity int
	blocks   map[uint64]*block
	// idle lists the blocks without pins, the least recently used first.
	idle    *list.List
	account CacheStats
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[uint64]*block), idle: list.New()}
}

func (c *cache) stats() CacheStats {
	stats := c.account
	stats.Capacity = int64(c.capacity)
	for _, item := range c.blocks {
		if item.reused {
			stats.HeldReused++
		} else {
			stats.HeldUnused++
		}
	}
	return stats
}

// pin takes the blocks of a prompt; hits is how many leading ones were there. It fails, and takes
// nothing, if the others do not fit beside what running sequences hold.
func (c *cache) pin(blocks []uint64, program string) (hits int, fits bool) {
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	missing, idleNeeded := 0, 0
	for _, hash := range blocks {
		switch known := c.blocks[hash]; {
		case known == nil:
			missing++
		case known.pins == 0:
			idleNeeded++
		}
	}
	free := c.capacity - len(c.blocks) + c.idle.Len() - idleNeeded
	if missing > free {
		return 0, false
	}
	for position, hash := range blocks {
		c.pinOne(hash, program, position < hits)
	}
	for len(c.blocks) > c.capacity {
		c.evict()
	}
	c.account.Hits += int64(hits)
	c.account.Misses += int64(len(blocks) - hits)
	return hits, true
}

func (c *cache) pinOne(hash uint64, program string, hit bool) {
	item := c.blocks[hash]
	if item == nil {
		item = &block{hash: hash, program: program}
		c.blocks[hash] = item
		c.account.Created++
	}
	if hit {
		item.reused = true
	}
	if item.program != program {
		item.shared = true
	}
	if item.element != nil {
		c.idle.Remove(item.element)
		item.element = nil
	}
	item.pins++
}

func (c *cache) unpin(blocks []uint64) {
	for _, hash := range blocks {
		item := c.blocks[hash]
		if item == nil || item.pins == 0 {
			continue
		}
		item.pins--
		if item.pins == 0 {
			item.element = c.idle.PushBack(item)
		}
	}
}

func (c *cache) evict() {
	oldest := c.idle.Front()
	if oldest == nil {
		return
	}
	item := oldest.Value.(*block)
	c.idle.Remove(oldest)
	delete(c.blocks, item.hash)
	if item.reused {
		c.account.EvictedReused++
	} else {
		c.account.EvictedUnused++
	}
}

// release drops the idle blocks that only one program used.
func (c *cache) release(program string) int {
	released := 0
	for element := c.idle.Front(); element != nil; {
		next := element.Next()
		item := element.Value.(*block)
		if item.program == program && !item.shared {
			c.idle.Remove(element)
			delete(c.blocks, item.hash)
			released++
			if item.reused {
				c.account.ReleasedReused++
			} else {
				c.account.ReleasedUnused++
			}
		}
		element = next
	}
	return released
}

// clearIdle drops all blocks that no running sequence uses.
func (c *cache) clearIdle() {
	for c.idle.Len() > 0 {
		c.evict()
	}
}

// heldBy counts the blocks that only the program uses.
func (c *cache) heldBy(program string) int {
	held := 0
	for _, item := range c.blocks {
		if item.program == program && !item.shared {
			held++
		}
	}
	return held
}
