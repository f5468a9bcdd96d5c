package process_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

// sendKeyed sends a call with an idempotency key. It returns once the response headers arrive, which for a call that is not
// streamed is when the answer is complete.
func sendKeyed(t *testing.T, cluster *testCluster, node int, key, content string, tokens int, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"tutor","messages":[{"role":"user","content":%q}],"max_tokens":%d,"min_tokens":%d,"stream":%t}`, content, tokens, tokens, stream)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cluster.nodes[node].apiURL()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(gateway.HeaderIdempotency, key)
	return http.DefaultClient.Do(request)
}

// TestFollowerTakesOverFromKilledGateway kills the node that executes a call while two repeats follow its answer through other
// nodes. One follower must resume from the text it has, the other must follow it, and both must get the full answer.
func TestFollowerTakesOverFromKilledGateway(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const tokens = 300
	call := runner.Call{IdempotencyKey: "story", Model: "tutor", Tokens: tokens, Messages: []runner.Message{{Role: "user", Content: "a long story"}}}
	var first sync.WaitGroup
	first.Go(func() { _, _ = client.Chat(context.Background(), cluster.nodes[0].apiURL(), call) })
	cluster.waitFor("the answer to begin", func() bool {
		return getJSON[emulator.Stats](t, cluster.engines["m1"]+emulator.StatsPath).Tokens > 5
	})
	cluster.putJSON(cluster.engines["m1"]+emulator.FaultsPath, emulator.Faults{Hang: true})
	var readers []*bufio.Reader
	for node := 1; node < 3; node++ {
		response, err := sendKeyed(t, cluster, node, "story", "a long story", tokens, true)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		reader := bufio.NewReader(response.Body)
		_, err = reader.Peek(1)
		assert.NilError(t, err)
		readers = append(readers, reader)
	}
	cluster.nodes[0].kill()
	cluster.putJSON(cluster.engines["m1"]+emulator.FaultsPath, emulator.Faults{})
	message, err := json.Marshal(call.Messages[0])
	assert.NilError(t, err)
	expected := emulator.ExpectedAnswer([]json.RawMessage{message}, tokens)
	for _, reader := range readers {
		content, err := runner.ReadStream(reader)
		assert.NilError(t, err)
		assert.Equal(t, content, expected)
	}
	first.Wait()
}
