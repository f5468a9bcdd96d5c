package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/program"
)

// answerWriter writes an answer in the format that the caller requested.
type answerWriter interface {
	// addDelta writes a part of the answer, unless the format has only whole answers.
	addDelta(delta engine.Delta)
	// finish ends the answer. It is called only after the answer was committed.
	finish(answer *program.Answer)
	// abort ends a started answer with an error.
	abort(failure *apierr.Error)
	// hasStarted reports whether a part of the answer was written.
	hasStarted() bool
}

func newAnswerWriter(w http.ResponseWriter, execution *chatExecution) answerWriter {
	head := completionHead{
		ID:      "chatcmpl-" + execution.begin.Admit.CallID,
		Created: time.Now().Unix(),
		Model:   execution.request.Model,
	}
	if execution.request.Stream {
		return &streamWriter{w: w, head: head, includeUsage: execution.request.IncludeUsage}
	}
	return &jsonWriter{w: w, head: head}
}

type completionHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type completion struct {
	completionHead
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Message      program.Message `json:"message"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     *struct{}       `json:"logprobs"`
}

type completionUsage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func newUsage(usage program.Usage) completionUsage {
	return completionUsage{
		PromptTokens:     usage.Prompt,
		CompletionTokens: usage.Completion,
		TotalTokens:      usage.Total(),
		PromptDetails:    promptDetails{CachedTokens: usage.Cached},
	}
}

// jsonWriter writes an answer as one JSON object.
type jsonWriter struct {
	w    http.ResponseWriter
	head completionHead
}

func (*jsonWriter) addDelta(engine.Delta) {}
func (*jsonWriter) hasStarted() bool      { return false }
func (*jsonWriter) abort(*apierr.Error)   {}

func (a *jsonWriter) finish(answer *program.Answer) {
	a.head.Object = "chat.completion"
	a.w.Header().Set(HeaderOutcome, string(apierr.Ran))
	writeJSON(a.w, completion{
		completionHead: a.head,
		Choices:        []completionChoice{{Message: answer.Message, FinishReason: answer.FinishReason}},
		Usage:          newUsage(answer.Usage),
	})
}

// streamWriter writes an answer as server-sent events.
type streamWriter struct {
	w            http.ResponseWriter
	head         completionHead
	includeUsage bool
	started      bool
}

type streamChunk struct {
	completionHead
	Choices []streamChoice   `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Delta        streamDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type streamDelta struct {
	Role      string          `json:"role,omitempty"`
	Content   string          `json:"content,omitempty"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

func (a *streamWriter) hasStarted() bool { return a.started }

func (a *streamWriter) addDelta(delta engine.Delta) {
	a.choice(streamChoice{Delta: streamDelta{Content: delta.Content, ToolCalls: delta.ToolCalls}})
}

// choice writes an event with one choice. The first event has the response headers and the role.
func (a *streamWriter) choice(choice streamChoice) {
	if !a.started {
		a.started = true
		header := a.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
		choice.Delta.Role = assistant
	}
	a.writeEvent(streamChunk{completionHead: a.chunkHead(), Choices: []streamChoice{choice}})
}

func (a *streamWriter) chunkHead() completionHead {
	head := a.head
	head.Object = "chat.completion.chunk"
	return head
}

func (a *streamWriter) writeEvent(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	// A disconnected caller is detected through the request's context.
	_, _ = a.w.Write(append(append([]byte("data: "), encoded...), "\n\n"...))
	_ = http.NewResponseController(a.w).Flush()
}

func (a *streamWriter) finish(answer *program.Answer) {
	if !a.started {
		// A stored answer is sent as one delta.
		if delta, err := storedDelta(answer); err == nil {
			a.addDelta(delta)
		}
	}
	reason := answer.FinishReason
	a.choice(streamChoice{FinishReason: &reason})
	if a.includeUsage {
		usage := newUsage(answer.Usage)
		a.writeEvent(streamChunk{completionHead: a.chunkHead(), Choices: []streamChoice{}, Usage: &usage})
	}
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(a.w).Flush()
}

// storedDelta converts a stored answer to one delta of a stream.
func storedDelta(answer *program.Answer) (engine.Delta, error) {
	var stored engine.AssistantMessage
	if err := json.Unmarshal(answer.Message, &stored); err != nil {
		return engine.Delta{}, apierr.New(apierr.Internal, apierr.Ran, "decoding the stored answer: %s", err)
	}
	delta := engine.Delta{ToolCalls: indexedToolCalls(stored.ToolCalls)}
	if stored.Content != nil {
		delta.Content = *stored.Content
	}
	return delta, nil
}

func (a *streamWriter) abort(failure *apierr.Error) { a.writeEvent(newErrorBody(failure)) }
