package turnstore

import (
	"container/list"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
)

// cache keeps the turns that were used last, up to a number of bytes. A turn is left out once it is
// older than its retention, for replicas may have dropped what was before it.
type cache struct {
	mutex sync.Mutex
	limit int64
	bytes int64
	turns map[string]*list.Element
	// recent has the turn that was used last in front.
	recent *list.List
}

type cachedTurn struct {
	turn     conversation.Turn
	keepTill time.Time
}

func newCache(limit int64) *cache {
	return &cache{limit: limit, turns: make(map[string]*list.Element), recent: list.New()}
}

func (c *cache) add(turn conversation.Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns[turn.ID] != nil {
		return
	}
	keepTill := time.Now().Add(time.Duration(turn.RetentionMillis) * time.Millisecond)
	c.turns[turn.ID] = c.recent.PushFront(&cachedTurn{turn: turn, keepTill: keepTill})
	c.bytes += int64(len(turn.Text))
	for c.bytes > c.limit {
		c.drop(c.recent.Back())
	}
}

func (c *cache) drop(element *list.Element) {
	dropped := c.recent.Remove(element).(*cachedTurn)
	delete(c.turns, dropped.turn.ID)
	c.bytes -= int64(len(dropped.turn.Text))
}

func (c *cache) addChain(turns []conversation.Turn) {
	for _, turn := range turns {
		c.add(turn)
	}
}

// chain returns all turns up to id, oldest first, if all are here.
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
		if now.After(cached.keepTill) {
			c.drop(element)
			return nil, false
		}
		c.recent.MoveToFront(element)
		turns = append(turns, cached.turn)
		id = cached.turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, true
}
