package path_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/owner"
)

// engineLoad returns the highest load that any node's owner component reports for an engine.
func engineLoad(system *cluster.Cluster, engine string) owner.Load {
	var busiest owner.Load
	for _, node := range system.Nodes {
		for _, load := range node.Plane().Owner.Loads() {
			if load.Engine == engine && load.Running+load.Waiting >= busiest.Running+busiest.Waiting {
				busiest = load
			}
		}
	}
	return busiest
}

// TestCancelledCallsLeaveQueue cancels calls while they are queued. They must leave the queue and get no slot
// when one becomes free.
func TestCancelledCallsLeaveQueue(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const slots, cancellations = 4, 6
	system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
	waitForLoad := func(running, waiting int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if load := engineLoad(system, "m1"); load.Running != running || load.Waiting != waiting {
				return poll.Continue("%d calls run and %d are queued", load.Running, load.Waiting)
			}
			return poll.Success()
		}, poll.WithTimeout(waitTimeout))
	}
	var remaining, cancelled sync.WaitGroup
	send := func(ctx context.Context, number int, group *sync.WaitGroup) {
		group.Go(func() {
			_, err := client.Chat(ctx, system.APIURLs()[number%3], newCall("", 0, userMessage(fmt.Sprintf("call %d", number))))
			assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
		})
	}
	for number := range slots {
		send(t.Context(), number, &remaining)
	}
	waitForLoad(slots, 0)
	ctx, cancel := context.WithCancel(t.Context())
	for number := range cancellations {
		send(ctx, slots+number, &cancelled)
	}
	waitForLoad(slots, cancellations)
	cancel()
	cancelled.Wait()
	system.Engines["m1"].SetFaults(emulator.Faults{})
	remaining.Wait()
	waitForLoad(0, 0)
}

// TestCallsCancelledWhileTheyGetSlots cancels calls at the moment at which slots become free. Calls whose slots come too late must free them soon.
func TestCallsCancelledWhileTheyGetSlots(t *testing.T) {
	const slots, cancellations, rounds, freed = 4, 4, 12, 10 * time.Second
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	waitForLoad := func(round, running, waiting int, limit time.Duration) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if load := engineLoad(system, "m1"); load.Running != running || load.Waiting != waiting {
				return poll.Continue("round %d: %d calls run and %d are queued", round, load.Running, load.Waiting)
			}
			return poll.Success()
		}, poll.WithTimeout(limit))
	}
	for round := range rounds {
		system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
		var calls sync.WaitGroup
		send := func(ctx context.Context, number int) {
			calls.Go(func() {
				_, err := client.Chat(ctx, system.APIURLs()[number%3], newCall("", 0, userMessage(fmt.Sprintf("round %d, call %d", round, number))))
				assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
			})
		}
		for number := range slots {
			send(t.Context(), number)
		}
		waitForLoad(round, slots, 0, waitTimeout)
		ctx, cancel := context.WithCancel(t.Context())
		for number := range cancellations {
			send(ctx, slots+number)
		}
		waitForLoad(round, slots, cancellations, waitTimeout)
		system.Engines["m1"].SetFaults(emulator.Faults{})
		clock.Sleep(t.Context(), time.Duration(round)*time.Millisecond)
		cancel()
		calls.Wait()
		waitForLoad(round, 0, 0, freed)
	}
}
