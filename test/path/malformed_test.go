package path_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

const (
	soundBody = "sound"
	// malformedStream is a whole answer of a model engine.
	malformedStream = `data: {"choices":[{"delta":{"content":"malformed"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
)

// malformedResponses are responses by name that callers must not get.
func malformedResponses() map[string]string {
	responses := rawserver.MalformedHeads("Content-Type: text/event-stream\r\n", malformedStream)
	chosen := make(map[string]string)
	for _, name := range []string{"status 000", "status 000 before a response", "status 999", "space in a name", "space before the coding's colon"} {
		chosen[name] = responses[name]
	}
	return chosen
}

func startRaw(t *testing.T, response string) *rawserver.Server {
	t.Helper()
	server, err := rawserver.Start(func(*http.Request) string { return response })
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

// publishEngines replaces the engines of pools and waits until all nodes use them. The engines' names are those of the pools with a number.
func publishEngines(t *testing.T, system *cluster.Cluster, pools map[string][]string) {
	t.Helper()
	var resources []resource.Resource
	for name, urls := range pools {
		pool := &resource.Pool{}
		for index, url := range urls {
			pool.Engines = append(pool.Engines, resource.Engine{Name: name + string(rune('1'+index)), URL: url, Slots: 4})
		}
		resources = append(resources, resource.Resource{Kind: resource.KindPool, Name: name, Pool: pool})
	}
	content, err := resource.Encode(resources)
	assert.NilError(t, err)
	result, err := system.Admin.Apply(t.Context(), content, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(t.Context(), result.Revision))
}

// TestMalformedResponseOfOnlyEngine sends a non-repeatable call to an engine that answers with a malformed response. It must not run again, and
// the caller and its repeats must learn that the outcome is unknown.
func TestMalformedResponseOfOnlyEngine(t *testing.T) {
	for name, response := range malformedResponses() {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 1)
			malformed := startRaw(t, response)
			publishEngines(t, system, map[string][]string{"books": {malformed.URL()}})
			header := map[string]string{gateway.HeaderIdempotency: "mark-7"}
			for range 2 {
				got, text := post(t, system, "/apps/book/marks/7", "A", header)
				assert.Equal(t, got.StatusCode, http.StatusBadGateway, text)
				assert.Equal(t, got.Header.Get(gateway.HeaderOutcome), string(apierr.OutcomeUnknown), text)
			}
			assert.Equal(t, malformed.Requests(), 1)
		})
	}
}

// TestMalformedResponseMovesCall sends repeatable calls to engines of which one answers with malformed responses. Callers must get whole answers of
// another one.
func TestMalformedResponseMovesCall(t *testing.T) {
	for name, response := range malformedResponses() {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 1)
			malformed := startRaw(t, response)
			sound := startRaw(t, rawserver.Whole("", soundBody))
			malformedModel := startRaw(t, response)
			publishEngines(t, system, map[string][]string{
				"books":  {malformed.URL(), sound.URL()},
				"models": {malformedModel.URL(), system.EngineURL("m1")},
			})
			client := runner.NewClient(apiKey)
			defer client.Close()
			for range 20 {
				got, text := post(t, system, "/apps/book/marks/7", "A", map[string]string{gateway.HeaderRepeatable: "true"})
				assert.Equal(t, got.StatusCode, http.StatusOK, text)
				assert.Equal(t, text, soundBody)
				reply := mustChat(t, client, system.APIURLs()[0], newCall("", 0, userMessage("one")))
				assert.Assert(t, strings.HasPrefix(reply.Content, " 1:"), reply.Content)
			}
			assert.Assert(t, malformed.Requests() > 0)
			assert.Assert(t, malformedModel.Requests() > 0)
		})
	}
}

// hashOfRequest is the hash by which coordinators tell whether a repeat has the same request.
func hashOfRequest(method, uri, body string) string {
	digest := sha256.Sum256([]byte(method + "\x00" + uri + "\x00" + body + "\x00"))
	return hex.EncodeToString(digest[:])
}

// TestMalformedStoredAnswer stores answers as earlier builds did. A repeat of their call must learn that it ran and failed.
func TestMalformedStoredAnswer(t *testing.T) {
	const uri, body = "/apps/book/marks/7", "A"
	for name, answer := range map[string]program.Answer{
		"status 000":      {Status: 0, Body: []byte("stored body")},
		"status 999":      {Status: 999, Body: []byte("stored body")},
		"space in a name": {Status: http.StatusOK, Header: http.Header{"Transfer-Encoding ": {"chunked"}}, Body: []byte("b\r\nstored body\r\n0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 1)
			node := system.Nodes[0]
			plane := node.Plane()
			client := coordinator.NewClient(plane.Transport, plane.Membership, plane.Partitions)
			partition, err := client.Locate("r", "school", "pupil")
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			key := program.Key{Tenant: "school", Path: "pupil"}
			begun, err := client.Begin(ctx, coordinator.BeginRequest{
				Partition: partition, Execution: "earlier",
				Admit: program.Admit{
					CallID: "call-1", Program: key, Service: "book", Gateway: node.Status().ID, IdempotencyKey: "mark-7",
					BodyHash: hashOfRequest(http.MethodPost, uri, body), Limits: program.Limits{TokenBudget: 1000, CallBudget: 10},
				},
			})
			assert.NilError(t, err)
			_, err = client.Finish(ctx, coordinator.FinishRequest{
				Partition: partition, Complete: program.Complete{CallID: begun.CallID, Program: key, Attempt: begun.Attempt, Answer: answer},
			})
			assert.NilError(t, err)
			header := map[string]string{gateway.HeaderProgram: "pupil", gateway.HeaderIdempotency: "mark-7"}
			got, text := post(t, system, uri, body, header)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway, text)
			assert.Equal(t, got.Header.Get(gateway.HeaderOutcome), string(apierr.Ran), text)
			assert.Assert(t, !strings.Contains(text, "stored body"), text)
		})
	}
}
