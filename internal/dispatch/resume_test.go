package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
)

// A stream that broke off is asked for at its engine, but not once that one has left for so long that nothing may go there.
func TestStreamIsNotAskedForAtAnEngineThatLeft(t *testing.T) {
	registry := registryOf(t, "a", "a")
	left := registry.byID["e0"]
	applyEngine(t, registry, "e0", 10, false)
	left.removedAt = time.Now().Add(-10 * time.Second)
	dispatcher := New(registry, nil, events.Discard())
	call := &Call{Want: Want{Service: "s", Excluded: make(map[string]bool)}}
	next, err := dispatcher.nextEngine(context.Background(), call, &progress{call: call, ran: true, resumed: 1, again: left})
	assert.Assert(t, err != nil && next == nil, "the engine that left is asked again")
}
