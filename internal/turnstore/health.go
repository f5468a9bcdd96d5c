package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/events"
)

const (
	// lostAfterFailures is how many consecutive opens must fail before the shard counts as lost. A single failure may
	// be due to a replica that is being replaced.
	lostAfterFailures = 2
	// lostOpenTimeout bounds an open while the shard is lost, so that the caller can soon try another gateway.
	lostOpenTimeout = 150 * time.Millisecond
	// probeInterval is the interval between probes of lost shards.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 800 * time.Millisecond
)

// shardHealth tracks whether a shard's replicas form a quorum, as seen by this client's opens.
type shardHealth struct {
	shard  int
	logger *events.Logger

	mutex    sync.Mutex
	failures int
	// lostAt is when the shard was marked as lost; zero unless it is lost.
	lostAt time.Time
}

// recordSuccess notes that a quorum responded, which ends an outage of the shard.
func (h *shardHealth) recordSuccess() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = 0
	if !h.lostAt.IsZero() {
		h.logger.Emit(events.ReplicasRegained, events.F("shard", h.shard), events.F("lost_for_millis", time.Since(h.lostAt).Milliseconds()))
		h.lostAt = time.Time{}
	}
}

// recordFailure notes that an open found no quorum, and marks the shard as lost after lostAfterFailures consecutive
// failures.
func (h *shardHealth) recordFailure(cause error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures++
	if h.failures >= lostAfterFailures && h.lostAt.IsZero() {
		h.lostAt = time.Now()
		h.logger.Emit(events.ReplicasLost, events.F("shard", h.shard), events.F("failures", h.failures), events.F("error", cause))
	}
}

func (h *shardHealth) failing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failures > 0 || !h.lostAt.IsZero()
}

func (h *shardHealth) lost() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.lostAt.IsZero()
}

// shardHealth returns the health of a shard.
func (c *Client) shardHealth(shard int) *shardHealth {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	existing := c.health[shard]
	if existing == nil {
		existing = &shardHealth{shard: shard, logger: c.logger}
		c.health[shard] = existing
	}
	return existing
}

// Reachable reports whether at least half of the shards have a quorum. Turns of the other shards are rejected after
// a short timeout.
func (c *Client) Reachable() bool {
	sets := c.allSets()
	reachable := 0
	for _, set := range sets {
		if !c.shardHealth(set.Shard).lost() {
			reachable++
		}
	}
	return len(sets) == 0 || atLeastHalf(reachable, len(sets))
}

// ShardHealthy reports whether the last open in the shard of a turn found a quorum, or no turn has been opened there yet.
func (c *Client) ShardHealthy(params OpenParams) bool {
	shard, _ := c.shardOf(params.shardKey())
	return !c.shardHealth(shard).failing()
}

// ProbeLostShards probes lost shards until the context ends, to detect when they are back.
func (c *Client) ProbeLostShards(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.probeLostOnce(ctx)
	}
}

// probeLostOnce probes all lost shards and waits until they respond or time out.
func (c *Client) probeLostOnce(ctx context.Context) {
	requestContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for _, set := range c.allSets() {
		shardHealth := c.shardHealth(set.Shard)
		if !shardHealth.lost() {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if c.readable(requestContext, set) {
				shardHealth.recordSuccess()
			}
		}()
	}
	tasks.Wait()
}
