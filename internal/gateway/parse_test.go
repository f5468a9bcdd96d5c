package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
)

// FuzzParseChat checks that any body gives a valid request or an InvalidRequest error with outcome NotRun.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"n":1e99}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseChat(body)
		if err != nil {
			if !apierr.Is(err, apierr.InvalidRequest) || apierr.From(err, apierr.Ran).Outcome != apierr.NotRun {
				t.Fatalf("not an InvalidRequest error with outcome NotRun: %v", err)
			}
			return
		}
		if request.Model == "" || len(request.Messages) == 0 || request.MaxTokens < 0 {
			t.Fatalf("invalid request accepted: %+v", request)
		}
		split := splitHistory(request.Messages)
		whole := program.HistoryMark{}.Extend(request.Messages)
		if program.HistoryMark.Extend(program.HistoryMark{}.Extend(request.Messages[:split]), request.Messages[split:]) != whole {
			t.Fatal("the hash chain depends on where the history is split")
		}
	})
}

func TestIdentityFromHeaders(t *testing.T) {
	read := func(headers map[string]string) (identity, error) {
		request := httptest.NewRequest("POST", "/", nil)
		for name, value := range headers {
			request.Header.Set(name, value)
		}
		return readIdentity(request, "t")
	}
	child, err := read(map[string]string{HeaderProgram: "agent", HeaderParent: "meal-7"})
	assert.NilError(t, err)
	assert.Equal(t, child.key, program.Key{Tenant: "t", Path: "meal-7/agent"})
	assert.Equal(t, child.root, "meal-7")
	first, err := read(map[string]string{HeaderIdempotency: "k"})
	assert.NilError(t, err)
	second, err := read(map[string]string{HeaderIdempotency: "k"})
	assert.NilError(t, err)
	assert.Equal(t, first.key, second.key, "repeats without a program share one by their key")
	for name, headers := range map[string]map[string]string{
		"parent alone": {HeaderParent: "p"}, "bad name": {HeaderProgram: "a b"}, "ephemeral name": {HeaderProgram: "~x"},
		"empty part": {HeaderProgram: "a//b"}, "too deep": {HeaderProgram: "1/2/3/4/5/6/7/8/9"},
		"bad sequence": {HeaderProgram: "p", HeaderSequence: "0"}, "bad flag": {HeaderRepeatable: "perhaps"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(headers)
			assert.Assert(t, apierr.Is(err, apierr.InvalidRequest), "%v", err)
		})
	}
}

// TestToolCallsAreMerged checks that streamed parts of tool calls are merged, and that indices out of range and invalid JSON are
// ignored.
func TestToolCallsAreMerged(t *testing.T) {
	var merger toolCallMerger
	merger.add(json.RawMessage(`[{"index":0,"id":"c1","function":{"name":"check","arguments":"{\"a\""}}]`))
	merger.add(json.RawMessage(`[{"index":0,"function":{"arguments":":1}"}}]`))
	merger.add(json.RawMessage(`[{"index":100000000,"function":{"arguments":"x"}},{"index":-1}]`))
	merger.add(json.RawMessage(`{`))
	assert.Equal(t, string(merger.encoded()), `[{"id":"c1","type":"function","function":{"name":"check","arguments":"{\"a\":1}"}}]`)
}

// TestStoredToolCallsStreamWithTheirIndex checks that a stored answer is streamed with tool call indices, by which clients
// distinguish the calls.
func TestStoredToolCallsStreamWithTheirIndex(t *testing.T) {
	answer := &program.Answer{Message: json.RawMessage(`{"role":"assistant","content":null,"tool_calls":[{"id":"a","type":"function","function":{"name":"x","arguments":""}},{"id":"b","type":"function","function":{"name":"y","arguments":""}}]}`)}
	delta, err := storedDelta(answer)
	assert.NilError(t, err)
	var calls []toolCall
	assert.NilError(t, json.Unmarshal(delta.ToolCalls, &calls))
	assert.Equal(t, len(calls), 2)
	assert.Equal(t, *calls[1].Index, 1)
	assert.Equal(t, calls[1].ID, "b")
}
