package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/upstream"
)

func noDial(context.Context, string) (net.Conn, error) { return nil, errRefused }

func registryOf(t *testing.T, zone string, zones ...string) *Registry {
	t.Helper()
	registry := NewRegistry(zone, noDial, events.Discard())
	for index, engineZone := range zones {
		specification := EngineSpecification{ID: fmt.Sprintf("e%d", index), Service: "s", Address: "127.0.0.1:1", Zone: engineZone, Slots: 8}
		value, err := json.Marshal(specification)
		assert.NilError(t, err)
		registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, specification.ID), Revision: int64(index + 1), Value: value})
	}
	return registry
}

func TestGatewaysOfAZoneChooseTheSameEngineForAPrompt(t *testing.T) {
	one := registryOf(t, "a", "a", "b", "a", "a", "b", "a", "a")
	other := registryOf(t, "a", "a", "b", "a", "a", "b", "a", "a")
	used := make(map[string]bool)
	for index := range 40 {
		placement := Placement{Service: "s", Affinity: fmt.Sprint("program ", index)}
		first, second := one.choose(time.Now(), placement, &Trace{}), other.choose(time.Now(), placement, &Trace{})
		assert.Equal(t, first.ID(), second.ID())
		used[first.ID()] = true
		one.release(first, false)
		other.release(second, false)
	}
	assert.Assert(t, len(used) >= 5, "only %d engines are used", len(used))
}

// New prompts stay in the zone even if most engines are in others; later calls go to the engine that has the prompt
// cached, also from gateways in other zones.
func TestNewPromptsStayInTheZone(t *testing.T) {
	one := registryOf(t, "a", "a", "a", "a", "b", "b", "b")
	other := registryOf(t, "b", "a", "a", "a", "b", "b", "b")
	sameZone := 0
	for index := range 200 {
		placement := Placement{Service: "s", Affinity: fmt.Sprint("program ", index)}
		first := one.choose(time.Now(), placement, &Trace{})
		one.release(first, false)
		if first.Zone() == "a" {
			sameZone++
		}
		placement.Preferred = first.ID()
		followed := other.choose(time.Now(), placement, &Trace{})
		other.release(followed, false)
		assert.Equal(t, followed.ID(), first.ID())
	}
	assert.Assert(t, sameZone > 160, "%d of 200 prompts stay in the zone", sameZone)
}

// openConnection creates an idle connection to an engine.
func openConnection(t *testing.T, registry *Registry, engine string) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	registry.byID[engine].pool = upstream.NewPool(engine, 4, func(context.Context, string) (net.Conn, error) { return client, nil })
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err == nil && request.Body.Close() == nil {
			_, _ = server.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
		}
	}()
	exchange, err := registry.byID[engine].pool.Send(context.Background(), &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	exchange.Finish()
}

// A call prefers an engine with an idle connection, unless it is busier.
func TestIdleConnectionsArePreferred(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	openConnection(t, registry, "e1")
	for range 20 {
		chosen := registry.choose(time.Now(), Placement{Service: "s"}, &Trace{})
		assert.Equal(t, chosen.ID(), "e1")
		registry.release(chosen, false)
	}
	registry.choose(time.Now(), Placement{Service: "s"}, &Trace{})
	assert.Assert(t, registry.choose(time.Now(), Placement{Service: "s"}, &Trace{}).ID() != "e1", "a busier engine is chosen for its idle connection")
}

// A first turn prefers an engine with an idle connection, unless it has more calls in flight.
func TestFirstTurnPrefersIdleConnections(t *testing.T) {
	registry := twelveEngines(t)
	openConnection(t, registry, "e1")
	now := time.Now()
	placedThere := func() int {
		times := 0
		for program := range 200 {
			engine := registry.choose(now, Placement{Service: "s", Affinity: fmt.Sprint(program), EngineRecorded: true}, &Trace{})
			registry.release(engine, false)
			if engine.ID() == "e1" {
				times++
			}
		}
		return times
	}
	assert.Assert(t, placedThere() > 60, "the idle connection is not preferred")
	registry.Take(now, load.Counts{{Engine: load.KeyOf("e1"), Calls: 8}})
	assert.Assert(t, placedThere() < 20, "first turns are placed at a busy engine")
}

func TestCallsWithOnePromptSpreadWhenTheirEngineIsLoaded(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	placement := Placement{Service: "s", Affinity: "p"}
	counts := make(map[string]int)
	for range 12 {
		counts[registry.choose(time.Now(), placement, &Trace{}).ID()]++
	}
	assert.Assert(t, len(counts) > 1, "all calls go to one engine: %v", counts)
}

