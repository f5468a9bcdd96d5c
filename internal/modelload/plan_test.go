package modelload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// newEngines returns engines of 10 slots with the given models. "" is an engine without a model, and a "+" before the
// model means that it is still loading.
func newEngines(models ...string) []EngineState {
	var engines []EngineState
	for index, model := range models {
		engine := EngineState{Name: fmt.Sprintf("e%02d", index), Slots: 10, Model: model}
		if len(model) > 0 && model[0] == '+' {
			engine.Model, engine.Loading = model[1:], true
		}
		engines = append(engines, engine)
	}
	return engines
}

func TestPlan(t *testing.T) {
	for name, test := range map[string]struct {
		engines  []EngineState
		demand   map[string]float64
		atOnce   int
		expected []Assignment
	}{
		"idle engines are distributed over models": {newEngines("", "", ""), map[string]float64{"a": 0, "b": 0}, 5, []Assignment{{"e00", "a"}, {"e01", "b"}, {"e02", "a"}}},
		"an engine with an unserved model is idle": {newEngines("gone", "a"), map[string]float64{"a": 1, "b": 0}, 5, []Assignment{{"e00", "b"}}},
		"concurrent loads are limited":             {newEngines("", "", "+a"), map[string]float64{"a": 0, "b": 0}, 2, []Assignment{{"e00", "b"}}},
		"no change without need":                   {newEngines("a", "a", "b"), map[string]float64{"a": 12, "b": 5}, 5, nil},
		"an engine moves from low to high demand":  {newEngines("a", "b", "b"), map[string]float64{"a": 14, "b": 2}, 5, []Assignment{{"e01", "a"}}},
		"no move inside the hysteresis gap":        {newEngines("a", "b", "b"), map[string]float64{"a": 8, "b": 7}, 5, nil},
		"a model without engines gets one":         {newEngines("a", "b", "b"), map[string]float64{"a": 7, "b": 7, "c": 1}, 5, []Assignment{{"e01", "c"}}},
		"overload is balanced by demand":           {newEngines("a", "a", "a", "b"), map[string]float64{"a": 100, "b": 100}, 5, []Assignment{{"e00", "b"}}},
		"similar overload moves nothing":           {newEngines("a", "a", "b", "b", "b"), map[string]float64{"a": 104, "b": 100}, 5, nil},
		"more models than engines":                 {newEngines("a"), map[string]float64{"a": 1, "b": 5}, 5, []Assignment{{"e00", "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			input := PlanInput{Engines: test.engines, Demand: test.demand, AtOnce: test.atOnce, Now: start}
			assert.DeepEqual(t, Plan(input), test.expected)
		})
	}
}

func TestPlanKeepsModelsForHold(t *testing.T) {
	engines := newEngines("a", "b", "b")
	engines[1].Since, engines[2].Since = start, start.Add(-time.Second)
	input := PlanInput{Engines: engines, Demand: map[string]float64{"a": 14, "b": 2}, AtOnce: 5, Hold: time.Minute, Now: start.Add(30 * time.Second)}
	assert.Equal(t, len(Plan(input)), 0)
	input.Now = start.Add(59 * time.Second)
	assert.DeepEqual(t, Plan(input), []Assignment{{"e02", "a"}})
}

// TestPlanConverges checks that, with constant demand, repeated plans reach a stable state in which each model with demand has an
// engine if there are enough engines.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c", "d"}
		input := PlanInput{Demand: make(map[string]float64), AtOnce: rapid.IntRange(1, 3).Draw(t, "at once"), Now: start}
		for index := range rapid.IntRange(1, 12).Draw(t, "engines") {
			model := rapid.SampledFrom(append(models, "")).Draw(t, "model")
			input.Engines = append(input.Engines, EngineState{Name: fmt.Sprintf("e%02d", index), Slots: 8, Model: model})
		}
		for _, model := range models {
			input.Demand[model] = float64(rapid.IntRange(0, 60).Draw(t, "demand"))
		}
		const maxRounds = 100
		for round := 0; ; round++ {
			assert.Assert(t, round < maxRounds, "plans do not converge")
			assignments := Plan(input)
			assert.Assert(t, len(assignments) <= input.AtOnce)
			if len(assignments) == 0 {
				break
			}
			for _, assignment := range assignments {
				for index := range input.Engines {
					if input.Engines[index].Name == assignment.Engine {
						assert.Assert(t, input.Engines[index].Model != assignment.Model)
						input.Engines[index].Model = assignment.Model
					}
				}
			}
		}
		assigned := make(map[string]int)
		for _, engine := range input.Engines {
			assigned[engine.Model]++
		}
		for model, calls := range input.Demand {
			assert.Assert(t, calls == 0 || assigned[model] > 0 || len(input.Engines) < len(models), "%s has no engine", model)
		}
	})
}
