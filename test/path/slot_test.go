package path_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

// ownerOf returns the index of the node whose owner component has granted a slot of an engine, or -1.
func ownerOf(system *cluster.Cluster, engine string) int {
	for index, node := range system.Nodes {
		for _, load := range node.Plane().Owner.Loads() {
			if load.Engine == engine && load.Running > 0 {
				return index
			}
		}
	}
	return -1
}

// TestSlotIsFreeWhileAnswerIsCommitted takes away the quorum while an engine runs a call, so that the answer can't be committed. The
// engine has finished, so the call must not keep its slot until the commit is given up.
func TestSlotIsFreeWhileAnswerIsCommitted(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	engine := system.Engines["m1"]
	engine.SetFaults(emulator.Faults{Hang: true})
	send := func(node int) <-chan error {
		ended := make(chan error, 1)
		url := system.APIURLs()[node]
		go func() {
			_, err := client.Chat(t.Context(), url, newCall("", 0, userMessage("slow")))
			ended <- err
		}()
		return ended
	}
	waitForCalls := func(calls int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(engine.Ledger()) == calls {
				return poll.Success()
			}
			return poll.Continue("%d calls have reached the engine", len(engine.Ledger()))
		}, poll.WithTimeout(waitTimeout))
	}
	first := send(0)
	waitForCalls(1)
	owner := ownerOf(system, "m1")
	assert.Assert(t, owner >= 0)
	engine.SetFaults(emulator.Faults{})
	assert.NilError(t, <-first)

	// The call's gateway is the engine's owner, which survives.
	engine.SetFaults(emulator.Faults{Hang: true})
	pending := send(owner)
	waitForCalls(2)
	survivor := system.Nodes[owner]
	for index := len(system.Nodes) - 1; index >= 0; index-- {
		if system.Nodes[index] != survivor {
			assert.NilError(t, system.Kill(index))
		}
	}
	engine.SetFaults(emulator.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ownerOf(system, "m1") >= 0 {
			return poll.Continue("the slot is occupied")
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	// The answer's commit is retried for longer than this.
	select {
	case err := <-pending:
		t.Fatalf("the call ended with its slot: %v", err)
	case <-time.After(time.Second):
	}
}
