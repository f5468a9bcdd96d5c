package path_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
)

// TestStalledCallsMoveToAnotherEngine hangs an engine with its connections open, before the first token of some answers and
// in the middle of others. Callers must get complete answers from another engine, long before the call timeout.
func TestStalledCallsMoveToAnotherEngine(t *testing.T) {
	system := startCluster(t, 2)
	service := resource.Resource{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{
		Type: resource.ServiceModel, Pool: "models", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 400,
		FirstTokenSeconds: 1, StallSeconds: 0.5, CallSeconds: 3600, MaxAttempts: 10,
	}}
	content, err := resource.Encode([]resource.Resource{service})
	assert.NilError(t, err)
	result, err := system.Admin.Apply(t.Context(), content, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(t.Context(), result.Revision))
	client := runner.NewClient(apiKey)
	defer client.Close()
	const calls = 8
	type outcome struct {
		reply runner.Reply
		err   error
	}
	outcomes := make(chan outcome, calls)
	send := func(number int) {
		request := newCall("", 0, userMessage(fmt.Sprintf("question %d", number)))
		request.Tokens = 100
		go func() {
			reply, err := client.Chat(t.Context(), system.APIURLs()[number%3], request)
			outcomes <- outcome{reply, err}
		}()
	}
	for number := range calls / 2 {
		send(number)
	}
	// All of these calls may be placed on one engine.
	var hanging *emulator.Server
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, engine := range system.Engines {
			if engine.Stats().Tokens > 0 {
				hanging = engine
				return poll.Success()
			}
		}
		return poll.Continue("no engine has sent a token yet")
	}, poll.WithTimeout(waitTimeout))
	hanging.SetFaults(emulator.Faults{Hang: true})
	for number := calls / 2; number < calls; number++ {
		send(number)
	}
	answers := make(map[string]bool)
	for range calls {
		item := <-outcomes
		assert.NilError(t, item.err)
		answers[item.reply.Content] = true
	}
	for number := range calls {
		prompt := json.RawMessage(fmt.Sprintf(`{"role":"user","content":"question %d"}`, number))
		assert.Assert(t, answers[emulator.ExpectedAnswer([]json.RawMessage{prompt}, 100)], "question %d", number)
	}
}
