package path_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/owner"
)

// loadOf returns an engine's load as its owner knows it.
func loadOf(system *cluster.Cluster, engine string) owner.Load {
	var busiest owner.Load
	for _, running := range system.Nodes {
		for _, load := range running.Plane().Owner.Loads() {
			if load.Engine == engine && load.Running+load.Waiting >= busiest.Running+busiest.Waiting {
				busiest = load
			}
		}
	}
	return busiest
}

// TestCallerLeavesTheLine: callers leave while their calls stand in line. Their places go to others, and
// are not granted to calls that are gone.
func TestCallerLeavesTheLine(t *testing.T) {
	system := start(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const slots, leaving = 4, 6
	system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
	waitForLoad := func(running, waiting int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if load := loadOf(system, "m1"); load.Running != running || load.Waiting != waiting {
				return poll.Continue("%d run and %d wait", load.Running, load.Waiting)
			}
			return poll.Success()
		}, poll.WithTimeout(patience))
	}
	var staying, gone sync.WaitGroup
	send := func(ctx context.Context, number int, calls *sync.WaitGroup) {
		calls.Go(func() {
			_, err := client.Chat(ctx, system.APIURLs()[number%3], call("", 0, user(fmt.Sprintf("call %d", number))))
			assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
		})
	}
	for number := range slots {
		send(t.Context(), number, &staying)
	}
	waitForLoad(slots, 0)
	ctx, leave := context.WithCancel(t.Context())
	for number := range leaving {
		send(ctx, slots+number, &gone)
	}
	waitForLoad(slots, leaving)
	leave()
	gone.Wait()
	system.Engines["m1"].SetFaults(emulator.Faults{})
	staying.Wait()
	waitForLoad(0, 0)
}
