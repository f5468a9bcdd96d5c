package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/program"
)

// Paths of model engines.
const (
	ChatPath    = "/v1/chat/completions"
	ReleasePath = "/v1/cache/release"
	OrdersPath  = "/v1/orders"
)

const (
	maxEventBytes  = 1 << 20
	maxErrorBytes  = 2 << 10
	eventPrefix    = "data:"
	endOfStream    = "[DONE]"
	assistantRole  = "assistant"
	jsonMediaType  = "application/json"
	jsonNull       = "null"
	maxDrainedBody = 64 << 10
)

// OpenAI reaches model engines through the chat-completions API. A continued answer uses
// continue_final_message, as vLLM defines it.
type OpenAI struct {
	transport http.RoundTripper
}

// NewOpenAI returns the adapter.
func NewOpenAI() *OpenAI { return &OpenAI{transport: newHTTPTransport()} }

// streamOptions asks for token counts in the last event.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// AssistantMessage is the chat-completions form of an answer.
type AssistantMessage struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// NewAssistantMessage encodes an answer as a history message.
func NewAssistantMessage(content string, toolCalls json.RawMessage) (program.Message, error) {
	message := AssistantMessage{Role: assistantRole, Content: &content, ToolCalls: toolCalls}
	if content == "" && len(toolCalls) > 0 {
		message.Content = nil
	}
	encoded, err := json.Marshal(message)
	return encoded, errors.Wrap(err, "encoding an answer")
}

func encodeChat(request ChatRequest) ([]byte, error) {
	body := make(Parameters, len(request.Parameters)+8)
	maps.Copy(body, request.Parameters)
	messages := request.Messages
	if request.Partial != "" {
		partial, err := NewAssistantMessage(request.Partial, nil)
		if err != nil {
			return nil, err
		}
		messages = append(messages[:len(messages):len(messages)], partial)
		body["continue_final_message"] = json.RawMessage("true")
		body["add_generation_prompt"] = json.RawMessage("false")
	}
	members := []struct {
		name  string
		value any
	}{
		{"model", request.Model},
		{"messages", messages},
		{"max_tokens", request.MaxTokens},
		{"stream", true},
		{"stream_options", streamOptions{IncludeUsage: true}},
		{"priority", request.Priority},
	}
	for _, member := range members {
		encoded, err := json.Marshal(member.value)
		if err != nil {
			return nil, errors.Wrapf(err, "encoding %s", member.name)
		}
		body[member.name] = encoded
	}
	delete(body, "max_completion_tokens")
	encoded, err := json.Marshal(body)
	return encoded, errors.Wrap(err, "encoding the request")
}

// Chat implements ModelEngine.
func (o *OpenAI) Chat(ctx context.Context, target Target, request ChatRequest) (Stream, error) {
	body, err := encodeChat(request)
	if err != nil {
		return nil, &ErrNotSent{Cause: err}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+ChatPath, onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, &ErrNotSent{Cause: err}
	}
	httpRequest.ContentLength = int64(len(body))
	httpRequest.Header.Set("Content-Type", jsonMediaType)
	httpRequest.Header.Set("Accept", "text/event-stream")
	httpRequest.Header.Set(HeaderProgram, request.Program)
	httpRequest.Header.Set(HeaderCall, request.CallID)
	httpRequest.Header.Set(HeaderAttempt, strconv.Itoa(request.Attempt))
	response, err := sendOnce(ctx, o.transport, httpRequest)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		if response.StatusCode == http.StatusNotFound {
			return nil, &ErrModelNotLoaded{Model: request.Model}
		}
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, &ErrStatus{Status: response.StatusCode, Body: string(bytes.TrimSpace(text))}
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	return &eventStream{body: response.Body, scanner: scanner}, nil
}

// drain lets a connection be used again if little is left.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainedBody)
	_ = body.Close()
}

