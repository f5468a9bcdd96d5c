package capacity_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/lab/capacity"
	"github.com/mountstile/mountstile/internal/lab/hollow"
)

// TestPageMatchesTheSlopes holds docs/CAPACITY.md to the committed measurements.
func TestPageMatchesTheSlopes(t *testing.T) {
	slopes, err := capacity.Load("../../../docs/capacity/slopes.json")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	assert.NilError(t, err)
	updated, err := capacity.Update(string(page), slopes)
	assert.NilError(t, err)
	assert.Equal(t, string(page), updated, "run: go run ./cmd/mountstile-lab capacity --slopes docs/capacity/slopes.json --page docs/CAPACITY.md")
}

// TestMeasuredSlopesAreWithinTheLimits: the committed run at the target size keeps to it, and
// bytes grow by no more than the logarithm.
func TestMeasuredSlopesAreWithinTheLimits(t *testing.T) {
	slopes, err := capacity.Load("../../../docs/capacity/slopes.json")
	assert.NilError(t, err)
	largest := slopes.Runs[len(slopes.Runs)-1]
	assert.Equal(t, largest.Nodes, 420)
	assert.Assert(t, largest.BytesPerSecond.Sent <= 6000)
	assert.Assert(t, largest.CoreShare <= 0.024)
	assert.Assert(t, largest.MemoryBytes <= 128e6)
	assert.Assert(t, largest.ConfigInForce.P99 <= 5000)
	assert.Assert(t, largest.Detect.Max <= 10000)
	assert.Equal(t, largest.FalseDeaths, 0)
}

func TestFitFindsALine(t *testing.T) {
	runs := []hollow.Report{{Nodes: 10}, {Nodes: 20}, {Nodes: 40}}
	for index := range runs {
		runs[index].BytesPerSecond.Sent = 100 + 7*float64(runs[index].Nodes)
	}
	fit := capacity.FitBytes(runs)
	assert.Assert(t, fit.PerNode > 6.99 && fit.PerNode < 7.01)
	assert.Assert(t, fit.Base > 99.9 && fit.Base < 100.1)
}
