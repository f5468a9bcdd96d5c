package experiment

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/resource"
)

// runVirtualExperiment runs one repeat of an experiment file in virtual time with the named policies, at
// one load. Programs start within the first spanSeconds. The result is deterministic.
func runVirtualExperiment(t *testing.T, name string, load, spanSeconds float64, policies ...string) map[string]PolicySummary {
	t.Helper()
	file, err := Load(filepath.Join("../../../experiments", name))
	assert.NilError(t, err)
	file = file.InVirtualTime()
	file.Repeats, file.Seconds, file.Loads = 1, spanSeconds, []float64{load}
	var selected []PolicyEntry
	for _, entry := range file.Policies {
		for _, wanted := range policies {
			if entry.Name == wanted {
				selected = append(selected, entry)
			}
		}
	}
	file.Policies = selected
	samples, err := RunVirtual(context.Background(), file, io.Discard)
	assert.NilError(t, err)
	return Summarize(file, samples).Policies
}

// TestAimsAreMet compares the tenants' policies with the baselines at nearly full load. The factors are
// the tenants' requirements.
func TestAimsAreMet(t *testing.T) {
	t.Run("brindleway", func(t *testing.T) {
		t.Parallel()
		rows := runVirtualExperiment(t, "brindleway.yaml", 0.95, 60, "round-robin", "least-loaded", "prefix-affinity", "brindleway-latency")
		own := rows["brindleway-latency"].ProgramLatency.P95
		assert.Assert(t, own <= 0.6*rows["round-robin"].ProgramLatency.P95, "%+v", rows)
		assert.Assert(t, own <= 0.8*rows["least-loaded"].ProgramLatency.P95, "%+v", rows)
		assert.Assert(t, own <= rows["prefix-affinity"].ProgramLatency.P95, "%+v", rows)
	})
	t.Run("mapishi", func(t *testing.T) {
		t.Parallel()
		rows := runVirtualExperiment(t, "mapishi.yaml", 0.95, 60, "round-robin", "least-loaded", "prefix-affinity", "mapishi-cache")
		own := rows["mapishi-cache"]
		assert.Assert(t, own.WastedCacheFraction <= 0.4*rows["round-robin"].WastedCacheFraction, "%+v", rows)
		assert.Assert(t, own.WastedCacheFraction <= 0.6*rows["least-loaded"].WastedCacheFraction, "%+v", rows)
		assert.Assert(t, own.ProgramLatency.P95 <= rows["least-loaded"].ProgramLatency.P95, "%+v", rows)
		assert.Assert(t, own.ProgramLatency.P95 <= rows["prefix-affinity"].ProgramLatency.P95, "%+v", rows)
	})
}

// TestEngineFaultsFailNoProgram crashes or hangs one engine after the other. All programs must complete.
func TestEngineFaultsFailNoProgram(t *testing.T) {
	cases := map[string]struct{ load, spanSeconds float64 }{
		"failures.yaml": {0.95, 50},
		"hang.yaml":     {0.7, 30},
	}
	for name, item := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row := runVirtualExperiment(t, name, item.load, item.spanSeconds, "brindleway-latency")["brindleway-latency"]
			assert.Assert(t, row.Programs > 100)
			assert.Equal(t, row.Completed, row.Programs)
		})
	}
}

// TestSlowEnginesAreAvoided slows down one engine after the other, and compares a policy that takes
// slowness into account with one that doesn't.
func TestSlowEnginesAreAvoided(t *testing.T) {
	t.Parallel()
	rows := runVirtualExperiment(t, "slow.yaml", 0.7, 60, "brindleway-latency", "without-slowness")
	assert.Assert(t, rows["brindleway-latency"].ProgramLatency.P95 <= 0.9*rows["without-slowness"].ProgramLatency.P95, "%+v", rows)
}

// TestVirtualTimeIsDeterministic runs an experiment with engine crashes twice with the same seed.
func TestVirtualTimeIsDeterministic(t *testing.T) {
	t.Parallel()
	first := runVirtualExperiment(t, "failures.yaml", 0.95, 25, "brindleway-latency")
	assert.DeepEqual(t, runVirtualExperiment(t, "failures.yaml", 0.95, 25, "brindleway-latency"), first)
}

// TestExperimentsUseExamplePolicies guards against a difference between the policies in the examples
// and those in the experiments.
func TestExperimentsUseExamplePolicies(t *testing.T) {
	for name, file := range map[string]string{"brindleway-latency": "brindleway.yaml", "mapishi-cache": "mapishi.yaml"} {
		experiment, err := Load(filepath.Join("../../../experiments", file))
		assert.NilError(t, err)
		content, err := os.Open(filepath.Join("../../../examples", file))
		assert.NilError(t, err)
		resources, err := resource.Decode(file, content)
		assert.NilError(t, err)
		assert.NilError(t, content.Close())
		found := false
		for _, entry := range experiment.Policies {
			for _, item := range resources {
				if entry.Name == name && item.Policy != nil && item.Name == name {
					found = true
					assert.DeepEqual(t, resource.Policy{Score: entry.Score, Rank: entry.Rank, Patience: entry.Patience}, *item.Policy)
				}
			}
		}
		assert.Assert(t, found, name)
	}
}
