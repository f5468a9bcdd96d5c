package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

// TestIdempotencyKeyNeverRunsTwice repeats a call by its key while it runs and after it has ended. It must run once, and a
// different body with the same key must be refused.
func TestIdempotencyKeyNeverRunsTwice(t *testing.T) {
	system := startCluster(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := newCall("", 0, userMessage("once"))
	request.IdempotencyKey, request.Tokens = "key-1", 200
	replies := make([]runner.Reply, 6)
	failures := make([]error, len(replies))
	var tasks sync.WaitGroup
	for index := range replies {
		tasks.Go(func() { replies[index], failures[index] = client.Chat(t.Context(), system.APIURLs()[index%3], request) })
	}
	tasks.Wait()
	again := mustChat(t, client, system.APIURLs()[1], request)
	for index := range replies {
		assert.NilError(t, failures[index])
		assert.Equal(t, replies[index].Content, again.Content)
	}
	assert.Equal(t, len(system.Engines["m1"].Ledger())+len(system.Engines["m2"].Ledger()), 1)
	changed := request
	changed.Messages = []runner.Message{userMessage("another body")}
	_, err := client.Chat(t.Context(), system.APIURLs()[0], changed)
	assert.Equal(t, requireFailure(t, err).Code, string(apierr.IdempotencyConflict))
}

// TestConcurrentRepeatsRunOnce sends the same non-repeatable call several times at once through one node. It must be
// executed once, and every caller must get its response.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	system := startCluster(t, 1)
	const keys, repeats = 40, 6
	statuses := make([][repeats]int, keys)
	var tasks sync.WaitGroup
	for key := range keys {
		for repeat := range repeats {
			tasks.Go(func() {
				headers := map[string]string{gateway.HeaderIdempotency: fmt.Sprintf("mark-%d", key)}
				response, _ := post(t, system, "/apps/book/marks", fmt.Sprintf("mark %d", key), headers)
				statuses[key][repeat] = response.StatusCode
			})
		}
	}
	tasks.Wait()
	executed := make(map[string]int)
	for _, application := range system.Applications {
		for _, entry := range application.Ledger() {
			executed[entry.Body]++
		}
	}
	for key := range keys {
		assert.Equal(t, executed[fmt.Sprintf("mark %d", key)], 1, "mark %d", key)
		for repeat := range repeats {
			assert.Equal(t, statuses[key][repeat], http.StatusOK)
		}
	}
}

// TestRepeatFollowsRunningAnswer halts the engine in the middle of an answer. A repeat through another node must get the text
// so far at once and later the same full answer as the first call.
func TestRepeatFollowsRunningAnswer(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := newCall("", 0, userMessage("a long story"))
	request.IdempotencyKey, request.Tokens = "story", 300
	var first runner.Reply
	var failure error
	var task sync.WaitGroup
	task.Go(func() { first, failure = client.Chat(t.Context(), system.APIURLs()[0], request) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if system.Engines["m1"].Stats().Tokens > 5 {
			return poll.Success()
		}
		return poll.Continue("no tokens yet")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
	body := `{"model":"tutor","messages":[{"role":"user","content":"a long story"}],"max_tokens":300,"min_tokens":300,"stream":true}`
	repeat, err := http.NewRequestWithContext(t.Context(), http.MethodPost, system.APIURLs()[1]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	repeat.Header.Set("Authorization", "Bearer "+apiKey)
	repeat.Header.Set(gateway.HeaderIdempotency, "story")
	response, err := http.DefaultClient.Do(repeat)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	// The text of the first token begins with its number; see emulator.ExpectedAnswer.
	assert.Assert(t, strings.Contains(line, " 1:"), "expected the text so far while the engine hangs: %s", line)
	system.Engines["m1"].SetFaults(emulator.Faults{})
	repeated, err := runner.ReadStream(io.MultiReader(strings.NewReader(line), reader))
	assert.NilError(t, err)
	task.Wait()
	assert.NilError(t, failure)
	assert.Equal(t, repeated, first.Content)
	assert.Equal(t, len(system.Engines["m1"].Ledger()), 1)
}
