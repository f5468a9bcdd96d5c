package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
)

// ackLifetime is how long an acknowledgement counts after its request was sent. The replica may have lost its disk since.
// A replica with an empty disk stays incomplete for as long and then pulls again, so either the other acknowledgements of
// the quorum are older than that pull, which then finds the record, or this one has expired. It must exceed openTimeout.
const ackLifetime = time.Second

// acks holds the replicas that have acknowledged a write, and when the acknowledged request was sent.
type acks map[string]time.Time

// counting returns the replicas whose acknowledgements count.
func (a acks) counting(now time.Time) map[string]bool {
	counting := make(map[string]bool, len(a))
	for name, sentAt := range a {
		if now.Sub(sentAt) < ackLifetime {
			counting[name] = true
		}
	}
	return counting
}

// putResult is one replica's response to a write.
type putResult struct {
	member   Member
	sentAt   time.Time
	response putResponse
	err      error
}

// Put writes records to a program's shard and returns once a write quorum has synced them. It retries until the context
// ends.
func (c *Client) Put(ctx context.Context, program string, records []conversation.Record) error {
	synced := make(acks)
	for {
		shard, known := c.shardOf(program)
		set := c.setOf(shard)
		if known && c.putOnce(ctx, set, records, synced) {
			c.cacheTurns(records)
			return nil
		}
		select {
		case <-ctx.Done():
			return unavailable("too few replicas stored the record: %d", len(synced.counting(time.Now())))
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

// putOnce sends records to the replicas whose acknowledgements are missing. Pending requests continue in the background
// after the quorum is reached.
func (c *Client) putOnce(ctx context.Context, set ReplicaSet, records []conversation.Record, synced acks) bool {
	counting := synced.counting(time.Now())
	var pending []Member
	for _, member := range set.All() {
		if !counting[member.Name] {
			pending = append(pending, member)
		}
	}
	results := make(chan putResult, len(pending))
	for _, member := range pending {
		c.network.Go(func() { c.putTo(member, putRequest{Shard: set.Shard, Epoch: set.Epoch, Records: records}, results) })
	}
	for range pending {
		select {
		case result := <-results:
			if result.response.Newer != nil {
				c.ApplySet(*result.response.Newer)
				return false
			}
			if result.err == nil {
				synced[result.member.Name] = result.sentAt
			}
		case <-ctx.Done():
			return false
		}
		if set.HasWriteQuorum(synced.counting(time.Now())) {
			return true
		}
	}
	return set.HasWriteQuorum(synced.counting(time.Now()))
}

func (c *Client) putTo(member Member, request putRequest, results chan<- putResult) {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := callWithRetry[putResponse](ctx, c.network, member.Peer(), putKind, request)
	results <- putResult{member: member, sentAt: sentAt, response: response, err: err}
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
