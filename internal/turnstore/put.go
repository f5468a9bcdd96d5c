package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
)

// putResult is one replica's response to a write.
type putResult struct {
	member   Member
	response putResponse
	err      error
}

// Put writes records to a program's shard and returns once a write quorum has synced them. It retries until the context
// ends.
func (c *Client) Put(ctx context.Context, program string, records []conversation.Record) error {
	synced := make(map[string]bool)
	for {
		shard, known := c.shardOf(program)
		set := c.setOf(shard)
		if known && c.putOnce(ctx, set, records, synced) {
			c.cacheTurns(records)
			return nil
		}
		select {
		case <-ctx.Done():
			return unavailable("too few replicas stored the record: %d", len(synced))
		case <-time.After(putRetryDelay):
		}
	}
}

func (c *Client) cacheTurns(records []conversation.Record) {
	for _, record := range records {
		if record.Turn != nil {
			c.cache.add(*record.Turn)
		}
	}
}

// putOnce sends records to the replicas that have not stored them yet. Pending requests continue in the background
// after the quorum is reached.
func (c *Client) putOnce(ctx context.Context, set ReplicaSet, records []conversation.Record, synced map[string]bool) bool {
	var pending []Member
	for _, member := range set.All() {
		if !synced[member.Name] {
			pending = append(pending, member)
		}
	}
	results := make(chan putResult, len(pending))
	for _, member := range pending {
		go c.putTo(member, putRequest{Shard: set.Shard, Epoch: set.Epoch, Records: records}, results)
	}
	for range pending {
		select {
		case result := <-results:
			if result.response.Newer != nil {
				c.ApplySet(*result.response.Newer)
				return false
			}
			if result.err == nil {
				synced[result.member.Name] = true
			}
		case <-ctx.Done():
			return false
		}
		if set.HasWriteQuorum(synced) {
			return true
		}
	}
	return set.HasWriteQuorum(synced)
}

func (c *Client) putTo(member Member, request putRequest, results chan<- putResult) {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	response, err := callWithRetry[putResponse](ctx, c.network, member.Peer(), putKind, request)
	results <- putResult{member: member, response: response, err: err}
}

// Settle records, in the background, how many tokens a turn generated and on which engine. If that fails, the turn is
// charged its full reservation.
func (c *Client) Settle(opened *OpenedTurn, tokens int64, engine string) {
	c.mutex.Lock()
	if c.settling >= maxSettling {
		c.mutex.Unlock()
		return
	}
	c.settling++
	c.mutex.Unlock()
	record := opened.Settled(tokens, engine)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = c.Put(ctx, opened.program, []conversation.Record{record})
		c.mutex.Lock()
		c.settling--
		c.mutex.Unlock()
	}()
}
