package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/transport"
)

// TestPanicAbortsStartedStream checks that a panic aborts the connection of a started stream. An error body would end the stream as
// if it were complete.
func TestPanicAbortsStartedStream(t *testing.T) {
	gateway := New(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Logger: events.Discard()})
	gateway.mux.HandleFunc("GET /started", func(w http.ResponseWriter, _ *http.Request) {
		call := &chatExecution{execution: execution{gateway: gateway}, request: chatRequest{Stream: true}}
		call.ensureWriter(w).addDelta(engine.Delta{Content: "one"})
		panic("after the first event")
	})
	gateway.mux.HandleFunc("GET /unstarted", func(http.ResponseWriter, *http.Request) { panic("before the first event") })
	server := httptest.NewServer(gateway)
	t.Cleanup(server.Close)
	get := func(path string) (int, string, error) {
		response, err := http.Get(server.URL + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, string(body), err
	}
	_, body, err := get("/started")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, body)
	assert.Assert(t, strings.HasPrefix(body, "data: ") && strings.HasSuffix(body, "}\n\n"), "%q", body)
	assert.Equal(t, strings.Count(body, "\n\n"), 1, "%q", body)
	status, body, err := get("/unstarted")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Assert(t, strings.Contains(body, `"outcome":"outcome_unknown"`), body)
}

// TestFollowerDoesNotMixAnswers checks that a follower stops if its call is executed again at the same gateway between two
// reads. It must not get the rest of the second answer after the start of the first.
func TestFollowerDoesNotMixAnswers(t *testing.T) {
	network := transport.New(transport.Options{Cluster: "c", NodeID: "a", Logger: events.Discard()})
	t.Cleanup(network.Close)
	relay := NewAnswerRelay(network, membership.NewManager(membership.Member{ID: "a"}, nil, membership.DefaultOptions(), network, events.Discard()))
	relay.publish("call", "", 0, nil).add("first", nil)
	var got []string
	relay.follow(t.Context(), "a", "call", func(part answerReadResponse) bool {
		got = append(got, part.Content)
		relay.publish("call", "", 0, nil).add("another answer", nil)
		return len(got) < 2
	})
	assert.DeepEqual(t, got, []string{"first"})
}

// TestFollowerLearnsTheSoftwareVersion checks that a follower which takes a call over knows which software version began the
// answer, and sends its rest to no other.
func TestFollowerLearnsTheSoftwareVersion(t *testing.T) {
	network := transport.New(transport.Options{Cluster: "c", NodeID: "a", Logger: events.Discard()})
	t.Cleanup(network.Close)
	relay := NewAnswerRelay(network, membership.NewManager(membership.Member{ID: "a"}, nil, membership.DefaultOptions(), network, events.Discard()))
	software := "v1"
	publisher := relay.publish("call", "", 0, nil)
	publisher.add("first", &software)
	follower := &chatExecution{}
	assert.Assert(t, follower.mayContinueAt(engine.Target{Software: "v2"}), "nothing has begun")
	relay.follow(t.Context(), "a", "call", func(part answerReadResponse) bool {
		follower.content.WriteString(part.Content)
		follower.software = part.Software
		return false
	})
	assert.Assert(t, follower.mayContinueAt(engine.Target{Software: "v1"}))
	assert.Assert(t, !follower.mayContinueAt(engine.Target{Software: "v2"}))
	retry := follower.withSpent(&coordinator.RetryRequest{})
	assert.Equal(t, *retry.Software, "v1")
}
