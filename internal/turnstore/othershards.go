package turnstore

import (
	"context"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// foundChain is what one shard knows of a turn and those before it.
type foundChain struct {
	turns []conversation.Turn
	err   error
}

// openFromOtherShard finds the turns before an opened one where other programs have them: a new program may go on from
// a turn of an older one. Its reservation stands already. "No such turn" needs the certainty of all shards.
func (c *Client) openFromOtherShard(ctx context.Context, shard int, opening OpenParams, opened *OpenedTurn) error {
	askContext, stop := context.WithCancel(ctx)
	defer stop()
	others := c.allSets()
	found := make(chan foundChain, len(others))
	asked := 0
	for _, set := range others {
		if set.Shard == shard {
			continue
		}
		asked++
		go func() { found <- c.chainIn(askContext, set.Shard, opening.Previous) }()
	}
	var refusal error = noSuchTurn(opening.Previous)
	for range asked {
		chain := <-found
		if chain.err == nil {
			c.use(opened, chain.turns, shard)
			return nil
		}
		if !apierr.Is(chain.err, apierr.NoSuchTurn) {
			refusal = chain.err
		}
	}
	return refusal
}

// chainIn reads a turn and those before it from one shard. The error is a NoSuchTurn or a TurnsUnavailable.
func (c *Client) chainIn(ctx context.Context, shard int, previous string) foundChain {
	var read OpenedTurn
	err := c.openAtReplicas(ctx, shard, OpenParams{Previous: previous, Budget: -1}, &read, true)
	return foundChain{turns: read.chain, err: err}
}
