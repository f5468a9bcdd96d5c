package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
)

// putReply is what one replica said to an offer of records.
type putReply struct {
	member Member
	answer putAnswer
	err    error
}

// Put writes records to the shard of a program and returns once enough replicas have synced them. It offers them again
// until the context ends.
func (c *Client) Put(ctx context.Context, program string, records []conversation.Record) error {
	synced := make(map[string]bool)
	for {
		shard, known := c.shardOf(program)
		set := c.setOf(shard)
		if known && c.offer(ctx, set, records, synced) {
			c.remember(records)
			return nil
		}
		select {
		case <-ctx.Done():
			return unavailable("too few replicas took the record: %d", len(synced))
		case <-time.After(putInterval):
		}
	}
}

func (c *Client) remember(records []conversation.Record) {
	for _, record := range records {
		if record.Turn != nil {
			c.cache.add(*record.Turn)
		}
	}
}

// offer sends records to the replicas that have not taken them yet. The call goes on at the others
// after enough have answered.
func (c *Client) offer(ctx context.Context, set ReplicaSet, records []conversation.Record, synced map[string]bool) bool {
	var asked []Member
	for _, member := range set.All() {
		if !synced[member.Name] {
			asked = append(asked, member)
		}
	}
	replies := make(chan putReply, len(asked))
	for _, member := range asked {
		go c.putTo(member, putRequest{Shard: set.Shard, Epoch: set.Epoch, Records: records}, replies)
	}
	for range asked {
		select {
		case reply := <-replies:
			if reply.answer.Newer != nil {
				c.ApplySet(*reply.answer.Newer)
				return false
			}
			if reply.err == nil {
				synced[reply.member.Name] = true
			}
		case <-ctx.Done():
			return false
		}
		if set.Written(synced) {
			return true
		}
	}
	return set.Written(synced)
}

func (c *Client) putTo(member Member, request putRequest, replies chan<- putReply) {
	ctx, cancel := context.WithTimeout(context.Background(), putAttempt)
	defer cancel()
	answer, err := askUntilAnswered[putAnswer](ctx, c.network, member.Address, putKind, request)
	replies <- putReply{member: member, answer: answer, err: err}
}

// Settle tells, in the background, what a turn generated in the end, and where. If that fails, the turn counts
// at its most.
func (c *Client) Settle(opened *OpenedTurn, tokens int64, engine string) {
	c.mutex.Lock()
	if c.settling >= maximalSettling {
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
