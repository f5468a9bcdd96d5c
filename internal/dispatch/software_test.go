package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
)

// applySoftware applies a record of an engine with a version of its software.
func applySoftware(t *testing.T, registry *Registry, id, software string, revision int64) {
	t.Helper()
	record, err := json.Marshal(EngineSpecification{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a", Software: software})
	assert.NilError(t, err)
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, id), Revision: revision, Value: record})
}

// versionedRegistry has the engines "old" of version v1, and "new1" and "new2" of version v2.
func versionedRegistry(t *testing.T) *Registry {
	t.Helper()
	registry := NewRegistry("a", noDial, events.Discard())
	for id, software := range map[string]string{"old": "v1", "new1": "v2", "new2": "v2"} {
		applySoftware(t, registry, id, software, 1)
	}
	return registry
}

// nextForPinned returns the engine that a stream begun by version v1 is sent to, and how long that took.
func nextForPinned(t *testing.T, registry *Registry, software string, excluded ...string) (engine *Engine, took time.Duration, err error) {
	t.Helper()
	call := &Call{Route: resumableRoute(t, 1), Placement: Placement{Service: "s", Excluded: make(map[string]bool), Pinned: true, Software: software}}
	for _, id := range excluded {
		call.Placement.Excluded[id] = true
	}
	startedAt := time.Now()
	engine, err = New(registry, nil, events.Discard()).nextEngine(context.Background(), call, &progress{call: call})
	return engine, time.Since(startedAt), err
}

// The only engine of a version continues its streams, whatever keeps it from new work; engines of other versions never do.
func TestStreamNeverLeavesItsSoftwareVersion(t *testing.T) {
	for name, row := range map[string]struct {
		change   func(engine *Engine)
		excluded []string
		found    bool
		atOnce   bool
	}{
		"usable":   {change: func(*Engine) {}, found: true, atOnce: true},
		"failing":  {change: func(engine *Engine) { engine.breaker.failed(time.Now(), true) }, found: true, atOnce: true},
		"full":     {change: func(engine *Engine) { engine.fullUntil = time.Now().Add(fullBackoff) }, found: true},
		"returned": {change: func(engine *Engine) { engine.returnedAt = time.Now() }, found: true, atOnce: true},
		"drains":   {change: func(engine *Engine) { engine.drainingAt = time.Now(); engine.specification.Draining = true }, found: true, atOnce: true},
		"has drained": {change: func(engine *Engine) {
			engine.drainingAt = time.Now().Add(-2 * drainingGrace)
			engine.specification.Draining = true
		}, atOnce: true},
		"removed":              {change: func(engine *Engine) { engine.removedAt = time.Now() }, found: true, atOnce: true},
		"removed long ago":     {change: func(engine *Engine) { engine.removedAt = time.Now().Add(-2 * removedGrace) }, atOnce: true},
		"gone":                 {change: func(*Engine) {}, excluded: []string{"old"}, atOnce: true},
		"restarted as another": {change: func(engine *Engine) { engine.specification.Software = "v3" }, atOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry := versionedRegistry(t)
			row.change(registry.byID["old"])
			engine, took, err := nextForPinned(t, registry, "v1", row.excluded...)
			assert.Equal(t, err == nil, row.found, "%v", err)
			if row.found {
				assert.Equal(t, engine.ID(), "old")
			}
			if row.atOnce {
				assert.Assert(t, took < engineWaitTimeout, "decided after %s", took)
			}
			assert.Assert(t, took < pinnedWaitTimeout, "decided after %s", took)
		})
	}
}

// A usable engine of the version is preferred to one that fails.
func TestUsableEngineOfTheVersionIsPreferred(t *testing.T) {
	registry := versionedRegistry(t)
	registry.byID["new1"].breaker.failed(time.Now(), true)
	for range 10 {
		engine, _, err := nextForPinned(t, registry, "v2")
		assert.NilError(t, err)
		assert.Equal(t, engine.ID(), "new2")
	}
}

// Engines that state no version are of one version of their own.
func TestEnginesWithoutSoftwareVersion(t *testing.T) {
	registry := versionedRegistry(t)
	_, _, err := nextForPinned(t, registry, "")
	assert.Assert(t, err != nil)
	applySoftware(t, registry, "plain", "", 1)
	engine, _, err := nextForPinned(t, registry, "")
	assert.NilError(t, err)
	assert.Equal(t, engine.ID(), "plain")
}

