package catalog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// startMember starts a replica that has forgotten the runs that it was told of.
func startMember(t *testing.T, others []*testNode) *testNode {
	t.Helper()
	return startNodeWith(t, func(options *Options) {
		options.Peers = func() []transport.Peer { return nil }
		options.SetMembers = func() []transport.Peer { return peersOf(others) }
	})
}

// A replica that has started again knows the runs in progress soon, so that runs don't cost messages to other gateways until it has run for long.
func TestRestartedReplicaLearnsRuns(t *testing.T) {
	t.Parallel()
	cluster := startCostCluster(t, 1, 0)
	cluster.settle()
	gateway := cluster.gateways[0]
	others := cluster.replicas[:costReplicas-1]
	gateway.manager.Exchange(t.Context(), peersOf(cluster.replicas), Evidence{Content: "key", Begun: "a"})
	gateway.manager.Exchange(t.Context(), peersOf(cluster.replicas), Evidence{Content: "finished", Begun: "b"})
	gateway.manager.Finish(peersOf(cluster.replicas), Evidence{Content: "finished", Finished: "b"})

	restarted := startMember(t, others)
	assert.Assert(t, !restarted.manager.settled(time.Now()))
	eventually(t, "the replica has learned the runs", func() bool { return restarted.manager.settled(time.Now()) })
	open, complete := restarted.manager.ledger.allOpen(time.Now())
	assert.Assert(t, complete)
	assert.DeepEqual(t, open, []begunRun{{Content: "key", Name: "a@" + gateway.address}})
}

// Each run is known to a majority: as long as fewer others answer than it takes to meet each of these, the replica does not know all runs.
func TestRestartedReplicaNeedsEnoughOthers(t *testing.T) {
	t.Parallel()
	for _, row := range []struct{ down, unsettled int }{{2, 0}, {0, 2}, {1, 1}} {
		cluster := startCostCluster(t, 0, 0)
		cluster.settle()
		others := cluster.replicas[:costReplicas-1]
		for _, replica := range others[:row.down] {
			replica.stop()
			replica.network.Close()
		}
		for _, replica := range others[row.down : row.down+row.unsettled] {
			replica.manager.mutex.Lock()
			replica.manager.startedAt = time.Now()
			replica.manager.mutex.Unlock()
		}
		manager := startMember(t, others).manager
		assert.Assert(t, !manager.learnRuns(t.Context(), peersOf(others)))
		assert.Assert(t, !manager.learnRuns(t.Context(), nil))
	}
}

// A list of runs that is too long is not taken for complete.
func TestListsOfRunsAreBounded(t *testing.T) {
	runs, now := newLedger(), time.Now()
	for number := range maxListedRuns {
		runs.begin(now, begunRun{Content: fmt.Sprint(number / maxLedgerRuns), Name: fmt.Sprint(number)})
	}
	open, complete := runs.allOpen(now)
	assert.Assert(t, complete)
	assert.Equal(t, len(open), maxListedRuns)
	runs.begin(now, begunRun{Content: "one", Name: "more"})
	open, complete = runs.allOpen(now)
	assert.Assert(t, !complete)
	assert.Equal(t, len(open), maxListedRuns)
	open, _ = runs.allOpen(now.Add(runTTL + 1))
	assert.Equal(t, len(open), 0)
}
