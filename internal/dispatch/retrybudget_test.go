package dispatch

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// startedStream is a stream that has begun.
type startedStream struct{ events int }

func (*startedStream) LastEvent() string              { return "1" }
func (s *startedStream) Events() int                  { return s.events }
func (*startedStream) Begun() bool                    { return true }
func (*startedStream) Placed(context.Context, string) {}
func (*startedStream) Resumed(Resumption)             {}

// The end of an engine interrupts all of its streams at once. That they go on elsewhere must not use up the retries of others.
func TestStreamsOfEndedEnginesCostNoRetries(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	engine := registry.byID["e0"]
	retries := newRetryBudget()
	for range 10 * int(maxSavedRetries) {
		call := &Call{Route: resumableRoute(t, 1), Placement: Placement{Service: "s", Excluded: make(map[string]bool)}, Stream: &startedStream{}}
		progress := &progress{call: call}
		assert.Assert(t, progress.mayRetry(context.Background(), unknown, engine, retries))
		assert.Assert(t, progress.mayRetry(context.Background(), gone, engine, retries))
	}
	assert.Equal(t, retries.balance, maxSavedRetries)
}

// An engine that breaks its streams off, but has not ended, uses up the retries.
func TestStreamsOfAFailingEngineCostRetries(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	retries := newRetryBudget()
	allowed := 0
	for range 2 * int(maxSavedRetries) {
		call := &Call{Route: resumableRoute(t, 1), Placement: Placement{Service: "s", Excluded: make(map[string]bool)}, Stream: &startedStream{}}
		if (&progress{call: call}).mayRetry(context.Background(), unknown, registry.byID["e0"], retries) {
			allowed++
		}
	}
	assert.Equal(t, allowed, int(maxSavedRetries))
}