func TestPreferredEngineIsChosen(t *testing.T) {
	registry := registryOf(t, "a", "a", "b", "c")
	for _, id := range []string{"e0", "e1", "e2"} {
		engine := registry.choose(time.Now(), Placement{Service: "s", Affinity: "p", Preferred: id}, &Trace{})
		assert.Equal(t, engine.ID(), id)
		registry.release(engine, false)
	}
}

func TestCallsWithoutPromptLeaveABusyZone(t *testing.T) {
	registry := registryOf(t, "a", "a", "b", "b")
	first := registry.choose(time.Now(), Placement{Service: "s"}, &Trace{})
	assert.Equal(t, first.Zone(), "a")
	second := registry.choose(time.Now(), Placement{Service: "s"}, &Trace{})
	assert.Equal(t, second.Zone(), "b")
}

func TestSlowEngineIsAvoidedAndRetriedLater(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	placement := Placement{Service: "s", Affinity: "p"}
	home := registry.choose(time.Now(), placement, &Trace{})
	registry.release(home, false)
	other := registry.byID["e0"]
	if other == home {
		other = registry.byID["e1"]
	}
	for range 10 {
		registry.Observe(other, "step", 10*time.Millisecond)
	}
	for range 3 {
		registry.Observe(home, "step", 60*time.Millisecond)
	}
	now := time.Now()
	assert.Equal(t, registry.choose(now, placement, &Trace{}), other)
	registry.release(other, false)
	assert.Equal(t, registry.choose(now.Add(5*ratioDecay), placement, &Trace{}), home)
}

func TestRemovedEnginesAreAFallbackForAGracePeriod(t *testing.T) {
	registry := registryOf(t, "a", "a")
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: 9})
	now := time.Now()
	assert.Assert(t, registry.choose(now, Placement{Service: "s"}, &Trace{}) != nil)
	assert.Assert(t, registry.choose(now.Add(removedGrace+time.Millisecond), Placement{Service: "s"}, &Trace{}) == nil)
	assert.Equal(t, registry.Count("s"), 0)
}

func TestChangedAddressReplacesTheEngine(t *testing.T) {
	registry := registryOf(t, "a", "a")
	before := registry.byID["e0"]
	value, err := json.Marshal(EngineSpecification{ID: "e0", Service: "s", Address: "127.0.0.1:2", Zone: "a", Slots: 8})
	assert.NilError(t, err)
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: 5, Value: value})
	assert.Assert(t, registry.byID["e0"] != before)
	assert.Equal(t, registry.byID["e0"].Address(), "127.0.0.1:2")
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "bad"), Revision: 6, Value: json.RawMessage(`{"id":1}`)})
	assert.Equal(t, registry.Count("s"), 1)
}

func TestBreakerOpensByFailureRatioAndProbesOnce(t *testing.T) {
	now := time.Now()
	var rare breaker
	for index := range 200 {
		if index%20 == 0 {
			assert.Assert(t, !rare.failed(now, false), "a failure ratio of 1 in 20 opened the breaker")
		}
		rare.succeeded(now)
	}
	var often breaker
	opened := false
	for range 4 {
		opened = often.failed(now, false)
	}
	assert.Assert(t, opened)
	assert.Assert(t, !often.allows(now))
	later := now.Add(breakerMaxOpen)
	assert.Assert(t, often.allows(later))
	often.recordSent(later)
	assert.Assert(t, !often.allows(later), "a second probe is allowed")
	assert.Assert(t, often.succeeded(later))
	assert.Assert(t, often.allows(later))
	var severe breaker
	assert.Assert(t, severe.failed(now, true))
}

func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget()
	spent := 0
	for budget.spend() {
		spent++
	}
	assert.Equal(t, spent, int(maxSavedRetries))
	for range 8 {
		budget.earn()
	}
	for _, allowed := range []bool{true, true, false} {
		assert.Equal(t, budget.spend(), allowed)
	}
}

// A reappearing record may be a delayed one of an engine that left. Such an engine is only a fallback until the record
// has outlived its expiry without heartbeats.
func TestReappearingRecordIsNotTrustedAtOnce(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: 10})
	specification := EngineSpecification{ID: "e0", Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8}
	value, err := json.Marshal(specification)
	assert.NilError(t, err)
	registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: 11, Value: value})
	now := time.Now()
	for range 5 {
		assert.Equal(t, registry.choose(now, Placement{Service: "s", Preferred: "e0", Affinity: "p"}, &Trace{}).ID(), "e1")
	}
	only := Placement{Service: "s", Excluded: map[string]bool{"e1": true}}
	assert.Equal(t, registry.choose(now, only, &Trace{}).ID(), "e0")
	later := now.Add(returnedTrustDelay + time.Millisecond)
	assert.Equal(t, registry.choose(later, Placement{Service: "s", Preferred: "e0", Affinity: "p"}, &Trace{}).ID(), "e0")
}