// A stream is not resumed at its engine once that has a record of another software version under the same ID and address.
func TestStreamIsNotResumedAtEngineWithNewSoftware(t *testing.T) {
	registry := versionedRegistry(t)
	old := registry.byID["old"]
	applySoftware(t, registry, "other", "v1", 1)
	applySoftware(t, registry, "old", "v2", 2)
	assert.Equal(t, registry.byID["old"], old)
	call := &Call{Route: resumableRoute(t, 1), Placement: Placement{Service: "s", Excluded: make(map[string]bool), Pinned: true, Software: "v1"}}
	next, err := New(registry, nil, events.Discard()).nextEngine(context.Background(), call, &progress{call: call, ran: true, resumes: 1, resumeOn: old})
	assert.NilError(t, err)
	assert.Equal(t, next.ID(), "other")
}

// A gateway that learned of an engine from a node of an earlier build, without its software version, learns that from a later
// build at the same revision, and doesn't forget it again.
func TestSoftwareVersionIsLearnedFromALaterBuild(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	apply := func(software string, format int) {
		record, err := json.Marshal(EngineSpecification{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "a", Software: software})
		assert.NilError(t, err)
		registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e"), Revision: 1, Format: format, Value: record})
	}
	apply("", 0)
	assert.DeepEqual(t, registry.SoftwareVersions("s"), []string{""})
	apply("v1", EngineFormat)
	assert.DeepEqual(t, registry.SoftwareVersions("s"), []string{"v1"})
	apply("", 0)
	assert.DeepEqual(t, registry.SoftwareVersions("s"), []string{"v1"})
	assert.Assert(t, registry.byID["e"].trusted(time.Now()))
}

// While streams wait for the engines of a version, new calls leave these to them if there are others.
func TestNewCallsLeaveAwaitedEnginesToStreams(t *testing.T) {
	registry := versionedRegistry(t)
	awaited := Placement{Service: "s", Pinned: true, Software: "v1"}
	chosenOf := func() map[string]bool {
		chosen := make(map[string]bool)
		for range 30 {
			engine := registry.choose(time.Now(), Placement{Service: "s"}, &Trace{})
			chosen[engine.ID()] = true
		}
		return chosen
	}
	registry.beginWait(awaited)
	registry.beginWait(awaited)
	registry.endWait(awaited)
	assert.DeepEqual(t, chosenOf(), map[string]bool{"new1": true, "new2": true})
	for _, id := range []string{"new1", "new2"} {
		registry.byID[id].breaker.failed(time.Now(), true)
	}
	assert.DeepEqual(t, chosenOf(), map[string]bool{"old": true})
	registry.endWait(awaited)
	assert.Equal(t, len(registry.waiting), 0)
}

// Attempts that gave an engine no work don't use up the retry budget of pinned calls, and refusals end with the wait.
func TestRefusalsOfStreamsCostNoRetries(t *testing.T) {
	registry := versionedRegistry(t)
	retries := &retryBudget{}
	call := &Call{Route: resumableRoute(t, 1), Placement: Placement{Service: "s", Excluded: make(map[string]bool), Pinned: true, Software: "v1"}}
	progress := &progress{call: call}
	for range 3 * maxAttempts {
		assert.Assert(t, progress.mayRetry(context.Background(), refused, registry.byID["old"], retries))
	}
	assert.Assert(t, !call.Placement.Excluded["old"])
	registry.byID["old"].fullUntil = time.Now().Add(time.Minute)
	startedAt := time.Now()
	_, err := New(registry, nil, events.Discard()).nextEngine(context.Background(), call, progress)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(startedAt) < 2*pinnedWaitTimeout)
	assert.Assert(t, progress.mayRetry(context.Background(), gone, registry.byID["old"], retries))
	call.Placement.Pinned = false
	assert.Assert(t, !progress.mayRetry(context.Background(), refused, registry.byID["old"], retries))
}

// A version is known for a while after its last engine was dropped or restarted with other software.
func TestSoftwareVersionsThatLeftAreKnown(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	before := time.Now()
	applySoftware(t, registry, "e", "v1", 1)
	applySoftware(t, registry, "e", "v2", 2)
	registry.drop(registry.byID["e"])
	applySoftware(t, registry, "f", "v3", 3)
	versions := registry.SoftwareVersionsSince("s", before)
	slices.Sort(versions)
	assert.DeepEqual(t, versions, []string{"v1", "v2", "v3"})
	assert.DeepEqual(t, registry.SoftwareVersionsSince("s", time.Now().Add(time.Second)), []string{"v3"})
	assert.DeepEqual(t, registry.SoftwareVersionsSince("other", before), []string(nil))
	for key := range registry.left {
		registry.left[key] = before.Add(-2 * SoftwareRetention)
	}
	registry.drop(registry.byID["f"])
	assert.Equal(t, len(registry.left), 1)
}
