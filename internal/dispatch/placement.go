package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
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
	// homeShare is the part of the engines at which prompts with one shared part meet while load allows; fewestHomes is
	// how many of them there are at least.
	homeShare   = 1.0 / 3
	fewestHomes = 2
	// rereadCost is what it costs to read a part of a prompt once more that is as long as what the call adds itself:
	// while an engine reads, all that it runs stands still.
	rereadCost = 0.08
	// mostRereadCost bounds it, so that no engine is ever too busy to be left.
	mostRereadCost = 1.0
	// evenFactor and evenSlack say from how many calls on an engine counts as busier than the others: this many times
	// the mean, and this many calls more.
	evenFactor = 1.2
	evenSlack  = 2.0
	// unevenCost is what each call above that costs.
	unevenCost = 0.1
	// firstTurnCost is what each call at an engine costs a turn that has nothing to be read again. Up to firstTurnSpread is
	// added by chance: what gateways know of one another is some 0.1 to 0.3 s old, and without it all of them chose
	// the same engine in the meantime (with 57 gateways, three times the mean of turns came to one of 45 engines).
	firstTurnCost   = 0.1
	firstTurnSpread = 0.8
	// coldFirstTurnCost is what an engine costs a program that begins if a connection would have to be opened first: as much
	// as three calls in flight. Programs that began anywhere opened a fifth of all connections to engines (of 259 gateways before
	// 102 engines, 4,700 of 22,200 in a minute).
	coldFirstTurnCost = 0.3
)

// Placement says which engine a call would like.
type Placement struct {
	Service string
	// Affinity is equal for calls whose prompts begin alike; empty for calls without a prompt.
	Affinity string
	// Preferred is the engine that holds the prompt, if it is known.
	Preferred string
	// EngineRecorded tells that later calls of the program will know where this one ran. Then its first one may run
	// wherever least is to be done; otherwise all of them meet where the hash says.
	EngineRecorded bool
	// Prompt is what is known of the prompt's parts.
	Prompt Prompt
	// Excluded engines were tried.
	Excluded map[string]bool
}

// Prompt is what is known of a prompt's parts. The zero value stands for a prompt of which nothing is known.
type Prompt struct {
	// Shared names the first part, which prompts of other programs begin with, too.
	SharedPrefix string
	// SharedTokens is its length, NewTokens that of the last part, which no engine has read yet, and HistoryTokens that of
	// all between them, which only an engine has that ran the program's earlier turns.
	SharedTokens, HistoryTokens, NewTokens int64
}

// rereadCost is what it costs to read tokens of the prompt that an engine may not have any more.
func (p Prompt) rereadCost(tokens int64) float64 {
	return min(rereadCost*float64(tokens)/float64(max(p.NewTokens, 1)), mostRereadCost)
}

// choose returns the engine for a call and counts it as in flight, or nil if none may be used.
//
// What an engine reads of a prompt holds up all that it runs, so most of the choice is about reading little: turns
// stay at the engine that ran the ones before, which is known or found by hashing the program, and programs whose
// prompts begin alike meet at a third of the engines. Against that stands load: a program begins where the fewest
// calls of all gateways are in flight, and leaves an engine that has far more of them than the others.
// Calls without a prompt go to the engine with the least work from here, in this zone if that costs no more.
func (r *Registry) choose(now time.Time, want Placement, trace *Trace) *Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := r.candidates(now, want)
	if len(candidates) == 0 {
		return nil
	}
	surroundings := r.surroundingsOf(now, candidates, want)
	best := candidates[0]
	bestCost := math.Inf(1)
	for _, candidate := range candidates {
		if cost := r.cost(now, candidate, want, surroundings); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	trace.Engine = best.ID()
	trace.Candidates = len(candidates)
	trace.InFlight = best.inFlight
	trace.Load = r.busy(now, best)
	trace.LoadAge, _ = r.others.Age(now)
	trace.LatencyRatio = best.pace.at(now)
	best.inFlight++
	best.breaker.sent(now)
	return best
}

