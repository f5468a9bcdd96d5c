package policy

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/resource"
)

// TestVariablesAreDocumentedAndResolved compares variables with ResolveName, fields and docs/POLICIES.md.
func TestVariablesAreDocumentedAndResolved(t *testing.T) {
	page, err := os.ReadFile("../../docs/POLICIES.md")
	assert.NilError(t, err)
	input := &Input{}
	fields := input.fields()
	assert.Equal(t, len(fields), len(variables))
	for _, item := range variables {
		_, resolved := input.ResolveName(item.name)
		assert.Assert(t, resolved, item.name)
		_, settable := fields[item.name]
		assert.Assert(t, settable, item.name)
		hooks := "all"
		if item.perEngine {
			hooks = "filter, score, patience"
		}
		unit := item.unit
		if unit != "" {
			unit += " "
		}
		row := fmt.Sprintf("| `%s` | %s | %s| %s | %s |", item.name, item.kind, unit, item.description, hooks)
		assert.Assert(t, strings.Contains(string(page), row), "missing in docs/POLICIES.md: %s", row)
	}
	for _, expression := range []string{DefaultAdmit, DefaultFilter, DefaultScore, DefaultRank, DefaultPatience} {
		assert.Assert(t, strings.Contains(string(page), "`"+expression+"`"), expression)
	}
}

func TestInvalidPolicies(t *testing.T) {
	bad := map[string]resource.Policy{
		"syntax":            {Score: "engine.load +"},
		"unknown variable":  {Score: "engine.lod"},
		"wrong type":        {Score: "engine.name"},
		"integer":           {Score: "engine.load * 2"},
		"engine in rank":    {Rank: "engine.load"},
		"filter is no bool": {Filter: "1.0"},
		"cost":              {Filter: strings.Repeat("engine.name.contains(call.service + call.model) && ", 60) + "true"},
		"engine in admit":   {Admit: "engine.warm"},
	}
	for name, source := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := Compile(source)
			assert.Assert(t, err != nil)
		})
	}
}

func TestFailingFilterExcludes(t *testing.T) {
	rules, err := Compile(resource.Policy{Score: "1.0 / engine.load", Filter: `int(engine.name) > 0`})
	assert.NilError(t, err)
	_, err = rules.Score(&Input{})
	assert.ErrorContains(t, err, "not a finite number")
	allowed, err := rules.Filter(&Input{EngineName: "m"})
	assert.ErrorContains(t, err, "filter")
	assert.Assert(t, !allowed)
}

func TestDefaultsPreferWarmAndIdle(t *testing.T) {
	rules, err := Compile(resource.Policy{})
	assert.NilError(t, err)
	score := func(input Input) float64 {
		value, err := rules.Score(&input)
		assert.NilError(t, err)
		return value
	}
	warm := score(Input{EngineWarm: true, EngineLoad: 0.5})
	idle := score(Input{EngineLoad: 0})
	busy := score(Input{EngineLoad: 0.9})
	assert.Assert(t, warm > idle && idle > busy)
}

func TestExampleCasesPass(t *testing.T) {
	content, err := os.ReadFile("../../examples/brindleway-cases.yaml")
	assert.NilError(t, err)
	cases, err := DecodeCases("cases", content)
	assert.NilError(t, err)
	source, err := os.ReadFile("../../examples/brindleway.yaml")
	assert.NilError(t, err)
	resources, err := resource.Decode("brindleway.yaml", strings.NewReader(string(source)))
	assert.NilError(t, err)
	policies := make(map[string]resource.Policy)
	for _, item := range resources {
		if item.Policy != nil {
			policies[item.Name] = *item.Policy
		}
	}
	results, err := RunCases(policies, cases)
	assert.NilError(t, err)
	assert.Equal(t, len(results), 6)
	for _, result := range results {
		assert.Assert(t, result.Passed(), result.String())
	}
}

// BenchmarkDecision filters and scores 64 candidates with the built-in policy.
func BenchmarkDecision(b *testing.B) {
	rules, err := Compile(resource.Policy{})
	assert.NilError(b, err)
	input := &Input{}
	for b.Loop() {
		for candidate := range 64 {
			input.EngineLoad, input.EngineWarm = float64(candidate)/64, candidate == 7
			allowed, err := rules.Filter(input)
			if err != nil || !allowed {
				b.Fatal(err)
			}
			if _, err := rules.Score(input); err != nil {
				b.Fatal(err)
			}
		}
	}
}
