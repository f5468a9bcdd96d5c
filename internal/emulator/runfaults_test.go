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

// faultyEngine is a running engine whose runs go wrong.
func faultyEngine(t *testing.T, faults RunFaults) (*Server, string) {
	t.Helper()
	config := DefaultConfig()
	config.StepBase = 100 * time.Microsecond
	emulated := NewServer(config)
	emulated.SetFaults(Faults{Runs: faults})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go emulated.Run(ctx)
	server := httptest.NewServer(emulated)
	t.Cleanup(server.Close)
	return emulated, server.URL
}

const faultyPrompt = "say something"

// chat asks for ten tokens, after a partial answer of three if it continues; err tells that the answer broke off.
func chat(t *testing.T, address string, continues bool) (status int, body string, err error) {
	t.Helper()
	encode := func(role, text string) promptMessage {
		content, err := json.Marshal(text)
		assert.NilError(t, err)
		return promptMessage{Role: role, Content: content}
	}
	request := chatBody{Messages: []promptMessage{encode("user", faultyPrompt)}, MaxTokens: 10, MinTokens: 10, Stream: true}
	if continues {
		request.Messages = append(request.Messages, encode("assistant", AnswerText(RenderMessage("user", faultyPrompt), 3)))
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

// TestContinuationsGoWrong: runs from the beginning are whole, those that go on fail in the way that is set.
func TestContinuationsGoWrong(t *testing.T) {
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
			emulated, address := faultyEngine(t, RunFaults{Seed: 1, Continued: 1, Kinds: []FaultKind{kind}})
			status, body, err := chat(t, address, false)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.Contains(body, `"finish_reason":"length"`), body)
			status, body, err = chat(t, address, true)
			assert.Assert(t, checks[kind](status, body, err), "%d %v %s", status, err, body)
			ledger := emulated.Ledger()
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

// TestRunFaultsAreSeeded: a share of the runs fails, the same with the same seed, and shares of first and later runs are apart.
func TestRunFaultsAreSeeded(t *testing.T) {
	t.Parallel()
	play := func(seed uint64, continues bool) (failed []runFault, count int) {
		faults := RunFaults{Seed: seed, First: 0.2, Continued: 0.6}
		for arrival := range 1000 {
			fault := faults.draw(runIdentity{prompt: 7, arrival: arrival, continues: continues}, 10)
			failed = append(failed, fault)
			if fault.kind != "" {
				count++
			}
		}
		return failed, count
	}
	first, ofFirst := play(1, false)
	again, _ := play(1, false)
	other, _ := play(2, false)
	_, ofContinued := play(1, true)
	assert.Assert(t, slices.Equal(first, again))
	assert.Assert(t, !slices.Equal(first, other))
	assert.Assert(t, ofFirst > 150 && ofFirst < 250, "%d", ofFirst)
	assert.Assert(t, ofContinued > 550 && ofContinued < 650, "%d", ofContinued)
}

func TestUnknownFaultIsRefused(t *testing.T) {
	t.Parallel()
	_, address := faultyEngine(t, RunFaults{})
	request, err := http.NewRequest(http.MethodPut, address+FaultsPath, strings.NewReader(`{"runs": {"continued": 1, "kinds": ["explode"]}}`))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
