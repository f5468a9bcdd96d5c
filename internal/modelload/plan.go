// Package modelload decides which model each engine of a pool should load and orders the engines to load it. A pool
// is controlled by one node at a time: the leader of the partition to which the pool's name is mapped. Its orders
// carry a fencing token that increases with the leader's term. Membership records distribute which engine has loaded
// which model. docs/design/model-loading.md compares the alternatives.
package modelload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A model gets more engines if the utilization of its engines' slots is above growUtilization, and can give
	// engines away at or below shrinkUtilization. The gap between them prevents oscillation.
	growUtilization   = 0.75
	shrinkUtilization = 0.5
	// overloadMargin limits moves under overload: an engine is moved only if the receiving model has more than
	// overloadMargin times the calls per engine that the other model will have after the move.
	overloadMargin = 1.25
)

// EngineState is the planner's view of an engine.
type EngineState struct {
	Name  string
	Slots int
	// Model is loaded, or being loaded if Loading is set; empty if no load was ordered yet.
	Model   string
	Loading bool
	// Since is the time of the last change of the engine's model.
	Since time.Time
}

// Assignment is the decision to load another model on an engine.
type Assignment struct {
	Engine string
	Model  string
}

// PlanInput is the complete input of Plan.
type PlanInput struct {
	// Engines lists the engines that are reachable and not draining.
	Engines []EngineState
	// Demand is the number of running and waiting calls by model. It has an entry for each model of the pool.
	Demand map[string]float64
	// AtOnce is the maximum number of engines loading at the same time.
	AtOnce int
	// Hold is the minimum time for which an engine keeps a model.
	Hold time.Duration
	Now  time.Time
}

// plan is the intermediate state of Plan.
type plan struct {
	PlanInput
	// slots is the mean number of slots per engine.
	slots float64
	// assigned is the number of engines by model, including those loading it; need is the number that a model should
	// have; keep is the number that it normally keeps when engines are moved to other models.
	assigned, need, keep map[string]int
	loading              int
	// overloaded is true if there are fewer engines than needed.
	overloaded bool
}

// Plan returns the engines that should load another model now. It is deterministic.
func Plan(input PlanInput) []Assignment {
	state := newPlan(input)
	var assignments []Assignment
	for state.loading < input.AtOnce {
		next, found := state.next()
		if !found {
			break
		}
		state.apply(next)
		assignments = append(assignments, next)
	}
	return assignments
}

func newPlan(input PlanInput) *plan {
	input.Engines = slices.Clone(input.Engines)
	slices.SortFunc(input.Engines, func(a, b EngineState) int { return cmp.Compare(a.Name, b.Name) })
	state := &plan{PlanInput: input, assigned: make(map[string]int)}
	for index := range input.Engines {
		engine := &input.Engines[index]
		if _, served := input.Demand[engine.Model]; !served && !engine.Loading {
			// The pool no longer serves this model, so the engine is free.
			engine.Model = ""
		}
		state.slots += float64(engine.Slots) / float64(len(input.Engines))
		if engine.Model != "" {
			state.assigned[engine.Model]++
		}
		if engine.Loading {
			state.loading++
		}
	}
	state.need, state.keep = state.enginesFor(growUtilization), state.enginesFor(shrinkUtilization)
	if total(state.need) > len(input.Engines) {
		state.overloaded = true
		state.need = allocate(state.need, input.Demand, len(input.Engines))
		state.keep = state.need
	}
	return state
}

// enginesFor returns the number of engines that each model with demand needs to stay at or below a utilization.
func (p *plan) enginesFor(utilization float64) map[string]int {
	engines := make(map[string]int)
	for model, calls := range p.Demand {
		if calls > 0 {
			engines[model] = max(1, int(math.Ceil(calls/(p.slots*utilization))))
		}
	}
	return engines
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// allocate distributes a number of engines that is less than the total wanted: one to each model in descending order of
// demand until none is left, then each remaining engine to the model with the most calls per engine.
func allocate(wanted map[string]int, demand map[string]float64, engines int) map[string]int {
	models := slices.Sorted(maps.Keys(wanted))
	slices.SortStableFunc(models, func(a, b string) int { return cmp.Compare(demand[b], demand[a]) })
	given := make(map[string]int)
	for _, model := range models[:min(engines, len(models))] {
		given[model] = 1
	}
	for left := engines - len(given); left > 0; left-- {
		neediest := models[0]
		for _, model := range models {
			if demand[model]*float64(given[neediest]) > demand[neediest]*float64(given[model]) {
				neediest = model
			}
		}
		given[neediest]++
	}
	return given
}

// next returns the most urgent assignment, if any.
func (p *plan) next() (Assignment, bool) {
	receiver, found := p.receiver()
	if found {
		if engine, free := p.donor(receiver); free {
			return Assignment{Engine: engine, Model: receiver}, true
		}
	}
	return p.assignIdle()
}

// receiver returns the model that lacks the largest share of the engines it needs; the higher demand breaks ties.
func (p *plan) receiver() (string, bool) {
	best, deficit := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(p.need)) {
		share := float64(p.need[model]-p.assigned[model]) / float64(p.need[model])
		if share > deficit || share == deficit && share > 0 && p.Demand[model] > p.Demand[best] {
			best, deficit = model, share
		}
	}
	return best, deficit > 0
}

// donor returns an engine that can be reassigned to the receiver: one without a model, or else one of the model with the
// largest surplus, if the engine has had it for the hold time. The surplus is counted above keep, or above need
// if the receiver has no engine at all.
func (p *plan) donor(receiver string) (string, bool) {
	reserved := p.keep
	if p.assigned[receiver] == 0 {
		reserved = p.need
	}
	best, surplus := -1, 0
	for index, engine := range p.Engines {
		switch {
		case engine.Loading || engine.Model == receiver:
		case engine.Model == "":
			return engine.Name, true
		case p.Now.Sub(engine.Since) < p.Hold:
		case p.overloaded && !p.improvesBalance(engine.Model, receiver):
		case p.assigned[engine.Model]-reserved[engine.Model] > surplus:
			best, surplus = index, p.assigned[engine.Model]-reserved[engine.Model]
		}
	}
	if best < 0 {
		return "", false
	}
	return p.Engines[best].Name, true
}

// improvesBalance reports whether the receiver has more than overloadMargin times the calls per engine that the donor would
// have after the move.
func (p *plan) improvesBalance(donor, receiver string) bool {
	if p.assigned[receiver] == 0 {
		return true
	}
	left := float64(p.assigned[donor] - 1)
	return p.Demand[receiver]*left > overloadMargin*p.Demand[donor]*float64(p.assigned[receiver])
}

// assignIdle assigns the model with the fewest engines to an engine without a model, so that it can serve calls when
// they arrive.
func (p *plan) assignIdle() (Assignment, bool) {
	models := slices.Sorted(maps.Keys(p.Demand))
	for _, engine := range p.Engines {
		if engine.Model != "" || engine.Loading || len(models) == 0 {
			continue
		}
		fewest := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(p.assigned[a], p.assigned[b]) })
		return Assignment{Engine: engine.Name, Model: fewest}, true
	}
	return Assignment{}, false
}

func (p *plan) apply(next Assignment) {
	for index := range p.Engines {
		engine := &p.Engines[index]
		if engine.Name != next.Engine {
			continue
		}
		if engine.Model != "" {
			p.assigned[engine.Model]--
		}
		engine.Model, engine.Loading, engine.Since = next.Model, true, p.Now
	}
	p.assigned[next.Model]++
	p.loading++
}
