package dispatch

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
)

// applyLife applies a record of the engine e0.
func applyLife(t *testing.T, registry *Registry, revision int64, format int, change func(*EngineSpecification)) {
	t.Helper()
	specification := EngineSpecification{ID: "e0", Service: "s", Address: "127.0.0.1:1", Zone: "a", Software: "v1", Slots: 8}
	change(&specification)
	value, err := json.Marshal(specification)
	assert.NilError(t, err)
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: revision, Format: format, Value: value})
}

func startedAt(millis int64, draining bool) func(*EngineSpecification) {
	return func(specification *EngineSpecification) {
		specification.StartedMillis, specification.Draining = millis, draining
	}
}

func removeEngine(registry *Registry, revision int64) {
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: revision})
}

func usableNow(registry *Registry) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	engine := registry.byID["e0"]
	return engine != nil && engine.usable(time.Now(), registry.outage)
}

// Guards against engines that get no work after they drained and started again under their IDs.
func TestDrainedEngineThatStartedAgainIsUsed(t *testing.T) {
	for name, between := range map[string]func(*Registry){
		"removed in between": func(registry *Registry) { removeEngine(registry, 3) },
		"not removed":        func(*Registry) {},
	} {
		t.Run(name, func(t *testing.T) {
			registry := NewRegistry("a", noDial, events.Discard())
			applyLife(t, registry, 1, EngineFormat, startedAt(1000, false))
			applyLife(t, registry, 2, EngineFormat, startedAt(1000, true))
			between(registry)
			applyLife(t, registry, 4, EngineFormat, startedAt(2000, false))
			assert.Assert(t, usableNow(registry))
		})
	}
}

// Guards against the state of an earlier life that is believed of the next one, and against delayed records of the earlier one.
func TestRecordsOfAnotherLife(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	applyLife(t, registry, 1, EngineFormat, startedAt(1000, false))
	earlier := registry.byID["e0"]
	earlier.breaker.failed(time.Now(), true)
	applyLife(t, registry, 2, EngineFormat, startedAt(2000, false))
	assert.Assert(t, usableNow(registry), "a new life has a closed breaker")
	assert.Equal(t, earlier.presence(time.Now(), outage{}), absent)

	applyLife(t, registry, 1, EngineFormat, startedAt(1000, true))
	assert.Assert(t, usableNow(registry), "an older revision changes nothing")
	applyLife(t, registry, 3, EngineFormat, startedAt(1000, true))
	applyLife(t, registry, 4, EngineFormat, startedAt(2000, false))
	assert.Assert(t, usableNow(registry), "a delayed write of the earlier life lasts until the next record")

	applyLife(t, registry, 5, EngineFormat, startedAt(1500, false))
	assert.Assert(t, !usableNow(registry), "an earlier start is used as a fallback only, in case it is delayed")
	registry.mutex.Lock()
	registry.byID["e0"].returnedAt = time.Now().Add(-2 * returnedTrustDelay)
	registry.mutex.Unlock()
	assert.Assert(t, usableNow(registry), "it lasts: the engine's clock was set back")
}

// Guards against records without a start, as an older build translates them, that change the known life.
func TestRecordWithoutStart(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	applyLife(t, registry, 1, EngineFormat, startedAt(1000, true))
	applyLife(t, registry, 2, EngineFormat-1, startedAt(0, false))
	assert.Assert(t, !usableNow(registry), "a draining engine stays draining")
	applyLife(t, registry, 2, EngineFormat, startedAt(1000, false))
	assert.Assert(t, !usableNow(registry))
	applyLife(t, registry, 3, EngineFormat-1, startedAt(0, false))
	applyLife(t, registry, 3, EngineFormat, startedAt(2000, false))
	assert.Assert(t, usableNow(registry), "the same record in a newer format tells the start")
}

// Guards against ends that are not seen because the record of the engine's earlier life stated no start.
func TestFirstStatedStartIsANewLife(t *testing.T) {
	for _, format := range []int{EngineFormat - 1, EngineFormat} {
		registry := NewRegistry("a", noDial, events.Discard())
		applyLife(t, registry, 1, format, startedAt(0, false))
		earlier := registry.byID["e0"]
		applyLife(t, registry, 2, EngineFormat, startedAt(1000, false))
		assert.Equal(t, registry.byID["e0"] != earlier, format == EngineFormat, "format %d", format)
	}
}

// Guards against streams that begin or go on at an engine that started again with other software, of which its record does not tell yet.
func TestStreamsWaitForTheRecordOfAnEngineThatEnded(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	applyLife(t, registry, 10, EngineFormat, startedAt(1000, false))
	other := EngineSpecification{ID: "e1", Service: "s", Address: "127.0.0.1:2", Zone: "a", Software: "v1", Slots: 8, StartedMillis: 5}
	value, err := json.Marshal(other)
	assert.NilError(t, err)
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e1"), Revision: 10, Format: EngineFormat, Value: value})
	stream := Placement{Service: "s", SoftwareMatters: true}
	pinned := Placement{Service: "s", SoftwareMatters: true, Pinned: true, Software: "v1"}
	chosen := func(placement Placement) (ids []string) {
		registry.mutex.Lock()
		defer registry.mutex.Unlock()
		for _, engine := range registry.candidates(time.Now(), placement) {
			ids = append(ids, engine.ID())
		}
		slices.Sort(ids)
		return ids
	}
	assert.DeepEqual(t, chosen(stream), []string{"e0", "e1"})

	earlier := registry.byID["e0"]
	registry.engineEnded(time.Now(), earlier, proofRefused)
	assert.DeepEqual(t, chosen(stream), []string{"e1"})
	assert.DeepEqual(t, chosen(pinned), []string{"e1"})
	// Other calls go to either.
	assert.DeepEqual(t, chosen(Placement{Service: "s"}), []string{"e0", "e1"})
	assert.Equal(t, registry.acquire(earlier, pinned, &Trace{}), absent)
	pinned.Excluded = map[string]bool{"e1": true}
	assert.Assert(t, registry.hasEngineFor(time.Now(), pinned), "a stream does not wait for the record")
	assert.Equal(t, registry.noteStart(earlier, 1000), sameLife)
	// A probe has shown that the same life goes on.
	assert.DeepEqual(t, chosen(stream), []string{"e0", "e1"})

	registry.ApplyEnd("e0", 999)
	// News of an earlier life.
	assert.DeepEqual(t, chosen(stream), []string{"e0", "e1"})
	registry.ApplyEnd("e0", 1000)
	assert.DeepEqual(t, chosen(stream), []string{"e1"})
	applyLife(t, registry, 11, EngineFormat, startedAt(2000, false))
	// Its record tells of the next life.
	assert.DeepEqual(t, chosen(stream), []string{"e0", "e1"})
}
