package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// A replica whose own disk stalls must not time out the peer from which it pulls, or it would take that peer's place.
func TestPeerDoesNotTimeOutWhileLocalDiskStalls(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	network := transport.New(transport.Options{Cluster: "test", NodeID: "stalled", Logger: events.Discard()})
	t.Cleanup(network.Close)
	// The replica's log is not running, so pulled records wait for the disk.
	stalled, err := NewReplica(ReplicaOptions{Self: Member{Name: "stalled"}, Folder: t.TempDir(), Copies: 2, Size: 3}, network, events.Discard())
	assert.NilError(t, err)
	stalled.ApplySet(c.store.set())
	source := c.store.set().Members[0]
	// Two of three replicas suffice for a write, so the source may not have the turn yet.
	eventually(t, "the source has the turn", func() bool { return c.machineOf(source.Name).turns() == 1 })
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stalled.pullFrom(ctx, source)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	eventually(t, "the peer has responded", func() bool {
		stalled.mutex.Lock()
		defer stalled.mutex.Unlock()
		progress := stalled.peers[source.Name]
		return progress != nil && !progress.lastResponseAt.IsZero() && time.Since(progress.lastResponseAt) < memberTimeout
	})
	// Further rounds skip the peer because its request is in flight.
	rounds := time.NewTicker(membershipInterval)
	defer rounds.Stop()
	for startedAt := time.Now(); time.Since(startedAt) < memberTimeout+membershipInterval; {
		<-rounds.C
		stalled.progressOf(source)
	}
	assert.Equal(t, stalled.timedOutMember([]Member{source}), "")
}
