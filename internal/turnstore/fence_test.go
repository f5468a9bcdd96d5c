package turnstore

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// newStalledReplica returns a replica of a set of three whose disk accepts writes only after release is called.
func newStalledReplica(t *testing.T) (replica *Replica, release func()) {
	t.Helper()
	network := transport.New(transport.Options{Cluster: "test", NodeID: "a", Logger: events.Discard()})
	t.Cleanup(network.Close)
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	replica, err := NewReplica(ReplicaOptions{Self: members[0], Folder: memoryFolder(t), FirstStart: true, Copies: 2, Size: 3}, network, events.Discard())
	assert.NilError(t, err)
	replica.ApplySet(ReplicaSet{Epoch: 1, Members: members, Copies: 2, Size: 3})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	close(ended)
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return replica, func() {
		ended = make(chan struct{})
		go func() {
			defer close(ended)
			replica.log.Run(ctx)
		}()
	}
}

// waitQueued waits until an append waits for the disk.
func waitQueued(t *testing.T, replica *Replica) {
	t.Helper()
	eventually(t, "the append waits for the disk", func() bool { return replica.log.Queued() > 0 })
}

// fenceWithoutSelf makes a replica learn the set in which it retires.
func fenceWithoutSelf(t *testing.T, replica *Replica) {
	t.Helper()
	joint := replica.ReplicaSet()
	joint.Epoch++
	joint.Next, joint.ChangedBy = without(joint.Members, "a"), "a"
	response, err := replica.serveFence(t.Context(), transport.Peer{}, fenceRequest{ReplicaSet: joint})
	assert.NilError(t, err)
	assert.Equal(t, response.Epoch, joint.Epoch)
}

// A write of the old epoch that waits for the disk while the replica is fenced must not be acknowledged: whoever pulled
// after the fence may lack it.
func TestFencedReplicaDoesNotAcknowledgeQueuedWrite(t *testing.T) {
	t.Parallel()
	replica, release := newStalledReplica(t)
	type result struct {
		response putResponse
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := replica.servePut(t.Context(), transport.Peer{}, putRequest{Epoch: 1, Records: []conversation.Record{{Turn: &conversation.Turn{ID: "t", RetentionMillis: 60_000}}}})
		results <- result{response, err}
	}()
	waitQueued(t, replica)
	fenceWithoutSelf(t, replica)
	release()
	got := <-results
	assert.NilError(t, got.err)
	assert.Assert(t, got.response.Newer != nil, "a write of the old epoch was acknowledged after the fence")
	assert.Equal(t, got.response.Newer.Epoch, int64(2))
}

// A reservation of the old epoch that waits for the disk while the replica is fenced must not count: the members of the
// new set may lack the charge, and the program would exceed its budget.
func TestFencedReplicaDoesNotGrantQueuedReservation(t *testing.T) {
	t.Parallel()
	replica, release := newStalledReplica(t)
	type result struct {
		response openResponse
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := replica.serveOpen(t.Context(), transport.Peer{}, openRequest{Epoch: 1, Reserve: &conversation.Charge{Program: "p", Turn: "t", Tokens: 60}})
		results <- result{response, err}
	}()
	waitQueued(t, replica)
	fenceWithoutSelf(t, replica)
	release()
	got := <-results
	assert.NilError(t, got.err)
	assert.Assert(t, got.response.Newer != nil, "a reservation of the old epoch was granted after the fence")
	assert.Equal(t, len(got.response.Charges), 0)
}