// A draining engine stays draining whatever record follows; an older record never replaces a newer one.
func TestDrainingEngineStaysDraining(t *testing.T) {
	registry := registryOf(t, "a", "a")
	record := func(revision int64, draining bool) {
		value, err := json.Marshal(EngineSpecification{ID: "e0", Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8, Draining: draining})
		assert.NilError(t, err)
		registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: revision, Value: value})
	}
	record(7, true)
	record(6, false)
	assert.Equal(t, registry.Count("s"), 0)
	record(8, false)
	assert.Equal(t, registry.Count("s"), 0)
	assert.Assert(t, registry.choose(time.Now(), Placement{Service: "s"}, &Trace{}) == nil)
}

// After an outage of the store most records disappear for a while. The few engines that kept theirs must not get all
// the work.
func TestEnginesWithRecordsDoNotGetAllWorkAfterAnOutage(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a", "a", "a")
	for index := 1; index < 5; index++ {
		key := catalog.Key(catalog.EngineKind, fmt.Sprintf("e%d", index))
		registry.Apply(catalog.Entry{Key: key, Revision: int64(20 + index)})
	}
	used := make(map[string]bool)
	for index := range 40 {
		used[registry.choose(time.Now(), Placement{Service: "s", Affinity: fmt.Sprint(index)}, &Trace{}).ID()] = true
	}
	assert.Equal(t, len(used), 5)
}

// A short first sample must not make all engines look slow.
func TestBaselineWarmup(t *testing.T) {
	var baseline latencyBaseline
	assert.Equal(t, baseline.ratio(time.Millisecond), 1.0)
	for range warmupSamples {
		ratio := baseline.ratio(24 * time.Millisecond)
		assert.Assert(t, ratio < slowRatio, "%f", ratio)
	}
	assert.Assert(t, baseline.ratio(100*time.Millisecond) > slowRatio)
}

// applyEngine creates or removes an engine's record.
func applyEngine(t *testing.T, registry *Registry, id string, revision int64, present bool) {
	t.Helper()
	entry := catalog.Entry{Key: catalog.Key(catalog.EngineKind, id), Revision: revision}
	if present {
		value, err := json.Marshal(EngineSpecification{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8})
		assert.NilError(t, err)
		entry.Value = value
	}
	registry.Apply(entry)
}

// An engine whose record expired in an outage of the store is used for a grace period, and at once when the record
// reappears.
func TestRecordExpiredInAnOutage(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	registry.RecordOutage(time.Now().Add(-3 * time.Second))
	applyEngine(t, registry, "e0", 10, false)
	now := time.Now()
	placement := Placement{Service: "s", Excluded: map[string]bool{"e1": true, "e2": true}}
	assert.Assert(t, registry.choose(now, placement, &Trace{}) != nil, "the engine is unused within the grace period")
	assert.Assert(t, registry.choose(now.Add(outageGrace), placement, &Trace{}) == nil, "the engine is used after the grace period")
	applyEngine(t, registry, "e0", 11, true)
	assert.Assert(t, registry.choose(now.Add(outageGrace), placement, &Trace{}) != nil, "the engine is unused after its record reappeared")
	// A removal without an outage means that the engine left.
	registry.outage.until = now.Add(-time.Minute)
	applyEngine(t, registry, "e0", 12, false)
	assert.Assert(t, registry.choose(time.Now().Add(removedGrace+time.Millisecond), placement, &Trace{}) == nil)
}

func TestDrainingEngineIsUnusedAfterAnOutage(t *testing.T) {
	registry := registryOf(t, "a", "a")
	registry.byID["e0"].specification.Draining = true
	registry.RecordOutage(time.Now().Add(-3 * time.Second))
	applyEngine(t, registry, "e0", 10, false)
	assert.Assert(t, registry.choose(time.Now(), Placement{Service: "s"}, &Trace{}) == nil)
}

// An engine that moved to another service or address is not used at the old one, and an older record does not undo that.
func TestMovedEngineIsNotUsedAtOldAddress(t *testing.T) {
	registry := registryOf(t, "a", "a")
	record := func(revision int64, service, address string) {
		value, err := json.Marshal(EngineSpecification{ID: "e0", Service: service, Address: address, Zone: "a", Slots: 8})
		assert.NilError(t, err)
		registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: revision, Value: value})
	}
	record(7, "other", "127.0.0.1:2")
	assert.Equal(t, registry.Count("s"), 0)
	assert.Equal(t, registry.Count("other"), 1)
	record(5, "s", "127.0.0.1:1")
	assert.Equal(t, registry.Count("s"), 0, "an older record undid the move")
	assert.Equal(t, registry.byID["e0"].Address(), "127.0.0.1:2")
}
