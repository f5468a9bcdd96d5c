package simulate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/simulate"
)

const (
	seedCount = 40
	runSteps  = 1500
)

// TestInvariantsHoldUnderFaults checks a fixed set of seeds with all kinds of fault at once.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	var completed, elections int
	for seed := uint64(1); seed <= seedCount; seed++ {
		report, err := simulate.Run(simulate.Options{Seed: seed, Steps: runSteps, Nodes: 3, Faults: simulate.AllFaults()})
		assert.NilError(t, err)
		completed += report.Completed
		elections += report.Elections
	}
	assert.Assert(t, completed > 0 && elections > seedCount, "%d calls, %d elections", completed, elections)
}

// TestEachFaultAlone checks each kind of fault by itself on five replicas. Crashes and member changes are combined with
// compaction, so that replicas also recover from snapshots.
func TestEachFaultAlone(t *testing.T) {
	kinds := map[string]simulate.Faults{
		"drop":      {Drop: true},
		"delay":     {Delay: true},
		"duplicate": {Duplicate: true},
		"partition": {Partition: true},
		"pause":     {Pause: true},
		"crash":     {Crash: true, Compact: true},
		"transfer":  {Transfer: true},
		"members":   {Members: true, Compact: true},
	}
	for name, faults := range kinds {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				report, err := simulate.Run(simulate.Options{Seed: seed, Steps: runSteps, Nodes: 5, Faults: faults})
				assert.NilError(t, err)
				assert.Assert(t, report.Completed > 0)
			}
		})
	}
}

// TestChecksCanFail checks that the invariant checks detect injected defects.
func TestChecksCanFail(t *testing.T) {
	defects := map[string]struct {
		enabled simulate.Defects
		// firstSeed is the first seed tried; it shortens the search for one that detects the defect.
		firstSeed uint64
	}{
		"send before commit": {simulate.Defects{SendBeforeCommit: true}, 1},
		"lost hard state":    {simulate.Defects{LoseHardState: true}, 150},
	}
	for name, defect := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := defect.firstSeed; seed < defect.firstSeed+200; seed++ {
				_, err := simulate.Run(simulate.Options{Seed: seed, Steps: runSteps, Nodes: 3, Faults: simulate.AllFaults(), Defects: defect.enabled})
				if err != nil {
					t.Logf("detected: %s", err)
					return
				}
			}
			t.Fatal("no seed detected the defect")
		})
	}
}

// TestRunsAreRepeatable checks that a run depends only on its options.
func TestRunsAreRepeatable(t *testing.T) {
	options := simulate.Options{Seed: 7, Steps: runSteps, Nodes: 3, Faults: simulate.AllFaults()}
	first, err := simulate.Run(options)
	assert.NilError(t, err)
	second, err := simulate.Run(options)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}
