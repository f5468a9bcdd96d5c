package dispatch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/routing"
)

// An interrupted stream must not be resumed at an engine whose record was removed longer ago than the grace period.
func TestStreamIsNotResumedAtRemovedEngine(t *testing.T) {
	registry := registryOf(t, "a", "a")
	removed := registry.byID["e0"]
	applyEngine(t, registry, "e0", 10, false)
	removed.removedAt = time.Now().Add(-10 * time.Second)
	dispatcher := New(registry, nil, events.Discard())
	call := &Call{Placement: Placement{Service: "s", Excluded: make(map[string]bool)}}
	next, err := dispatcher.nextEngine(context.Background(), call, &progress{call: call, ran: true, resumes: 1, resumeOn: removed})
	assert.Assert(t, err != nil && next == nil, "the stream is resumed at the removed engine")
}

// A stream is resumed at its draining engine within the grace period. After that it moves to another engine if its route
// allows more attempts, and fails otherwise.
func TestStreamAtDrainingEngine(t *testing.T) {
	for _, row := range []struct {
		since    time.Duration
		attempts int
		next     string
	}{
		{since: drainingGrace / 2, attempts: 1, next: "e0"},
		{since: drainingGrace / 2, attempts: 2, next: "e0"},
		{since: 2 * drainingGrace, attempts: 1, next: ""},
		{since: 2 * drainingGrace, attempts: 2, next: "e1"},
	} {
		registry := registryOf(t, "a", "a", "a")
		record, err := json.Marshal(EngineSpecification{ID: "e0", Service: "s", Address: "127.0.0.1:1", Zone: "a", Draining: true})
		assert.NilError(t, err)
		registry.Apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "e0"), Revision: 10, Value: record})
		draining := registry.byID["e0"]
		draining.drainingAt = draining.drainingAt.Add(-row.since)
		call := &Call{Route: resumableRoute(t, row.attempts), Placement: Placement{Service: "s", Excluded: make(map[string]bool)}}
		next, err := New(registry, nil, events.Discard()).nextEngine(context.Background(), call, &progress{call: call, ran: true, resumes: 1, resumeOn: draining})
		assert.Equal(t, err == nil, row.next != "", "%+v: %v", row, err)
		if err == nil {
			assert.Equal(t, next.ID(), row.next, "%+v", row)
		}
	}
}

// resumableRoute returns the route of a resumable stream.
func resumableRoute(t *testing.T, attempts int) *routing.Route {
	t.Helper()
	table, err := routing.New(routing.Specification{
		Version:  1,
		Services: []routing.ServiceSpecification{{Name: "s"}},
		Routes: []routing.RouteSpecification{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, TimeoutMillis: 1000, Attempts: attempts, Resumable: true,
			Targets: []routing.TargetSpecification{{Service: "s", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	route, found := table.Match("h", "/")
	assert.Assert(t, found)
	return route
}
