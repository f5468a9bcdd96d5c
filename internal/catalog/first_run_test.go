package catalog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

const costMajority = costReplicas/2 + 1

// A first run that is short costs messages to a majority of the replicas.
func TestFirstRunIsToldToAMajority(t *testing.T) {
	const runs = 100
	cluster := startCostCluster(t, 1, 0)
	cluster.settle()
	gateway, replicas := cluster.gateways[0], peersOf(cluster.replicas)
	for number := range runs {
		content := fmt.Sprint("key ", number)
		assert.Assert(t, gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: content, Begun: "a"}).Heard)
		gateway.manager.Finish(replicas, Evidence{Content: content, Finished: "a", Completed: true})
	}
	// Slow ones are replaced, and the rest is told later.
	const spare = runs / 10
	sent := gateway.network.Traffic().ByKind()[publishKind].SentMessages
	assert.Assert(t, sent <= runs*costMajority+spare, "%d messages", sent)
}

// The other replicas are told of a run that goes on.
func TestRunThatGoesOnIsToldToAll(t *testing.T) {
	cluster := startCostCluster(t, 1, 0)
	cluster.settle()
	gateway := cluster.gateways[0]
	gateway.manager.Exchange(t.Context(), peersOf(cluster.replicas), Evidence{Content: "key", Begun: "a"})
	for _, replica := range cluster.replicas {
		eventually(t, "the replica knows the run", func() bool {
			open, _, _ := replica.manager.ledger.runs(time.Now(), "key")
			return len(open) == 1
		})
	}
}

// Two gateways hear of each other's runs whichever replicas each of them takes for slow.
func TestRunsMeetInAnyMajorities(t *testing.T) {
	cluster := startCostCluster(t, 2, 0)
	cluster.settle()
	replicas, now := peersOf(cluster.replicas), time.Now()
	one, other := cluster.gateways[0].manager, cluster.gateways[1].manager
	for number := range 1 << costReplicas {
		content := fmt.Sprint("key ", number)
		for index, replica := range replicas {
			slow, fast := one, other
			if number&(1<<index) != 0 {
				slow, fast = other, one
			}
			slow.slow.note(now, []transport.Peer{replica})
			delete(fast.slow.until, replica.Address)
		}
		assert.DeepEqual(t, one.Exchange(t.Context(), replicas, Evidence{Content: content, Begun: "a"}), Known{Heard: true})
		known := other.Exchange(t.Context(), replicas, Evidence{Content: content, Begun: "b"})
		assert.DeepEqual(t, known.Open, []string{"a@" + cluster.gateways[0].address})
	}
}

// A replica that is down delays one run, and those after it ask others first.
func TestDeadReplicaDelaysFewRuns(t *testing.T) {
	const runs = 40
	cluster := startCostCluster(t, 1, 0)
	cluster.settle()
	replicas := peersOf(cluster.replicas)
	for _, replica := range cluster.replicas[:costReplicas-costMajority] {
		replica.stop()
		replica.network.Close()
	}
	manager := cluster.gateways[0].manager
	for number := range runs {
		assert.Assert(t, manager.Exchange(t.Context(), replicas, Evidence{Content: fmt.Sprint("key ", number), Begun: "a"}).Heard)
	}
	ranked := manager.rankReplicas(time.Now(), "another key", replicas)
	for _, peer := range ranked[:costMajority] {
		assert.Equal(t, manager.slow.rank(time.Now(), peer), 0)
	}
}

// A run that finishes before another replica is told of it costs that one nothing.
func TestShortRunsAreNotToldLater(t *testing.T) {
	queue, now := &runQueue{}, time.Now()
	for _, name := range []string{"a", "b"} {
		queue.begin(now, begunRun{Content: "key", Name: name})
	}
	queue.finish(now, finishedRun{Content: "key", Name: "a", Completed: true})
	assert.Assert(t, !queue.due(now.Add(begunDelay-1)))
	queue.finish(now, finishedRun{Content: "key", Name: "c"})
	assert.Assert(t, queue.due(now.Add(finishDelay)))

	begun, finished := queue.take(now.Add(finishDelay))
	assert.Equal(t, len(begun), 0)
	assert.DeepEqual(t, finished, []finishedRun{{Content: "key", Name: "c"}})
	assert.Assert(t, queue.due(now.Add(begunDelay)))
	begun, finished = queue.take(now.Add(begunDelay))
	assert.DeepEqual(t, begun, []begunRun{{Content: "key", Name: "b"}})
	assert.Equal(t, len(finished), 0)
}

// A run of which a replica is told late, after its end, is not in progress there.
func TestFinishedRunIsNotBegunAgain(t *testing.T) {
	runs, now := newLedger(), time.Now()
	runs.finish(now, finishedRun{Content: "key", Name: "a"})
	runs.begin(now, begunRun{Content: "key", Name: "a"})
	open, closed, _ := runs.runs(now, "key")
	assert.Equal(t, len(open), 0)
	assert.DeepEqual(t, closed, []string{"a"})
}

// A node that tells of too many or too long runs is refused.
func TestInvalidBegunRuns(t *testing.T) {
	assert.Assert(t, validBegun(make([]begunRun, maxQueuedRuns), maxQueuedRuns))
	assert.Assert(t, !validBegun(make([]begunRun, maxQueuedRuns+1), maxQueuedRuns))
	assert.Assert(t, !validBegun([]begunRun{{Content: string(make([]byte, maxPublishedBytes+1))}}, maxQueuedRuns))
}
