package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/load"
)

// longShared is a prompt whose shared part is many times what a turn adds.
func longShared(name string) Prompt {
	return Prompt{SharedPrefix: name, SharedTokens: 12_000, NewTokens: 1_000}
}

// engines returns twelve engines of one zone in a registry.
func twelveEngines(t *testing.T) *Registry {
	zones := make([]string, 12)
	for index := range zones {
		zones[index] = "a"
	}
	return registryOf(t, "a", zones...)
}

// An engine that reads a long shared part for the first time holds up all that it runs, so programs with one
// shared part meet at a third of the engines, and those with others elsewhere.
func TestProgramsWithOneSharedPartMeetAtFewEngines(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	all := make(map[string]bool)
	for part := range 8 {
		used := make(map[string]bool)
		for program := range 40 {
			want := Placement{Service: "s", Affinity: fmt.Sprint(part, program), EngineRecorded: true, Prompt: longShared(fmt.Sprint("part ", part))}
			engine := registry.choose(now, want, &Trace{})
			registry.release(engine)
			used[engine.ID()] = true
			all[engine.ID()] = true
		}
		assert.Assert(t, len(used) <= 4, "part %d is read by %d engines", part, len(used))
		assert.Assert(t, len(used) >= 2, "part %d has %d engines", part, len(used))
	}
	assert.Assert(t, len(all) >= 10, "only %d engines are used", len(all))
}

// Short shared parts don't tie programs to few engines.
func TestShortSharedPartsDoNotBindPrograms(t *testing.T) {
	registry := twelveEngines(t)
	used := make(map[string]bool)
	for program := range 60 {
		want := Placement{Service: "s", Affinity: fmt.Sprint(program), Prompt: Prompt{SharedPrefix: "part", SharedTokens: 500, NewTokens: 1_000}}
		engine := registry.choose(time.Now(), want, &Trace{})
		registry.release(engine)
		used[engine.ID()] = true
	}
	assert.Assert(t, len(used) >= 8, "only %d engines are used", len(used))
}

// A program begins where few calls are in flight, those of other gateways included.
func TestProgramsBeginWhereOtherGatewaysHaveFewCalls(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	want := Placement{Service: "s", Affinity: "program", EngineRecorded: true, Prompt: longShared("part")}
	idle := registry.choose(now, want, &Trace{})
	registry.release(idle)
	registry.Take(now, load.Counts{{Engine: load.KeyOf(idle.ID()), Calls: 30}})
	chosen := func(at time.Time) int {
		times := 0
		for range 200 {
			engine := registry.choose(at, want, &Trace{})
			registry.release(engine)
			if engine == idle {
				times++
			}
		}
		return times
	}
	assert.Equal(t, chosen(now), 0)
	assert.Assert(t, chosen(now.Add(10*time.Second)) > 20, "news that has grown old no longer counts")
}

// Gateways that know the same, a while old, don't all choose one engine meanwhile.
func TestProgramsThatBeginAtOnceAreSpread(t *testing.T) {
	now := time.Now()
	news := load.Counts{{Engine: load.KeyOf("e0"), Calls: 4}, {Engine: load.KeyOf("e1"), Calls: 5}, {Engine: load.KeyOf("e2"), Calls: 6}, {Engine: load.KeyOf("e3"), Calls: 4}}
	began := make(map[string]int)
	for gateway := range 1000 {
		registry := registryOf(t, "a", "a", "a", "a", "a")
		registry.Take(now, news)
		want := Placement{Service: "s", Affinity: fmt.Sprint(gateway), EngineRecorded: true}
		began[registry.choose(now, want, &Trace{}).ID()]++
	}
	for engine, programs := range began {
		assert.Assert(t, programs < 450, "%d of 1000 programs began at %s", programs, engine)
	}
}

// Turns stay at the engine that ran the ones before while it is somewhat busier than the others, for moving them means
// to read all of their history again; they leave one that has far more calls.
func TestTurnsStayWhereTheirHistoryIs(t *testing.T) {
	registry := twelveEngines(t)
	now := time.Now()
	prompt := longShared("part")
	prompt.HistoryTokens = 9_000
	want := Placement{Service: "s", Affinity: "program", EngineRecorded: true, Preferred: "e5", Prompt: prompt}
	for calls, stays := range map[int]bool{0: true, 5: true, 40: false} {
		registry.Take(now, load.Counts{{Engine: load.KeyOf("e5"), Calls: calls}})
		engine := registry.choose(now, want, &Trace{})
		registry.release(engine)
		assert.Equal(t, engine.ID() == "e5", stays, "with %d calls of others", calls)
	}
}

// Where later turns won't know where the first one ran, all gateways must find the same engine.
func TestProgramsThatNobodyRemembersMeetByHash(t *testing.T) {
	one, other := twelveEngines(t), twelveEngines(t)
	now := time.Now()
	for program := range 20 {
		want := Placement{Service: "s", Affinity: fmt.Sprint(program), Prompt: longShared("part")}
		assert.Equal(t, one.choose(now, want, &Trace{}).ID(), other.choose(now, want, &Trace{}).ID())
	}
}

func TestReportTellsCallsInFlight(t *testing.T) {
	registry := twelveEngines(t)
	assert.Equal(t, len(registry.Report()), 0)
	engine := registry.choose(time.Now(), Placement{Service: "s", Preferred: "e3", Affinity: "p"}, &Trace{})
	registry.use(engine)
	assert.DeepEqual(t, registry.Report(), load.Counts{{Engine: load.KeyOf("e3"), Calls: 2}})
}
