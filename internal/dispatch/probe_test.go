package dispatch

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
	"github.com/mountstile/mountstile/internal/upstream"
)

// jsonStart is a StartReporter of engines that respond with their start alone.
type jsonStart struct{}

func (jsonStart) StartRequest() (method, target string) { return http.MethodGet, "/start" }

func (jsonStart) StartedMillis(status int, body []byte) (startedMillis int64) {
	if status != http.StatusOK || json.Unmarshal(body, &startedMillis) != nil {
		return 0
	}
	return startedMillis
}

// Guards against malformed responses that are taken for the start of an engine, and tell of a life that it may not have.
func TestMalformedResponseTellsNoStart(t *testing.T) {
	const start = "1234"
	malformed := rawserver.MalformedHeads("", start)
	maps.Copy(malformed, rawserver.UnreadableHeads("", start))
	maps.Copy(malformed, rawserver.MalformedTrailers("", start))
	maps.Copy(malformed, rawserver.UnreadableTrailers("", start))
	ask := func(t *testing.T, response string) (int64, error) {
		server, err := rawserver.Start(func(*http.Request) string { return response })
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		registry := NewRegistry("a", upstream.Dialer(time.Second, time.Second), events.Discard())
		applyLife(t, registry, 1, EngineFormat, func(specification *EngineSpecification) { specification.Address = server.Address() })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		defer func() { assert.NilError(t, ctx.Err(), "the response was not rejected at once") }()
		return requestStart(ctx, jsonStart{}, registry.engine("e0"))
	}
	for name, response := range malformed {
		t.Run(name, func(t *testing.T) {
			started, err := ask(t, response)
			assert.Assert(t, err != nil, "started at %d", started)
		})
	}
	started, err := ask(t, rawserver.Whole("", start))
	assert.NilError(t, err)
	assert.Equal(t, started, int64(1234))
}
