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
	// crossZoneCost is the cost of an engine in another zone, in requests in flight.
	crossZoneCost = 0.4
	// newConnectionCost is the cost of an engine to which no idle connection exists, in requests in flight.
	newConnectionCost = 0.5
	// slowEngineCost is the cost of a slow engine, in requests in flight for each unit of its latency ratio above 1.
	slowEngineCost = 6.0
	// prefixEngineShare is the share of the engines that prompts with the same prefix use while load allows;
	// minPrefixEngines is the minimum number of these engines.
	prefixEngineShare = 1.0 / 3
	minPrefixEngines  = 2
	// prefillCost is the cost of processing as many uncached tokens as the call has new tokens, in requests in flight.
	// A prefill stalls all other calls of the engine, so the cost is proportional to the number of tokens.
	prefillCost = 0.08
	// maxPrefillCost bounds the cost of a prefill, in requests in flight, so that a call can always move away from an
	// overloaded engine.
	maxPrefillCost = 1.0
	// An engine counts as overloaded above overloadFactor times the mean number of calls in flight, plus
	// overloadSlack calls.
	overloadFactor = 1.2
	overloadSlack  = 2.0
	// overloadCost is the cost of each call above the overload threshold, in requests in flight.
	overloadCost = 0.1
	// firstTurnLoadCost is the cost of each call in flight for a program's first turn, which has no history that an
	// engine may have cached. A random cost of up to firstTurnJitter is added: the load reports of other gateways are
	// 0.1 to 0.3 s old, so that without it all gateways would choose the same engine between two reports: with 57 gateways,
	// one of 45 engines got three times the mean number of turns.
	firstTurnLoadCost = 0.1
	firstTurnJitter   = 0.8
	// firstTurnConnectionCost is the cost for a first turn of an engine to which no idle connection exists, as much as that
	// of three calls in flight. Without it, first turns opened a fifth of all connections (259 gateways, 102 engines).
	firstTurnConnectionCost = 0.3
)

// Placement holds the constraints and preferences for choosing a call's engine.
type Placement struct {
	Service string
	// Affinity is equal for calls whose prompts have a common prefix; empty for calls without a prompt.
	Affinity string
	// Preferred is the ID of the engine that holds the prompt, if known.
	Preferred string
	// EngineRecorded is set if the engine that runs this call is recorded for later calls of the program. The first
	// call may then run at the least loaded engine; otherwise all calls of the program are placed by hash.
	EngineRecorded bool
	// Prompt is the structure of the prompt, as far as known.
	Prompt Prompt
	// Excluded holds the IDs of engines that must not be used, such as those already tried.
	Excluded map[string]bool
	// Pinned restricts the call to engines whose software has the version Software. It is set for streams that have begun,
	// since the output of different versions can't be joined.
	Pinned   bool
	Software string
	// SoftwareMatters is set for streams, which only engines of one software version can continue. They don't go to an engine of which it
	// is not known.
	SoftwareMatters bool
	// Isolated keeps the call from engines that run another isolated call, if there are others, and chooses among the rest at
	// random. If an engine ends, most likely only one of the calls that may have caused it is isolated.
	Isolated bool
}

// allows reports whether the call may run at an engine with a version of its software.
func (p Placement) allows(software string) bool { return !p.Pinned || software == p.Software }

// allowsEngine reports whether the call may run at an engine, as far as its software is known.
func (p Placement) allowsEngine(now time.Time, engine *Engine) bool {
	return p.allows(engine.specification.Software) && !(p.SoftwareMatters && engine.softwareUnknown(now))
}

// Prompt is the structure of a prompt. The zero value stands for an unknown prompt.
type Prompt struct {
	// SharedPrefix identifies the first part, which prompts of other programs also begin with.
	SharedPrefix string
	// SharedTokens is the number of tokens in the shared prefix. HistoryTokens counts the program's earlier turns,
	// which only the engine that ran them has cached, and NewTokens the last part, which no engine has processed.
	SharedTokens, HistoryTokens, NewTokens int64
}

// prefillCost is the cost of processing tokens of the prompt that an engine may not have cached.
func (p Prompt) prefillCost(tokens int64) float64 {
	return min(prefillCost*float64(tokens)/float64(max(p.NewTokens, 1)), maxPrefillCost)
}

