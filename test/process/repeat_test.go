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

// sendKeyed sends a call with an idempotency key and returns its answer: as it comes if it is streamed,
// else at its end.
func sendKeyed(t *testing.T, running *system, node int, key, content string, tokens int, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"tutor","messages":[{"role":"user","content":%q}],"max_tokens":%d,"min_tokens":%d,"stream":%t}`, content, tokens, tokens, stream)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, running.nodes[node].api()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(gateway.HeaderIdempotency, key)
	return http.DefaultClient.Do(request)
}

// TestFollowerTakesOverWhenItsGatewayDied: two repeats follow a running answer through other nodes
// when the node that executes the call dies. One goes on from the text that it holds, the other
// follows it, and both end with the same whole answer.
func TestFollowerTakesOverWhenItsGatewayDied(t *testing.T) {
	running := startSystem(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const tokens = 300
	call := runner.Call{IdempotencyKey: "story", Model: "tutor", Tokens: tokens, Messages: []runner.Message{{Role: "user", Content: "a long story"}}}
	var first sync.WaitGroup
	first.Go(func() { _, _ = client.Chat(context.Background(), running.nodes[0].api(), call) })
	running.waitFor("the answer to begin", func() bool {
		return fetch[emulator.Stats](t, running.engines["m1"]+emulator.StatsPath).Tokens > 5
	})
	running.put(running.engines["m1"]+emulator.FaultsPath, emulator.Faults{Hang: true})
	var readers []*bufio.Reader
	for node := 1; node < 3; node++ {
		response, err := sendKeyed(t, running, node, "story", "a long story", tokens, true)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		reader := bufio.NewReader(response.Body)
		_, err = reader.Peek(1)
		assert.NilError(t, err)
		readers = append(readers, reader)
	}
	running.nodes[0].kill()
	running.put(running.engines["m1"]+emulator.FaultsPath, emulator.Faults{})
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
