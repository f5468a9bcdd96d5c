package path_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

// receivedMessages returns how many messages of a kind the nodes have received.
func receivedMessages(system *cluster.Cluster, kind string) int64 {
	var total int64
	for _, node := range system.Nodes {
		total += node.Plane().Transport.Traffic().ByKind()[kind].ReceivedMessages
	}
	return total
}

// TestCallsAreNotSentToReplicasWithoutLeader takes away the quorum of all partitions. Calls must wait for a leader without being
// sent to replicas that can only refuse them, which would slow down the election that they wait for.
func TestCallsAreNotSentToReplicasWithoutLeader(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	mustChat(t, client, system.APIURLs()[0], newCall("", 0, userMessage("before")))
	assert.NilError(t, system.Kill(2))
	assert.NilError(t, system.Kill(1))
	host := system.Nodes[0].Plane().Host
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, status := range host.Statuses() {
			if status.IsLeader {
				return poll.Continue("partition %d has a leader", status.Group)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	before := receivedMessages(system, "begin")
	const calls = 20
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var tasks sync.WaitGroup
	for number := range calls {
		tasks.Go(func() {
			_, err := client.Chat(ctx, system.APIURLs()[0], newCall("", 0, userMessage(fmt.Sprint(number))))
			assert.Check(t, err != nil)
		})
	}
	tasks.Wait()
	sent := receivedMessages(system, "begin") - before
	assert.Assert(t, sent <= calls, "%d calls were sent %d times", calls, sent)
}