func (r *Registry) candidates(now time.Time, want Placement) []*Engine {
	var usable, resort []*Engine
	for id, known := range r.services[want.Service] {
		switch {
		case want.Excluded[id]:
		case known.usable(now, r.outage):
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

// surroundings are what the cost of one candidate depends on beside itself.
type surroundings struct {
	// homes are the engines at which prompts with the call's shared part meet; nil if it has none.
	homes map[*Engine]bool
	// even is up to how many calls an engine is no busier than the others.
	even float64
}

func (r *Registry) surroundingsOf(now time.Time, candidates []*Engine, want Placement) surroundings {
	if want.Affinity == "" {
		return surroundings{}
	}
	sum := 0.0
	for _, candidate := range candidates {
		sum += r.busy(now, candidate)
	}
	return surroundings{
		homes: homesOf(candidates, want.Prompt.SharedPrefix),
		even:  evenFactor*sum/float64(len(candidates)) + evenSlack,
	}
}

// homesOf are the engines that rank first for a shared part of prompts, the same on all gateways.
func homesOf(candidates []*Engine, shared string) map[*Engine]bool {
	if shared == "" {
		return nil
	}
	type ranked struct {
		engine *Engine
		hash   uint64
	}
	all := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		all = append(all, ranked{candidate, xxhash.Sum64String(shared + "\x00" + candidate.specification.ID)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	count := max(int(math.Ceil(homeShare*float64(len(all)))), fewestHomes)
	homes := make(map[*Engine]bool, count)
	for _, home := range all[:min(count, len(all))] {
		homes[home.engine] = true
	}
	return homes
}

// busy is how many calls an engine has in flight, with those of the other gateways as far as they are known.
func (r *Registry) busy(now time.Time, engine *Engine) float64 {
	return float64(engine.inFlight) + r.others.Calls(now, engine.loadKey)
}

// cost weighs an engine for a call; the cheapest one gets it.
func (r *Registry) cost(now time.Time, engine *Engine, want Placement, around surroundings) float64 {
	distance := 0.0
	if engine.specification.Zone != r.zone {
		distance = otherZoneCost
	}
	slow := 0.0
	if current := engine.pace.at(now); current > slowPace {
		slow = slowCost * (current - 1)
	}
	if want.Affinity == "" {
		cost := float64(engine.inFlight) + distance + slow + 0.1*rand.Float64()
		if !engine.pool.HasIdle() {
			cost += coldCost
		}
		return cost
	}
	if engine.specification.ID == want.Preferred {
		distance = 0
	}
	uneven := unevenCost * max(r.busy(now, engine)-around.even, 0)
	return r.promptCost(now, engine, want, around) + distance + uneven + slow
}

// promptCost is what it costs to bring a prompt to an engine that may have less of it than another.
func (r *Registry) promptCost(now time.Time, engine *Engine, want Placement, around surroundings) float64 {
	if engine.specification.ID == want.Preferred {
		return 0
	}
	cost := 0.0
	if around.homes != nil && !around.homes[engine] {
		cost += want.Prompt.rereadCost(want.Prompt.SharedTokens)
	}
	if want.Preferred == "" && want.EngineRecorded {
		if !engine.pool.HasIdle() {
			cost += coldFirstTurnCost
		}
		return cost + firstTurnCost*r.busy(now, engine) + firstTurnSpread*rand.Float64()
	}
	if want.Preferred != "" {
		cost += want.Prompt.rereadCost(want.Prompt.HistoryTokens)
	}
	return cost + rank(engine, want)
}

// rank is below 1, and the same on all nodes. Engines of
// other zones are used for prompts that are new only if they rank far better, or are less busy: prompts
// are most of the bytes between zones.
func rank(engine *Engine, want Placement) float64 {
	hash := xxhash.Sum64String(want.Affinity + "\x00" + engine.specification.ID)
	return 0.05 + 0.9*float64(hash>>11)/float64(1<<53)
}
