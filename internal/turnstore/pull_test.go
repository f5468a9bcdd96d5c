package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// A replica whose own disk stands still has heard the peer from which it pulls: it must not take that one's place.
func TestPeerIsHeardWhileTheOwnDiskStandsStill(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	network := transport.New(transport.Options{Cluster: "test", NodeID: "stalled", Logger: events.Discard()})
	t.Cleanup(network.Close)
	// The replica's log does not run: what it pulls waits for the disk.
	stalled, err := NewReplica(ReplicaOptions{Self: Member{Name: "stalled"}, Folder: t.TempDir(), Copies: 2, Size: 3}, network, events.Discard())
	assert.NilError(t, err)
	stalled.ApplySet(c.store.set())
	source := c.store.set().Members[0]
	// Two of three replicas suffice for the turn; where the source gets it last, there would be nothing to pull yet.
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
	eventually(t, "the peer is heard", func() bool {
		stalled.mutex.Lock()
		defer stalled.mutex.Unlock()
		progress := stalled.peers[source.Name]
		return progress != nil && !progress.heardAt.IsZero() && time.Since(progress.heardAt) < silentAfter
	})
	// The rounds of questions go on, and leave the peer out.
	rounds := time.NewTicker(membershipInterval)
	defer rounds.Stop()
	for began := time.Now(); time.Since(began) < silentAfter+membershipInterval; {
		<-rounds.C
		stalled.progressOf(source)
	}
	assert.Equal(t, stalled.silentMember([]Member{source}), "")
}
