package turnstore

import (
	"container/list"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
)

// cache is an LRU cache of turns, bounded in bytes. A turn expires with its retention, since replicas may have dropped
// its predecessors by then.
type cache struct {
	mutex sync.Mutex
	limit int64
	bytes int64
	turns map[string]*list.Element
	// lru has the most recently used turn at the front.
	lru *list.List
}

type cachedTurn struct {
	turn      conversation.Turn
	expiresAt time.Time
}

func newCache(limit int64) *cache {
	return &cache{limit: limit, turns: make(map[string]*list.Element), lru: list.New()}
}

func (c *cache) add(turn conversation.Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns[turn.ID] != nil {
		return
	}
	expiresAt := time.Now().Add(time.Duration(turn.RetentionMillis) * time.Millisecond)
	c.turns[turn.ID] = c.lru.PushFront(&cachedTurn{turn: turn, expiresAt: expiresAt})
	c.bytes += int64(len(turn.Text))
	for c.bytes > c.limit {
		c.evict(c.lru.Back())
	}
}

func (c *cache) evict(element *list.Element) {
	evicted := c.lru.Remove(element).(*cachedTurn)
	delete(c.turns, evicted.turn.ID)
	c.bytes -= int64(len(evicted.turn.Text))
}

func (c *cache) addChain(turns []conversation.Turn) {
	for _, turn := range turns {
		c.add(turn)
	}
}

// chain returns all turns up to id, oldest first, if all of them are cached.
func (c *cache) chain(id string) ([]conversation.Turn, bool) {
	if id == "" {
		return nil, true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	var turns []conversation.Turn
	for id != "" {
		element := c.turns[id]
		if element == nil {
			return nil, false
		}
		cached := element.Value.(*cachedTurn)
		if now.After(cached.expiresAt) {
			c.evict(element)
			return nil, false
		}
		c.lru.MoveToFront(element)
		turns = append(turns, cached.turn)
		id = cached.turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, true
}
