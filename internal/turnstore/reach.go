package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/events"
)

const (
	// lostAfterFailures is how many openings in a row must have met too few replicas before these count as out
	// of reach. One alone may have met a replica that is just being replaced.
	lostAfterFailures = 2
	// lostOpenTimeout bounds an opening while they do: the caller is better off at another gateway.
	lostOpenTimeout = 150 * time.Millisecond
	// reachInterval is how often replicas that are out of reach are tried.
	reachInterval = 200 * time.Millisecond
	reachTimeout  = 800 * time.Millisecond
)

// reach is whether enough replicas of a shard answer this node, as its own openings show.
type reach struct {
	shard  int
	logger *events.Logger

	mutex    sync.Mutex
	failures int
	lostAt   time.Time
}

// reached notes that enough replicas have answered.
func (r *reach) reached() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = 0
	if !r.lostAt.IsZero() {
		r.logger.Emit(events.ReplicasRegained, events.F("shard", r.shard), events.F("lost_for_millis", time.Since(r.lostAt).Milliseconds()))
		r.lostAt = time.Time{}
	}
}

// failed notes that too few have.
func (r *reach) failed(cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures++
	if r.failures >= lostAfterFailures && r.lostAt.IsZero() {
		r.lostAt = time.Now()
		r.logger.Emit(events.ReplicasLost, events.F("shard", r.shard), events.F("failures", r.failures), events.F("error", cause))
	}
}

func (r *reach) failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failures > 0 || !r.lostAt.IsZero()
}

func (r *reach) lost() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.lostAt.IsZero()
}

// reach is that of a shard.
func (c *Client) reach(shard int) *reach {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.reaches[shard]
	if known == nil {
		known = &reach{shard: shard, logger: c.logger}
		c.reaches[shard] = known
	}
	return known
}

// Reachable tells whether enough replicas answer in half of the shards. Turns of the others are refused soon.
func (c *Client) Reachable() bool {
	known := c.allSets()
	reachable := 0
	for _, set := range known {
		if !c.reach(set.Shard).lost() {
			reachable++
		}
	}
	return len(known) == 0 || suffices(reachable, len(known))
}

// ShardHealthy tells whether the last opening of a program's shard met enough replicas, or there was none yet.
func (c *Client) ShardHealthy(program string) bool {
	shard, _ := c.shardOf(program)
	return !c.reach(shard).failing()
}

// ProbeLostShards tries replicas that are out of reach until the context ends.
func (c *Client) ProbeLostShards(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.tryLost(ctx)
	}
}

// tryLost asks the replicas of all shards that are out of reach, and returns once all have answered or are given up.
func (c *Client) tryLost(ctx context.Context) {
	askContext, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for _, set := range c.allSets() {
		reach := c.reach(set.Shard)
		if !reach.lost() {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if c.readable(askContext, set) {
				reach.reached()
			}
		}()
	}
	tasks.Wait()
}
