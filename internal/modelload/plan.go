// Package modelload decides which model each engine of a pool has loaded, and orders the engines to
// load it. One node decides for a pool at a time, the leader of the partition that the pool's name
// falls to; its orders carry a fencing token that grows with the leader's term. Which engine has which
// model spreads as membership records. docs/design/model-loading.md weighs the ways.
package modelload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// growUtilization is the share of its engines' slots above which a model gets further engines;
	// at shrinkUtilization and below it gives engines away. The gap keeps engines from going back and
	// forth.
	growUtilization   = 0.75
	shrinkUtilization = 0.5
	// overloadMargin is by how much calls per engine must differ under overload, after the move, for
	// an engine to move.
	overloadMargin = 1.25
)

// EngineState is an engine as the planner sees it.
type EngineState struct {
	Name  string
	Slots int
	// Model is loaded, or is being loaded; empty if the engine got no order yet.
	Model   string
	Loading bool
	// Since is when the engine got its model.
	Since time.Time
}

// Assignment gives an engine another model.
type Assignment struct {
	Engine string
	Model  string
}

// PlanInput is all that a plan depends on.
type PlanInput struct {
	// Engines are those that can be reached.
	Engines []EngineState
	// Demand is how many calls of each model run or wait. It has an entry for each model of the pool.
	Demand map[string]float64
	// AtOnce bounds the engines that load at one time.
	AtOnce int
	// Hold is how long an engine keeps a model at least.
	Hold time.Duration
	Now  time.Time
}

// plan is the state of one planning.
type plan struct {
	PlanInput
	slots float64
	// have counts engines by model; need is how many a model should get, keep how many it is left.
	have, need, keep map[string]int
	loading          int
	// overloaded is set if the engines do not suffice for all.
	overloaded bool
}

// Plan returns which engines should load another model now. The same input gives the same plan.
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
	state := &plan{PlanInput: input, have: make(map[string]int)}
	for index := range input.Engines {
		engine := &input.Engines[index]
		if _, served := input.Demand[engine.Model]; !served && !engine.Loading {
			// A model that the pool does not serve any more is as good as none.
			engine.Model = ""
		}
		state.slots += float64(engine.Slots) / float64(len(input.Engines))
		if engine.Model != "" {
			state.have[engine.Model]++
		}
		if engine.Loading {
			state.loading++
		}
	}
	state.need, state.keep = state.enginesAt(growUtilization), state.enginesAt(shrinkUtilization)
	if total(state.need) > len(input.Engines) {
		state.overloaded = true
		state.need = fit(state.need, input.Demand, len(input.Engines))
		state.keep = state.need
	}
	return state
}

// enginesAt is how many engines each model needs to be used so far.
func (p *plan) enginesAt(utilization float64) map[string]int {
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

// fit reduces wishes to what is there: each model with demand gets one engine as long as there are
// any, by demand, and the rest goes by the unmet share.
func fit(wanted map[string]int, demand map[string]float64, engines int) map[string]int {
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

// next finds the most urgent assignment.
func (p *plan) next() (Assignment, bool) {
	receiver, found := p.receiver()
	if found {
		if engine, free := p.donor(receiver); free {
			return Assignment{Engine: engine, Model: receiver}, true
		}
	}
	return p.spread()
}

// receiver is the model that lacks the greatest share of the engines that it needs.
func (p *plan) receiver() (string, bool) {
	best, lack := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(p.need)) {
		share := float64(p.need[model]-p.have[model]) / float64(p.need[model])
		if share > lack || share == lack && share > 0 && p.Demand[model] > p.Demand[best] {
			best, lack = model, share
		}
	}
	return best, lack > 0
}

// donor is an engine that can be spared: one without a model, or one of the model that has most
// engines beyond its keep, if it has had it long enough. A model without any engine also gets one
// that another model would rather keep.
func (p *plan) donor(receiver string) (string, bool) {
	floor := p.keep
	if p.have[receiver] == 0 {
		floor = p.need
	}
	best, surplus := -1, 0
	for index, engine := range p.Engines {
		switch {
		case engine.Loading || engine.Model == receiver:
		case engine.Model == "":
			return engine.Name, true
		case p.Now.Sub(engine.Since) < p.Hold:
		case p.overloaded && !p.evensOut(engine.Model, receiver):
		case p.have[engine.Model]-floor[engine.Model] > surplus:
			best, surplus = index, p.have[engine.Model]-floor[engine.Model]
		}
	}
	if best < 0 {
		return "", false
	}
	return p.Engines[best].Name, true
}

// evensOut reports whether the receiver has clearly more calls for each engine than the donor would
// have after the move.
func (p *plan) evensOut(donor, receiver string) bool {
	if p.have[receiver] == 0 {
		return true
	}
	left := float64(p.have[donor] - 1)
	return p.Demand[receiver]*left > overloadMargin*p.Demand[donor]*float64(p.have[receiver])
}

// spread gives an engine without a model the one that fewest engines have, so that it is of use
// when calls come.
func (p *plan) spread() (Assignment, bool) {
	models := slices.Sorted(maps.Keys(p.Demand))
	for _, engine := range p.Engines {
		if engine.Model != "" || engine.Loading || len(models) == 0 {
			continue
		}
		fewest := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(p.have[a], p.have[b]) })
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
			p.have[engine.Model]--
		}
		engine.Model, engine.Loading, engine.Since = next.Model, true, p.Now
	}
	p.have[next.Model]++
	p.loading++
}
