package simulate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/simulate"
)

const (
	fixedSeeds = 40
	stepsOfRun = 1500
)

// TestInvariantsHoldUnderFaults plays a fixed set of seeds with all faults together.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	var completed, elections int
	for seed := uint64(1); seed <= fixedSeeds; seed++ {
		report, err := simulate.Run(simulate.Options{Seed: seed, Steps: stepsOfRun, Nodes: 3, Faults: simulate.AllFaults()})
		assert.NilError(t, err)
		completed += report.Completed
		elections += report.Elections
	}
	assert.Assert(t, completed > 0 && elections > fixedSeeds, "%d calls, %d elections", completed, elections)
}

// TestEachFaultAlone shows that each kind of fault is survived by itself, on five replicas too.
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
				report, err := simulate.Run(simulate.Options{Seed: seed, Steps: stepsOfRun, Nodes: 5, Faults: faults})
				assert.NilError(t, err)
				assert.Assert(t, report.Completed > 0)
			}
		})
	}
}

// TestChecksCanFail breaks the product on purpose: the checks must notice within a few seeds.
func TestChecksCanFail(t *testing.T) {
	defects := map[string]struct {
		sabotage simulate.Sabotage
		// first is a seed shortly before one that notices; the search there saves time.
		first uint64
	}{
		"send before commit": {simulate.Sabotage{SendBeforeCommit: true}, 1},
		"forgotten votes":    {simulate.Sabotage{ForgetVotes: true}, 150},
	}
	for name, defect := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := defect.first; seed < defect.first+200; seed++ {
				_, err := simulate.Run(simulate.Options{Seed: seed, Steps: stepsOfRun, Nodes: 3, Faults: simulate.AllFaults(), Sabotage: defect.sabotage})
				if err != nil {
					t.Logf("noticed: %s", err)
					return
				}
			}
			t.Fatal("no seed noticed the defect")
		})
	}
}

// TestRunsAreRepeatable shows that a seed gives the same run each time.
func TestRunsAreRepeatable(t *testing.T) {
	options := simulate.Options{Seed: 7, Steps: stepsOfRun, Nodes: 3, Faults: simulate.AllFaults()}
	first, err := simulate.Run(options)
	assert.NilError(t, err)
	second, err := simulate.Run(options)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}