// choose returns the engine for a call and counts the call as in flight, or returns nil if no engine may be used.
//
// A prefill stalls all other calls of an engine, so the choice mostly minimizes it: the turns of a program
// stay at the engine that ran the earlier ones, which is recorded or found by hashing the program, and programs with
// the same prompt prefix share a subset of the engines. Load counteracts this: a program starts at an engine
// with few calls of all gateways in flight, and leaves an engine that has far more of them than the others.
// Calls without a prompt go to the engine with the fewest calls of this gateway, preferably in its zone.
func (r *Registry) choose(now time.Time, placement Placement, trace *Trace) *Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := r.candidates(now, placement)
	if placement.Isolated {
		candidates = withoutIsolated(candidates)
	}
	if len(candidates) == 0 {
		return nil
	}
	var best *Engine
	if placement.Isolated {
		// Calls that an engine's end interrupted at several gateways would otherwise meet again, and the next end would not tell
		// them apart.
		best = candidates[rand.N(len(candidates))]
	} else {
		best = r.cheapest(now, candidates, placement)
	}
	trace.Engine = best.ID()
	trace.Software = best.specification.Software
	trace.Candidates = len(candidates)
	trace.InFlight = best.inFlight
	trace.Load = r.callsAt(now, best)
	trace.LoadAge, _ = r.others.Age(now)
	trace.LatencyRatio = best.latencyRatio.at(now)
	best.inFlight++
	best.addIsolated(placement.Isolated, 1)
	best.breaker.recordSent(now)
	return best
}

