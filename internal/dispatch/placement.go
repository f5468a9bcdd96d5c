package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherZoneCost is what another zone costs against a busy engine, in requests in flight.
	otherZoneCost = 0.4
	// coldCost is what an engine costs to which a connection would have to be opened first.
	coldCost = 0.5
	// slowCost is what a slow engine costs, in requests in flight for each unit of its pace above 1.
	slowCost = 6.0
	// affinityShare is the share of an engine's slots that calls from this node may hold before a
	// call leaves the engine that has its prompt.
	affinityShare = 0.5
)

// Want says which engine a call would like.
type Want struct {
	Service string
	// Affinity is equal for calls whose prompts begin alike; empty for calls without a prompt.
	Affinity string
	// Preferred is the engine that holds the prompt, if it is known.
	Preferred string
	// Excluded engines were tried.
	Excluded map[string]bool
}

// choose returns the engine for a call and counts it as in flight, or nil if none may be used.
//
// Calls with an affinity meet at one engine without any message between nodes: all rank the engines by
// the same hash. A slow or busy engine is passed over for the next in the ranking. Calls without
// one go to the engine with the least work from here, in this zone if that costs no more.
func (r *Registry) choose(now time.Time, want Want, trace *Trace) *Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := r.candidates(now, want)
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	bestCost := math.Inf(1)
	for _, candidate := range candidates {
		if cost := r.cost(now, candidate, want); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	trace.Engine = best.ID()
	trace.Candidates = len(candidates)
	trace.InFlight = best.inFlight
	trace.Pace = best.pace.at(now)
	best.inFlight++
	best.breaker.sent(now)
	return best
}

func (r *Registry) candidates(now time.Time, want Want) []*Engine {
	var usable, resort []*Engine
	for id, known := range r.services[want.Service] {
		switch {
		case want.Excluded[id]:
		case known.usable(now):
			usable = append(usable, known)
		case known.lastResort(now):
			resort = append(resort, known)
		}
	}
	if len(resort) > len(usable) {
		// Records that go one by one are those of engines that leave; most at once are those of a store
		// that was out. Then the few that stayed must not get all the work.
		return append(usable, resort...)
	}
	return usable
}

func (r *Registry) cost(now time.Time, engine *Engine, want Want) float64 {
	busy := float64(engine.inFlight)
	distance := 0.0
	if engine.specification.Zone != r.zone {
		distance = otherZoneCost
	}
	slow := 0.0
	if current := engine.pace.at(now); current > slowPace {
		slow = slowCost * (current - 1)
	}
	if want.Affinity == "" {
		cost := busy + distance + slow + 0.1*rand.Float64()
		if !engine.pool.Idle() {
			cost += coldCost
		}
		return cost
	}
	if engine.specification.ID == want.Preferred {
		distance = 0
	}
	overload := max(busy-affinityShare*float64(engine.specification.Slots), 0)
	return rank(engine, want) + distance + overload + slow
}

// rank is 0 for the engine that has the prompt, and below 1 for others, the same on all nodes. Engines of
// other zones are used for prompts that are new only if they rank far better, or are less busy: prompts
// are most of the bytes between zones.
func rank(engine *Engine, want Want) float64 {
	if engine.specification.ID == want.Preferred {
		return 0
	}
	hash := xxhash.Sum64String(want.Affinity + "\x00" + engine.specification.ID)
	return 0.05 + 0.9*float64(hash>>11)/float64(1<<53)
}
