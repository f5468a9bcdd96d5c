package turnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// catchUpTarget is the time from the start of a new machine until the loss of another one must be tolerated.
const catchUpTarget = 4300 * time.Millisecond

// putMany stores turns named "turn-0" and so on.
func (c *cluster) putMany(turns int) {
	c.t.Helper()
	const batch = 200
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for first := 0; first < turns; first += batch {
		var records []conversation.Record
		for number := first; number < min(first+batch, turns); number++ {
			records = append(records, conversation.Record{Turn: &conversation.Turn{ID: fmt.Sprint("turn-", number), Text: []byte("text"), RetentionMillis: 600_000}})
		}
		assert.NilError(c.t, c.client.Put(ctx, "", records))
	}
	eventually(c.t, "all replicas have the turns", func() bool {
		for _, m := range c.machines {
			if m.turns() != turns {
				return false
			}
		}
		return true
	})
}

// replace takes a machine away for good and starts an empty one, and returns the new one once it has run for
// catchUpTarget.
func (c *cluster) replace(lost *machine) *machine {
	c.t.Helper()
	c.kill(lost)
	c.remove(lost)
	added := c.add("newcomer")
	timer := time.NewTimer(catchUpTarget)
	defer timer.Stop()
	<-timer.C
	return added
}

// A new replica with many records to fetch over a slow link joins in time. It fetches each record from one peer only.
func TestNewcomerWithManyRecordsJoinsInTime(t *testing.T) {
	t.Parallel()
	const turns = 6400
	c := newCluster(t, 3)
	c.putMany(turns)
	c.fetchDelay.Store(int64(100 * time.Millisecond))
	served := c.served.Load()
	newcomer := c.replace(c.machines[0])
	set := c.store.set()
	assert.Assert(t, set.Has(newcomer.name) && !set.Changing(), "after %s the new replica has %d turns, and the set is %+v", catchUpTarget, newcomer.turns(), set)
	assert.Equal(t, newcomer.turns(), turns)
	assert.Assert(t, c.served.Load()-served <= turns*11/10, "%d records were fetched", c.served.Load()-served)
}

// A peer loses its disk between the list of its keys and the fetch: what it leaves out then does not count as pulled.
func TestPullFromPeerThatLosesItsDiskDoesNotCount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	source := c.machines[0]
	eventually(t, "the source has the turn", func() bool { return source.turns() == 1 })
	listed := source.process.replica
	network := transport.New(transport.Options{Cluster: "test", NodeID: "puller", Logger: events.Discard()})
	t.Cleanup(network.Close)
	puller, err := NewReplica(ReplicaOptions{Self: Member{Name: "puller"}, Folder: memoryFolder(t), Copies: 2, Size: 3}, network, events.Discard())
	assert.NilError(t, err)
	puller.ApplySet(c.store.set())
	member := Member{Name: source.name, Address: source.address}
	progress := puller.progressOf(member)
	digest, err := puller.requestDigest(t.Context(), 0, member, progress, false)
	assert.NilError(t, err)
	assert.Assert(t, digest.Complete && len(digest.Keys) == 1)
	c.wipe(source)
	// The empty replica must not catch up before the fetch.
	for _, m := range c.machines[1:] {
		c.kill(m)
	}
	c.start(source)
	assert.Assert(t, source.process.replica != listed)
	assert.Assert(t, !puller.fetch(t.Context(), member, digest.Incarnation, progress, digest.Keys), "an empty peer's answer counts as a pull")
}
