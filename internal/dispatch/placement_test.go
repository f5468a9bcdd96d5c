package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/load"
)

// longSharedPrompt returns a prompt whose shared prefix is much longer than its new part.
func longSharedPrompt(name string) Prompt {
	return Prompt{SharedPrefix: name, SharedTokens: 12_000, NewTokens: 1_000}
}

// twelveEngines returns a registry with twelve engines in one zone.
func twelveEngines(t *testing.T) *Registry {
	zones := make([]string, 12)
	for index := range zones {
		zones[index] = "a"
	}
	return registryOf(t, "a", zones...)
}

// Programs with the same long prefix use few engines, since each engine's first prefill of it stalls all its calls.
func TestSharedPrefixUsesFewEngines(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	all := make(map[string]bool)
	for part := range 8 {
		used := make(map[string]bool)
		for program := range 40 {
			placement := Placement{Service: "s", Affinity: fmt.Sprint(part, program), EngineRecorded: true, Prompt: longSharedPrompt(fmt.Sprint("part ", part))}
			engine := registry.choose(now, placement, &Trace{})
			registry.release(engine, false)
			used[engine.ID()] = true
			all[engine.ID()] = true
		}
		assert.Assert(t, len(used) <= 4, "prefix %d is processed by %d engines", part, len(used))
		assert.Assert(t, len(used) >= 2, "prefix %d is processed by only %d engines", part, len(used))
	}
	assert.Assert(t, len(all) >= 10, "only %d engines are used", len(all))
}

func TestShortSharedPrefixUsesManyEngines(t *testing.T) {
	registry := twelveEngines(t)
	used := make(map[string]bool)
	for program := range 60 {
		placement := Placement{Service: "s", Affinity: fmt.Sprint(program), Prompt: Prompt{SharedPrefix: "part", SharedTokens: 500, NewTokens: 1_000}}
		engine := registry.choose(time.Now(), placement, &Trace{})
		registry.release(engine, false)
		used[engine.ID()] = true
	}
	assert.Assert(t, len(used) >= 8, "only %d engines are used", len(used))
}

// The calls in flight of other gateways count for the placement of first turns until their report is stale.
func TestFirstTurnAvoidsEnginesBusyWithOtherGateways(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	placement := Placement{Service: "s", Affinity: "program", EngineRecorded: true, Prompt: longSharedPrompt("part")}
	idle := registry.choose(now, placement, &Trace{})
	registry.release(idle, false)
	registry.Take(now, load.Counts{{Engine: load.KeyOf(idle.ID()), Calls: 30}})
	chosen := func(at time.Time) int {
		times := 0
		for range 200 {
			engine := registry.choose(at, placement, &Trace{})
			registry.release(engine, false)
			if engine == idle {
				times++
			}
		}
		return times
	}
	assert.Equal(t, chosen(now), 0)
	assert.Assert(t, chosen(now.Add(10*time.Second)) > 20, "a stale load report still counts")
}

// Gateways with the same stale load report must not all choose the same engine.
func TestConcurrentFirstTurnsAreSpread(t *testing.T) {
	now := time.Now()
	report := load.Counts{{Engine: load.KeyOf("e0"), Calls: 4}, {Engine: load.KeyOf("e1"), Calls: 5}, {Engine: load.KeyOf("e2"), Calls: 6}, {Engine: load.KeyOf("e3"), Calls: 4}}
	started := make(map[string]int)
	for gateway := range 1000 {
		registry := registryOf(t, "a", "a", "a", "a", "a")
		registry.Take(now, report)
		placement := Placement{Service: "s", Affinity: fmt.Sprint(gateway), EngineRecorded: true}
		started[registry.choose(now, placement, &Trace{}).ID()]++
	}
	for engine, programs := range started {
		assert.Assert(t, programs < 450, "%d of 1000 programs started at %s", programs, engine)
	}
}

// Turns stay at a moderately loaded engine that has their history cached, and leave an overloaded one.
func TestTurnsStayAtEngineWithHistory(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	prompt := longSharedPrompt("part")
	prompt.HistoryTokens = 9_000
	placement := Placement{Service: "s", Affinity: "program", EngineRecorded: true, Preferred: "e5", Prompt: prompt}
	for calls, stay := range map[int]bool{0: true, 5: true, 40: false} {
		registry.Take(now, load.Counts{{Engine: load.KeyOf("e5"), Calls: calls}})
		engine := registry.choose(now, placement, &Trace{})
		registry.release(engine, false)
		assert.Equal(t, engine.ID() == "e5", stay, "with %d calls of other gateways", calls)
	}
}

// If the engine is not recorded for later turns, all gateways must choose the same one.
func TestUnrecordedProgramsArePlacedByHash(t *testing.T) {
	one, other := twelveEngines(t), twelveEngines(t)
	now := time.Now()
	for program := range 20 {
		placement := Placement{Service: "s", Affinity: fmt.Sprint(program), Prompt: longSharedPrompt("part")}
		assert.Equal(t, one.choose(now, placement, &Trace{}).ID(), other.choose(now, placement, &Trace{}).ID())
	}
}

func TestReportContainsCallsInFlight(t *testing.T) {
	registry := twelveEngines(t)
	assert.Equal(t, len(registry.Report()), 0)
	engine := registry.choose(time.Now(), Placement{Service: "s", Preferred: "e3", Affinity: "p"}, &Trace{})
	registry.acquire(engine, Placement{}, &Trace{})
	assert.DeepEqual(t, registry.Report(), load.Counts{{Engine: load.KeyOf("e3"), Calls: 2}})
}

// Two isolated calls share an engine only if there is no other, and isolation ends with the call.
func TestIsolatedCallsAreKeptApart(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	isolated := Placement{Service: "s", Isolated: true}
	used := make(map[string]*Engine)
	for range 3 {
		engine := registry.choose(time.Now(), isolated, &Trace{})
		used[engine.ID()] = engine
	}
	assert.Equal(t, len(used), 3)
	assert.Assert(t, registry.choose(time.Now(), isolated, &Trace{}) != nil)
	for _, engine := range used {
		registry.release(engine, true)
	}
}
