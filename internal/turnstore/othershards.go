package turnstore

import (
	"context"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// chainResult is one shard's result for a turn and its predecessors.
type chainResult struct {
	turns []conversation.Turn
	err   error
}

// openFromOtherShards looks for the previous turns in all other shards, since a new program may continue a turn of an
// older one. The reservation has already been made. NoSuchTurn requires that every shard reports it.
func (c *Client) openFromOtherShards(ctx context.Context, shard int, params OpenParams, opened *OpenedTurn) error {
	requestContext, stop := context.WithCancel(ctx)
	defer stop()
	others := c.allSets()
	results := make(chan chainResult, len(others))
	pending := 0
	for _, set := range others {
		if set.Shard == shard {
			continue
		}
		pending++
		go func() { results <- c.readChain(requestContext, set.Shard, params.Previous) }()
	}
	var failure error = noSuchTurn(params.Previous)
	for range pending {
		result := <-results
		if result.err == nil {
			c.setChain(opened, result.turns, shard)
			return nil
		}
		if !apierr.Is(result.err, apierr.NoSuchTurn) {
			failure = result.err
		}
	}
	return failure
}

// readChain reads a turn and its predecessors from one shard. The error is a NoSuchTurn or a TurnsUnavailable.
func (c *Client) readChain(ctx context.Context, shard int, previous string) chainResult {
	var opened OpenedTurn
	err := c.openInShard(ctx, shard, OpenParams{Previous: previous, Budget: -1}, nil, &opened, true)
	return chainResult{turns: opened.chain, err: err}
}