// chunk is one event of a streamed answer.
type chunk struct {
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage"`
	Error   *chunkError   `json:"error"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content   *string         `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

type chunkUsage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type chunkError struct {
	Message string `json:"message"`
}

// errGivenUp means that an engine ended an answer that it did not finish.
type errGivenUp struct{ FinishReason string }

// Error implements error.
func (e *errGivenUp) Error() string { return "the engine ended the answer with " + e.FinishReason }

// Finish reasons of vLLM for answers that are not whole; OpenAI's API has none for that.
const (
	finishAbort = "abort"
	finishError = "error"
)

// errGarbled means that an engine's event can't be decoded.
type errGarbled struct{ Event string }

// Error implements error.
func (e *errGarbled) Error() string { return "undecodable event: " + e.Event }

// eventStream decodes server-sent events.
type eventStream struct {
	body     io.ReadCloser
	scanner  *bufio.Scanner
	finished bool
	ended    bool
}

// Next implements Stream.
func (s *eventStream) Next() (Delta, error) {
	for s.scanner.Scan() {
		payload, isEvent := strings.CutPrefix(s.scanner.Text(), eventPrefix)
		if !isEvent {
			continue
		}
		payload = strings.TrimSpace(payload)
		if payload == endOfStream {
			s.ended = true
			if !s.finished {
				return Delta{}, &ErrInterrupted{Cause: io.ErrUnexpectedEOF}
			}
			return Delta{}, io.EOF
		}
		return s.decode(payload)
	}
	if err := s.scanner.Err(); err != nil {
		return Delta{}, &ErrInterrupted{Cause: err}
	}
	return Delta{}, &ErrInterrupted{Cause: io.ErrUnexpectedEOF}
}

const shownEventBytes = 80

func (s *eventStream) decode(payload string) (Delta, error) {
	var event chunk
	if err := json.Unmarshal([]byte(payload), &event); err != nil {
		return Delta{}, &ErrInterrupted{Cause: &errGarbled{Event: payload[:min(len(payload), shownEventBytes)]}}
	}
	if event.Error != nil {
		return Delta{}, &ErrInterrupted{Cause: &errGarbled{Event: event.Error.Message}}
	}
	delta := Delta{Model: event.Model}
	for _, choice := range event.Choices {
		if err := s.decodeChoice(choice, &delta); err != nil {
			return Delta{}, &ErrInterrupted{Cause: err}
		}
	}
	if event.Usage != nil {
		delta.Usage = &program.Usage{Prompt: event.Usage.PromptTokens, Completion: event.Usage.CompletionTokens}
		if event.Usage.Details != nil {
			delta.Usage.Cached = event.Usage.Details.CachedTokens
		}
	}
	return delta, nil
}

// decodeChoice adds a choice to delta. One choice was asked for: pieces of another, or after the end of this one, belong
// to another answer.
func (s *eventStream) decodeChoice(choice chunkChoice, delta *Delta) error {
	if choice.Index != 0 {
		return &errGarbled{Event: "a piece of choice " + strconv.Itoa(choice.Index)}
	}
	content := ""
	if choice.Delta.Content != nil {
		content = *choice.Delta.Content
	}
	if s.finished && content != "" {
		return &errGarbled{Event: "a piece after the finish reason"}
	}
	delta.Content += content
	if calls := choice.Delta.ToolCalls; len(calls) > 0 && string(calls) != jsonNull {
		delta.ToolCalls = calls
	}
	return s.noteFinish(choice.FinishReason, delta)
}

// noteFinish takes a finish reason. Some engines write an empty one into each event.
func (s *eventStream) noteFinish(reason *string, delta *Delta) error {
	if reason == nil || *reason == "" {
		return nil
	}
	if *reason == finishAbort || *reason == finishError {
		return &errGivenUp{FinishReason: *reason}
	}
	delta.FinishReason = *reason
	s.finished = true
	return nil
}

// Close implements Stream; it cancels an answer that has not ended.
func (s *eventStream) Close() {
	if s.ended {
		drain(s.body)
		return
	}
	_ = s.body.Close()
}

type releaseRequest struct {
	Program string `json:"program"`
}

// ReleaseCache implements ModelEngine.
func (o *OpenAI) ReleaseCache(ctx context.Context, target Target, programID string) error {
	body, err := json.Marshal(releaseRequest{Program: programID})
	if err != nil {
		return errors.Wrap(err, "encoding the release")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+ReleasePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the release")
	}
	request.Header.Set("Content-Type", jsonMediaType)
	response, err := o.transport.RoundTrip(request)
	if err != nil {
		return &ErrInterrupted{Cause: err}
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return &ErrStatus{Status: response.StatusCode}
	}
	return nil
}
