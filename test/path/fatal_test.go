package path_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

const (
	fatalText = "this prompt ends its engine"
	// maxEngineEnds is how many engines may end under a request.
	maxEngineEnds = 3
)

// endedEngines returns how many engines have run a call; each has ended then.
func endedEngines(system *cluster.Cluster) int {
	ended := 0
	for _, emulated := range system.Engines {
		if len(emulated.Ledger()) > 0 {
			ended++
		}
	}
	return ended
}

// A call that ends each engine that runs it stops after three ends, whichever node its caller tries next.
func TestFatalCallStopsAfterThreeEngines(t *testing.T) {
	for name, afterTokens := range map[string]int{"before the first token": 0, "after 2 tokens": 2} {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 12)
			for _, emulated := range system.Engines {
				emulated.SetFaults(emulator.Faults{FatalText: fatalText, FatalAfterTokens: afterTokens})
			}
			client := runner.NewClient(apiKey)
			defer client.Close()
			for _, node := range system.APIURLs() {
				_, err := client.Chat(t.Context(), node, newCall("", 0, userMessage(fatalText)))
				assert.Assert(t, err != nil)
			}
			assert.Assert(t, endedEngines(system) <= maxEngineEnds, "%d engines ended under one call", endedEngines(system))
		})
	}
}
