package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// A client that is cut off from the replicas knows it after a few openings, refuses further ones soon, and
// finds by itself that they are back.
func TestClientKnowsThatReplicasAreOutOfReach(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	client := c.newClient()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go client.WatchReach(ctx)
	assert.NilError(t, c.reserve(client, "one", 100, 1))
	assert.Assert(t, client.Reachable() && client.Steady(""))
	for _, m := range c.machines {
		c.links.set(m.address, true)
	}
	assert.Assert(t, apierr.Is(c.reserve(client, "first", 100, 1), apierr.TurnsUnavailable))
	assert.Assert(t, !client.Steady(""), "one opening that met too few replicas is enough to be careful")
	eventually(t, "the client knows", func() bool {
		return apierr.Is(c.reserve(client, "two", 100, 1), apierr.TurnsUnavailable) && !client.Reachable()
	})
	startedAt := time.Now()
	assert.Assert(t, apierr.Is(c.reserve(client, "three", 100, 1), apierr.TurnsUnavailable))
	assert.Assert(t, time.Since(startedAt) < openTimeout/2)
	for _, m := range c.machines {
		c.links.set(m.address, false)
	}
	eventually(t, "the client finds them again", client.Reachable)
	assert.NilError(t, c.reserve(client, "four", 100, 1))
	assert.Assert(t, client.Steady(""))
}
