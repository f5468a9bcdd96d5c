package turnstore

import (
	"context"
	"time"
)

// confirmation is the second round of a reservation: the members that have stored it are asked again for the program's
// charges. The request is the same, since a replica that holds a charge already only lists them, and replicas of earlier
// builds know no other. It is not safe for concurrent use.
type confirmation struct {
	client  *Client
	set     ReplicaSet
	request openRequest
	replies chan openReply
	// timer runs while the other members may still answer the first round; it is nil before a write quorum has.
	timer *time.Timer
	begun bool
	asked map[string]bool
}

// advance is called after each response once a write quorum has stored the reservation. It starts the wait for the other
// members or, once that is over, asks the members that have stored the reservation since.
func (c *confirmation) advance(ctx context.Context, collector *openCollector) {
	if c.timer == nil {
		c.timer = time.NewTimer(confirmDelay)
		c.asked = make(map[string]bool)
	}
	if !c.begun {
		return
	}
	request := openRequest{Shard: c.request.Shard, Epoch: c.request.Epoch, Reserve: c.request.Reserve}
	for _, member := range c.set.All() {
		if collector.reserved[member.Name] && !c.asked[member.Name] {
			c.asked[member.Name] = true
			c.client.network.Go(func() { c.client.callOpen(ctx, member, request, true, c.replies) })
		}
	}
}

// due returns the channel that fires when the wait for the other members is over.
func (c *confirmation) due() <-chan time.Time {
	if c.timer == nil {
		return nil
	}
	return c.timer.C
}

func (c *confirmation) begin() { c.begun = true }

func (c *confirmation) stop() {
	if c.timer != nil {
		c.timer.Stop()
	}
}