// cheapest returns the candidate with the lowest cost.
func (r *Registry) cheapest(now time.Time, candidates []*Engine, placement Placement) *Engine {
	stats := r.candidateStatsOf(now, candidates, placement)
	best := candidates[0]
	bestCost := math.Inf(1)
	for _, candidate := range candidates {
		if cost := r.cost(now, candidate, placement, stats); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func (r *Registry) candidates(now time.Time, placement Placement) []*Engine {
	if placement.Pinned {
		return r.pinnedCandidates(now, placement)
	}
	var usable, fallback, awaited, unknown []*Engine
	for id, engine := range r.services[placement.Service] {
		switch {
		case placement.Excluded[id]:
		case !placement.allowsEngine(now, engine):
			if engine.usable(now, r.outage) {
				unknown = append(unknown, engine)
			}
		case engine.usable(now, r.outage) && r.waiting[softwareKey{placement.Service, engine.specification.Software}] > 0:
			awaited = append(awaited, engine)
		case engine.usable(now, r.outage):
			usable = append(usable, engine)
		case engine.usableAsFallback(now):
			fallback = append(fallback, engine)
		}
	}
	if len(usable) == 0 {
		usable = awaited
	}
	if len(usable)+len(fallback) == 0 {
		return unknown
	}
	if len(fallback) > len(usable) {
		// Engines that leave lose their records one by one. If most records are missing, the store was
		// unavailable, and the few engines that still have one must not get all the work.
		return append(usable, fallback...)
	}
	return usable
}

// withoutIsolated returns the engines that run no isolated call, or all if there are none.
func withoutIsolated(engines []*Engine) []*Engine {
	var others []*Engine
	for _, engine := range engines {
		if engine.isolated == 0 {
			others = append(others, engine)
		}
	}
	if len(others) == 0 {
		return engines
	}
	return others
}

// pinnedCandidates returns the engines for a pinned call. If none is usable for new work, those that are present but failing
// or not trusted are better than none: no other engine can continue the stream.
func (r *Registry) pinnedCandidates(now time.Time, placement Placement) []*Engine {
	var usable, present []*Engine
	for id, engine := range r.services[placement.Service] {
		switch {
		case placement.Excluded[id] || !placement.allowsEngine(now, engine):
		case engine.usable(now, r.outage):
			usable = append(usable, engine)
		case engine.mayContinue(now, r.outage):
			present = append(present, engine)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return present
}

// hasEngineFor reports whether any engine that the placement allows is present, so that waiting for one may help. One whose software is not
// known may turn out to have the same as before.
func (r *Registry) hasEngineFor(now time.Time, placement Placement) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, engine := range r.services[placement.Service] {
		if !placement.Excluded[id] && placement.allows(engine.specification.Software) && engine.presence(now, r.outage) == present {
			return true
		}
	}
	return false
}

// candidateStats are the properties of all candidates that the cost of each depends on.
type candidateStats struct {
	// prefixEngines are the engines for prompts with the call's shared prefix; nil if it has none.
	prefixEngines map[*Engine]bool
	// overloadThreshold is the number of calls above which an engine counts as overloaded.
	overloadThreshold float64
}

func (r *Registry) candidateStatsOf(now time.Time, candidates []*Engine, placement Placement) candidateStats {
	if placement.Affinity == "" {
		return candidateStats{}
	}
	sum := 0.0
	for _, candidate := range candidates {
		sum += r.callsAt(now, candidate)
	}
	return candidateStats{
		prefixEngines:     prefixEnginesOf(candidates, placement.Prompt.SharedPrefix),
		overloadThreshold: overloadFactor*sum/float64(len(candidates)) + overloadSlack,
	}
}

// prefixEnginesOf returns the engines that rank first for a shared prefix, by rendezvous hashing; all gateways agree.
func prefixEnginesOf(candidates []*Engine, sharedPrefix string) map[*Engine]bool {
	if sharedPrefix == "" {
		return nil
	}
	type ranked struct {
		engine *Engine
		hash   uint64
	}
	all := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		all = append(all, ranked{candidate, xxhash.Sum64String(sharedPrefix + "\x00" + candidate.specification.ID)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	count := max(int(math.Ceil(prefixEngineShare*float64(len(all)))), minPrefixEngines)
	engines := make(map[*Engine]bool, count)
	for _, first := range all[:min(count, len(all))] {
		engines[first.engine] = true
	}
	return engines
}

// callsAt returns the number of calls in flight at an engine: the calls of this gateway and the estimated
// calls of the others.
func (r *Registry) callsAt(now time.Time, engine *Engine) float64 {
	return float64(engine.inFlight) + r.others.Calls(now, engine.loadKey)
}

// cost returns the cost of running a call at an engine; the engine with the lowest cost is chosen.
func (r *Registry) cost(now time.Time, engine *Engine, placement Placement, stats candidateStats) float64 {
	zoneCost := 0.0
	if engine.specification.Zone != r.zone {
		zoneCost = crossZoneCost
	}
	latencyCost := 0.0
	if current := engine.latencyRatio.at(now); current > slowRatio {
		latencyCost = slowEngineCost * (current - 1)
	}
	if placement.Affinity == "" {
		cost := float64(engine.inFlight) + zoneCost + latencyCost + 0.1*rand.Float64()
		if !engine.pool.HasIdle() {
			cost += newConnectionCost
		}
		return cost
	}
	if engine.specification.ID == placement.Preferred {
		zoneCost = 0
	}
	loadCost := overloadCost * max(r.callsAt(now, engine)-stats.overloadThreshold, 0)
	return r.promptCost(now, engine, placement, stats) + zoneCost + loadCost + latencyCost
}

// promptCost returns the cost of processing the prompt at an engine that may have less of it cached than another.
func (r *Registry) promptCost(now time.Time, engine *Engine, placement Placement, stats candidateStats) float64 {
	if engine.specification.ID == placement.Preferred {
		return 0
	}
	cost := 0.0
	if stats.prefixEngines != nil && !stats.prefixEngines[engine] {
		cost += placement.Prompt.prefillCost(placement.Prompt.SharedTokens)
	}
	if placement.Preferred == "" && placement.EngineRecorded {
		if !engine.pool.HasIdle() {
			cost += firstTurnConnectionCost
		}
		return cost + firstTurnLoadCost*r.callsAt(now, engine) + firstTurnJitter*rand.Float64()
	}
	if placement.Preferred != "" {
		cost += placement.Prompt.prefillCost(placement.Prompt.HistoryTokens)
	}
	return cost + rank(engine, placement)
}

// rank returns a hash-based cost between 0.05 and 0.95 that is the same at all gateways. It is weighed against
// crossZoneCost: new prompts leave the zone only for an engine that ranks far better or is less loaded, since prompts
// are most of the traffic between zones.
func rank(engine *Engine, placement Placement) float64 {
	hash := xxhash.Sum64String(placement.Affinity + "\x00" + engine.specification.ID)
	return 0.05 + 0.9*float64(hash>>11)/float64(1<<53)
}
