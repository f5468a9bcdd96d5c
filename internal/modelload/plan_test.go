package modelload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// fleet makes engines of 10 slots with the given models; "" is an engine without orders, and "+"
// before a model one that still loads it.
func fleet(models ...string) []EngineState {
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
		"engines without a model are spread":            {fleet("", "", ""), map[string]float64{"a": 0, "b": 0}, 5, []Assignment{{"e00", "a"}, {"e01", "b"}, {"e02", "a"}}},
		"a model that is not served counts as none":     {fleet("gone", "a"), map[string]float64{"a": 1, "b": 0}, 5, []Assignment{{"e00", "b"}}},
		"few load at once":                              {fleet("", "", "+a"), map[string]float64{"a": 0, "b": 0}, 2, []Assignment{{"e00", "b"}}},
		"nothing changes without need":                  {fleet("a", "a", "b"), map[string]float64{"a": 12, "b": 5}, 5, nil},
		"demand pulls an idle model's engine":           {fleet("a", "b", "b"), map[string]float64{"a": 14, "b": 2}, 5, []Assignment{{"e01", "a"}}},
		"a model keeps what it would soon need again":   {fleet("a", "b", "b"), map[string]float64{"a": 8, "b": 7}, 5, nil},
		"a model without engines gets one all the same": {fleet("a", "b", "b"), map[string]float64{"a": 7, "b": 7, "c": 1}, 5, []Assignment{{"e01", "c"}}},
		"overload is shared by demand":                  {fleet("a", "a", "a", "b"), map[string]float64{"a": 100, "b": 100}, 5, []Assignment{{"e00", "b"}}},
		"overload that differs little moves nothing":    {fleet("a", "a", "b", "b", "b"), map[string]float64{"a": 104, "b": 100}, 5, nil},
		"more models than engines":                      {fleet("a"), map[string]float64{"a": 1, "b": 5}, 5, []Assignment{{"e00", "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			input := PlanInput{Engines: test.engines, Demand: test.demand, AtOnce: test.atOnce, Now: start}
			assert.DeepEqual(t, Plan(input), test.expected)
		})
	}
}

func TestPlanHoldsModels(t *testing.T) {
	engines := fleet("a", "b", "b")
	engines[1].Since, engines[2].Since = start, start.Add(-time.Second)
	input := PlanInput{Engines: engines, Demand: map[string]float64{"a": 14, "b": 2}, AtOnce: 5, Hold: time.Minute, Now: start.Add(30 * time.Second)}
	assert.Equal(t, len(Plan(input)), 0)
	input.Now = start.Add(59 * time.Second)
	assert.DeepEqual(t, Plan(input), []Assignment{{"e02", "a"}})
}

// TestPlanSettles: whatever the demand, plans bring the engines to a state that they leave alone, in
// which each model with demand has an engine if there are enough.
func TestPlanSettles(t *testing.T) {
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
		const mostRounds = 100
		for round := 0; ; round++ {
			assert.Assert(t, round < mostRounds, "engines go back and forth")
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
		have := make(map[string]int)
		for _, engine := range input.Engines {
			have[engine.Model]++
		}
		for model, calls := range input.Demand {
			assert.Assert(t, calls == 0 || have[model] > 0 || len(input.Engines) < len(models), "%s has no engine", model)
		}
	})
}
