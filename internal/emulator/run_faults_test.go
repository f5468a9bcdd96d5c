package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/engine"
)

// faultyEngine starts an engine that injects faults into its runs.
func faultyEngine(t *testing.T, faults RunFaults) (*Server, string) {
	t.Helper()
	config := DefaultConfig()
	config.StepBase = 100 * time.Microsecond
	emulator := NewServer(config)
	emulator.SetFaults(Faults{Runs: faults})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go emulator.Run(ctx)
	server := httptest.NewServer(emulator)
	t.Cleanup(server.Close)
	return emulator, server.URL
}

const testPrompt = "say something"

// chat requests an answer of ten tokens, of which a partial answer of three is given if continued is set. err reports an
// aborted response.
func chat(t *testing.T, address string, continued bool) (status int, body string, err error) {
	t.Helper()
	encode := func(role, text string) promptMessage {
		content, err := json.Marshal(text)
		assert.NilError(t, err)
		return promptMessage{Role: role, Content: content}
	}
	request := chatBody{Messages: []promptMessage{encode("user", testPrompt)}, MaxTokens: 10, MinTokens: 10, Stream: true}
	if continued {
		request.Messages = append(request.Messages, encode("assistant", AnswerText(RenderMessage("user", testPrompt), 3)))
		request.MaxTokens, request.Continue = 7, true
	}
	encoded, err := json.Marshal(request)
	assert.NilError(t, err)
	response, err := http.Post(address+engine.ChatPath, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// TestContinuationsFail checks that each kind of fault affects continuations, while new answers stay complete.
func TestContinuationsFail(t *testing.T) {
	t.Parallel()
	checks := map[FaultKind]func(status int, body string, err error) bool{
		FaultCut: func(_ int, body string, err error) bool { return err != nil && !strings.Contains(body, "[DONE]") },
		FaultStatus: func(status int, _ string, err error) bool {
			return err == nil && status == http.StatusInternalServerError
		},
		FaultUnavailable: func(status int, _ string, err error) bool {
			return err == nil && status == http.StatusServiceUnavailable
		},
		FaultEmpty: func(status int, body string, err error) bool {
			return err == nil && status == http.StatusOK && body == ""
		},
		FaultErrorEvent: func(status int, body string, err error) bool {
			return err == nil && status == http.StatusOK && strings.Contains(body, `"error":`) && strings.HasSuffix(body, "data: [DONE]\n\n") &&
				!strings.Contains(body, `"finish_reason":"`)
		},
	}
	for _, kind := range FaultKinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			emulator, address := faultyEngine(t, RunFaults{Seed: 1, Continued: 1, Kinds: []FaultKind{kind}})
			status, body, err := chat(t, address, false)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.Contains(body, `"finish_reason":"length"`), body)
			status, body, err = chat(t, address, true)
			assert.Assert(t, checks[kind](status, body, err), "%d %v %s", status, err, body)
			ledger := emulator.Ledger()
			assert.Assert(t, ledger[0].Finished)
			if kind == FaultUnavailable {
				assert.Equal(t, len(ledger), 1)
				return
			}
			assert.Equal(t, len(ledger), 2)
			assert.Assert(t, !ledger[1].Finished)
		})
	}
}

// TestRunFaultsAreSeeded checks that a seed always gives the same faults, and that new answers and continuations fail at
// their own rates.
func TestRunFaultsAreSeeded(t *testing.T) {
	t.Parallel()
	drawAll := func(seed uint64, continued bool) (drawn []runFault, failures int) {
		faults := RunFaults{Seed: seed, First: 0.2, Continued: 0.6}
		for arrival := range 1000 {
			fault := faults.draw(runKey{promptHash: 7, arrival: arrival, continued: continued}, 10)
			drawn = append(drawn, fault)
			if fault.kind != "" {
				failures++
			}
		}
		return drawn, failures
	}
	first, newFailures := drawAll(1, false)
	again, _ := drawAll(1, false)
	other, _ := drawAll(2, false)
	_, continuedFailures := drawAll(1, true)
	assert.Assert(t, slices.Equal(first, again))
	assert.Assert(t, !slices.Equal(first, other))
	assert.Assert(t, newFailures > 150 && newFailures < 250, "%d", newFailures)
	assert.Assert(t, continuedFailures > 550 && continuedFailures < 650, "%d", continuedFailures)
}

func TestUnknownFaultKindIsRejected(t *testing.T) {
	t.Parallel()
	_, address := faultyEngine(t, RunFaults{})
	request, err := http.NewRequest(http.MethodPut, address+FaultsPath, strings.NewReader(`{"runs": {"continued": 1, "kinds": ["explode"]}}`))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
