package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/transport"
)

// TestPanicInAStreamCutsIt: a stream that has begun when its handler panics is cut. A failure's body in it would end it as if it
// were whole.
func TestPanicInAStreamCutsIt(t *testing.T) {
	gateway := New(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Logger: events.Discard()})
	gateway.mux.HandleFunc("GET /begun", func(w http.ResponseWriter, _ *http.Request) {
		call := &chatExecution{execution: execution{gateway: gateway}, request: chatRequest{Stream: true}}
		call.ensureWriter(w).piece(engine.Delta{Content: "one"})
		panic("in the middle")
	})
	gateway.mux.HandleFunc("GET /unbegun", func(http.ResponseWriter, *http.Request) { panic("at once") })
	server := httptest.NewServer(gateway)
	t.Cleanup(server.Close)
	get := func(path string) (int, string, error) {
		response, err := http.Get(server.URL + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, string(body), err
	}
	_, body, err := get("/begun")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, body)
	assert.Assert(t, strings.HasPrefix(body, "data: ") && strings.HasSuffix(body, "}\n\n"), "%q", body)
	assert.Equal(t, strings.Count(body, "\n\n"), 1, "%q", body)
	status, body, err := get("/unbegun")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Assert(t, strings.Contains(body, `"outcome":"outcome_unknown"`), body)
}

// TestFollowerJoinsNoTwoAnswers executes a call anew, at the same gateway, while a follower is between two questions: it must not get the
// rest of the other answer behind the beginning of the first.
func TestFollowerJoinsNoTwoAnswers(t *testing.T) {
	network := transport.New(transport.Options{Cluster: "c", NodeID: "a", Logger: events.Discard()})
	t.Cleanup(network.Close)
	live := NewAnswerRelay(network, membership.NewManager(membership.Member{ID: "a"}, nil, membership.DefaultOptions(), network, events.Discard()))
	live.publish("call", "", 0).add("first")
	var got []string
	live.follow(t.Context(), "a", "call", func(content string, _ int64) bool {
		got = append(got, content)
		live.publish("call", "", 0).add("another answer")
		return len(got) < 2
	})
	assert.DeepEqual(t, got, []string{"first"})
}
