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

// Paths of the model engines' API.
const (
	ChatPath    = "/v1/chat/completions"
	ReleasePath = "/v1/cache/release"
	OrdersPath  = "/v1/orders"
)

const (
	maxEventBytes  = 1 << 20
	maxErrorBytes  = 2 << 10
	eventPrefix    = "data:"
	doneMarker     = "[DONE]"
	assistantRole  = "assistant"
	jsonMediaType  = "application/json"
	jsonNull       = "null"
	maxDrainedBody = 64 << 10
)

// OpenAI implements ModelEngine and Loader over the chat-completions API. To continue an interrupted response it uses
// vLLM's continue_final_message extension.
type OpenAI struct {
	transport http.RoundTripper
}

// NewOpenAI returns an OpenAI with its own connection pool.
func NewOpenAI() *OpenAI { return &OpenAI{transport: newHTTPTransport()} }

// streamOptions is the stream_options member; IncludeUsage requests token counts in the last event.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// AssistantMessage is a response in the form of a chat-completions message.
type AssistantMessage struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// NewAssistantMessage encodes a response as a message of the conversation history. Content is null if there are only
// tool calls.
func NewAssistantMessage(content string, toolCalls json.RawMessage) (program.Message, error) {
	message := AssistantMessage{Role: assistantRole, Content: &content, ToolCalls: toolCalls}
	if content == "" && len(toolCalls) > 0 {
		message.Content = nil
	}
	encoded, err := json.Marshal(message)
	return encoded, errors.Wrap(err, "encoding an assistant message")
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
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+ChatPath, unreplayableBody{bytes.NewReader(body)})
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
		defer drainAndClose(response.Body)
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

// drainAndClose reads a small remainder of the body, so that the connection can be reused, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainedBody)
	_ = body.Close()
}

// chunk is one event of a streamed response.
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

// errAborted means that an engine ended a response before it was complete.
type errAborted struct{ FinishReason string }

// Error implements error.
func (e *errAborted) Error() string {
	return "the engine aborted the response with finish reason " + e.FinishReason
}

// vLLM's finish reasons for incomplete responses; the OpenAI API defines none.
const (
	finishAbort = "abort"
	finishError = "error"
)

// errInvalidResponse means that an engine sent an event or model state that is malformed or unexpected, or an error event.
type errInvalidResponse struct{ Detail string }

// Error implements error.
func (e *errInvalidResponse) Error() string { return "invalid response: " + e.Detail }

// eventStream implements Stream on a body of server-sent events.
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
		if payload == doneMarker {
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

const maxQuotedEventBytes = 80

func (s *eventStream) decode(payload string) (Delta, error) {
	var event chunk
	if err := json.Unmarshal([]byte(payload), &event); err != nil {
		return Delta{}, &ErrInterrupted{Cause: &errInvalidResponse{Detail: payload[:min(len(payload), maxQuotedEventBytes)]}}
	}
	if event.Error != nil {
		return Delta{}, &ErrInterrupted{Cause: &errInvalidResponse{Detail: event.Error.Message}}
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

// decodeChoice adds a choice to delta. Only one choice was requested, so content of another one or after the finish reason
// is an error.
func (s *eventStream) decodeChoice(choice chunkChoice, delta *Delta) error {
	if choice.Index != 0 {
		return &errInvalidResponse{Detail: "content of choice " + strconv.Itoa(choice.Index)}
	}
	content := ""
	if choice.Delta.Content != nil {
		content = *choice.Delta.Content
	}
	if s.finished && content != "" {
		return &errInvalidResponse{Detail: "content after the finish reason"}
	}
	delta.Content += content
	if calls := choice.Delta.ToolCalls; len(calls) > 0 && string(calls) != jsonNull {
		delta.ToolCalls = calls
	}
	return s.setFinishReason(choice.FinishReason, delta)
}

// setFinishReason stores a finish reason. An empty one is ignored, as some engines send it in each event.
func (s *eventStream) setFinishReason(reason *string, delta *Delta) error {
	if reason == nil || *reason == "" {
		return nil
	}
	if *reason == finishAbort || *reason == finishError {
		return &errAborted{FinishReason: *reason}
	}
	delta.FinishReason = *reason
	s.finished = true
	return nil
}

// Close implements Stream. Closing the body of a response that has not ended cancels the request.
func (s *eventStream) Close() {
	if s.ended {
		drainAndClose(s.body)
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
		return errors.Wrap(err, "encoding the release request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+ReleasePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the release request")
	}
	request.Header.Set("Content-Type", jsonMediaType)
	response, err := o.transport.RoundTrip(request)
	if err != nil {
		return &ErrInterrupted{Cause: err}
	}
	defer drainAndClose(response.Body)
	if response.StatusCode != http.StatusOK {
		return &ErrStatus{Status: response.StatusCode}
	}
	return nil
}
