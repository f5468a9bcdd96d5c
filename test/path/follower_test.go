package path_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

// TestFollowerSurvivesGatewayLoss kills the gateway that executes a call in the middle of its answer. A follower of the answer at
// another gateway must not treat the loss as the end of the stream; it resumes from the text it has and gets the full answer.
func TestFollowerSurvivesGatewayLoss(t *testing.T) {
	system := startCluster(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := newCall("", 0, userMessage("a long story"))
	request.IdempotencyKey, request.Tokens = "story", 300
	var first sync.WaitGroup
	first.Go(func() {
		_, err := client.Chat(t.Context(), system.APIURLs()[1], request)
		assert.Check(t, err != nil, "the call through the killed gateway succeeded")
	})
	var busy string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, engine := range system.Engines {
			if engine.Stats().Tokens > 5 {
				busy = name
				return poll.Success()
			}
		}
		return poll.Continue("no tokens yet")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	system.Engines[busy].SetFaults(emulator.Faults{Hang: true})

	body := `{"model":"tutor","messages":[{"role":"user","content":"a long story"}],"max_tokens":300,"min_tokens":300,"stream":true}`
	repeat, err := http.NewRequestWithContext(t.Context(), http.MethodPost, system.APIURLs()[2]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	repeat.Header.Set("Authorization", "Bearer "+apiKey)
	repeat.Header.Set(gateway.HeaderIdempotency, "story")
	response, err := http.DefaultClient.Do(repeat)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, " 1:"), line)

	assert.NilError(t, system.Kill(1))
	first.Wait()
	system.Engines[busy].SetFaults(emulator.Faults{})
	followed, err := runner.ReadStream(io.MultiReader(strings.NewReader(line), reader))
	assert.NilError(t, err)
	expected := emulator.ExpectedAnswer([]json.RawMessage{json.RawMessage(`{"role":"user","content":"a long story"}`)}, 300)
	assert.Equal(t, followed, expected)
	runs := 0
	for _, engine := range system.Engines {
		runs += len(engine.Ledger())
	}
	assert.Equal(t, runs, 2)
}
