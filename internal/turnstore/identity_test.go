package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// takeAddress starts a machine again at the address of another machine, which is down.
func (c *cluster) takeAddress(m, lost *machine) {
	c.t.Helper()
	c.kill(m)
	m.address = lost.address
	c.start(m)
}

// A replica of another cluster that listens at the address of a member must not count as that member, whatever its
// name: a wiped replica would become complete without the records of the member that is down.
func TestReplicaOfAnotherClusterDoesNotCountAsMember(t *testing.T) {
	t.Parallel()
	for _, foreign := range []int{1, 2} {
		t.Run([]string{1: "same name", 2: "another name"}[foreign], func(t *testing.T) {
			t.Parallel()
			c, other := newCluster(t, 3), newCluster(t, 3)
			c.kill(c.machines[2])
			c.put("a", "")
			// Stop the client's background writes, or the third machine would receive the record when it is back.
			c.client.network.Close()
			c.wipe(c.machines[0])
			c.kill(c.machines[1])
			other.takeAddress(other.machines[foreign], c.machines[1])
			c.start(c.machines[0])
			c.start(c.machines[2])
			for range 3 {
				_, err := c.read("a")
				assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
			}
			assert.Assert(t, !c.machines[0].complete(), "the wiped replica counted a replica of another cluster")
			other.kill(other.machines[foreign])
			c.start(c.machines[1])
			eventually(t, "the turn is readable again", func() bool {
				_, err := c.read("a")
				return err == nil
			})
		})
	}
}

// A write that is stored at one member and at a replica of another cluster has one copy too few.
func TestWriteToAnotherClusterIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	c, other := newCluster(t, 3), newCluster(t, 3)
	c.kill(c.machines[1])
	c.kill(c.machines[2])
	other.takeAddress(other.machines[1], c.machines[1])
	client := c.newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	err := client.Put(ctx, "", []conversation.Record{{Turn: &conversation.Turn{ID: "a", Text: []byte("a"), RetentionMillis: 60_000}}})
	assert.Assert(t, err != nil, "the write was acknowledged with one copy")
	assert.Equal(t, other.machines[1].turns(), 0, "the other cluster stored the turn")
}

// A replica of the same cluster that took over the address of a member that is down must not count as that member.
func TestReplicaAtFormerAddressDoesNotCountAsMember(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	var spare *machine
	for _, m := range c.machines {
		if !c.store.set().Has(m.name) {
			spare = m
		}
	}
	c.kill(spare)
	members := c.live()
	c.kill(members[1])
	c.kill(members[2])
	c.takeAddress(spare, members[1])
	client := c.newClient()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := client.Put(ctx, "", []conversation.Record{{Turn: &conversation.Turn{ID: "a", Text: []byte("a"), RetentionMillis: 60_000}}})
	assert.Assert(t, err != nil, "the write was acknowledged with one copy")
}

// A set of another cluster must not replace the known one, whether it differs in the cluster ID or, if that is unknown, in
// the number of shards. Going back and forth between the two made the client panic.
func TestSetOfAnotherClusterIsIgnored(t *testing.T) {
	t.Parallel()
	own := ReplicaSet{Epoch: 3, Members: []Member{{Name: "a"}}, Copies: 1, Size: 1}
	identified := own
	identified.ClusterID = "own"
	otherID, otherShards := identified, own
	otherID.Epoch, otherID.ClusterID = 9, "other"
	otherShards.Epoch, otherShards.Shards = 9, 2
	for _, test := range []struct{ own, foreign ReplicaSet }{{identified, otherID}, {own, otherShards}} {
		network := transport.New(transport.Options{Cluster: "test", NodeID: "client", Logger: events.Discard()})
		t.Cleanup(network.Close)
		client := NewClient(ClientOptions{}, network, events.Discard())
		client.ApplySet(test.own)
		client.ApplySet(test.foreign)
		assert.Equal(t, client.ReplicaSet().Epoch, test.own.Epoch)
		next := test.own
		next.Epoch = 10
		client.ApplySet(next)
		assert.Equal(t, client.ReplicaSet().Epoch, next.Epoch)
	}
}

// A replica of an earlier build drops the cluster ID when it changes a set.
func TestClusterIDOutlivesEarlierBuilds(t *testing.T) {
	t.Parallel()
	known := make(sets)
	assert.Assert(t, known.apply(ReplicaSet{Epoch: 1, ClusterID: "own"}))
	assert.Assert(t, known.apply(ReplicaSet{Epoch: 2}))
	assert.Equal(t, known[0].ClusterID, "own")
}
