// Package engine is the client of engines: model engines, which have the OpenAI chat-completions API, and application
// engines, which are plain HTTP servers. The wire formats are internal to its adapters.
package engine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/mountstile/mountstile/internal/program"
)

// Target identifies an engine and its address.
type Target struct {
	Name string `json:"name"`
	URL  string `json:"url"`
	Pool string `json:"pool"`
	// Software is the version of the engine's software; empty if it states none.
	Software string `json:"software,omitempty"`
}

// Parameters holds the members of a caller's request that are forwarded unchanged, by name.
type Parameters map[string]json.RawMessage

// ChatRequest is one attempt of a model call.
type ChatRequest struct {
	Model     string
	Messages  []program.Message
	MaxTokens int64
	// Partial is the text received before an earlier attempt was interrupted; the engine continues it.
	Partial    string
	Parameters Parameters
	Program    string
	CallID     string
	Attempt    int
	Priority   int
}

// Delta is one increment of a streamed response.
type Delta struct {
	Content string
	// ToolCalls is a tool_calls delta in the chat-completions format, or empty.
	ToolCalls    json.RawMessage
	FinishReason string
	// Usage is set in the last delta only.
	Usage *program.Usage
	Model string
}

// Stream is a streamed response. Next returns io.EOF after a complete response and *ErrInterrupted if it is incomplete.
type Stream interface {
	Next() (Delta, error)
	Close()
}

// ModelEngine sends calls to model engines.
type ModelEngine interface {
	// Chat sends a request at most once. Errors: *ErrNotSent, *ErrModelNotLoaded, *ErrStatus, *ErrInterrupted.
	Chat(ctx context.Context, target Target, request ChatRequest) (Stream, error)
	// ReleaseCache makes the engine drop a program's cache; nil means that the engine has confirmed it.
	ReleaseCache(ctx context.Context, target Target, programID string) error
}

// Order instructs an engine to load a model. Token is a fencing token: an engine rejects an order whose token isn't
// higher than all that it has seen, so that a former leader can't change anything.
type Order struct {
	Token uint64 `json:"token"`
	Model string `json:"model"`
	// WeightStore is the base URL from which to download the weights.
	WeightStore string `json:"weight_store"`
}

// MaxToken is the highest valid token of an order. A model state with a higher one is rejected, as tokens above it would
// overflow.
const MaxToken = 1 << 62

// ModelState is the state that an engine reports. Model is empty while the engine is loading its first model, and for an
// engine that has had no order; the latter serves any model.
type ModelState struct {
	// Token is the highest fencing token that the engine has seen.
	Token   uint64 `json:"token"`
	Model   string `json:"model,omitempty"`
	Loading string `json:"loading,omitempty"`
}

// Loader controls which models engines load.
type Loader interface {
	// Order sends an order. Errors: *ErrFenced, *ErrStatus, *ErrInterrupted; after the last, the engine may have accepted
	// the order.
	Order(ctx context.Context, target Target, order Order) error
	// ModelState returns the current state of an engine. Errors: *ErrStatus, *ErrInterrupted.
	ModelState(ctx context.Context, target Target) (ModelState, error)
}

// ErrFenced means that the engine rejected an order because it has seen the same or a higher token.
type ErrFenced struct{ State ModelState }

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("the engine rejected the order: it has already seen token %d", e.State.Token)
}

// ErrModelNotLoaded means that the engine has not loaded the requested model and did not run the request.
type ErrModelNotLoaded struct{ Model string }

// Error implements error.
func (e *ErrModelNotLoaded) Error() string { return "the engine has not loaded model " + e.Model }

// ErrNotSent means that no part of the request was sent, so that it is safe to retry.
type ErrNotSent struct{ Cause error }

// Error implements error.
func (e *ErrNotSent) Error() string {
	return "the request was not sent to the engine: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// ErrInterrupted means that the request may have been sent but no complete, valid response was received.
type ErrInterrupted struct{ Cause error }

// Error implements error.
func (e *ErrInterrupted) Error() string {
	return "no complete response from the engine: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrInterrupted) Unwrap() error { return e.Cause }

// ErrStatus means that the engine responded with an error status.
type ErrStatus struct {
	Status int
	Body   string
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the engine responded with status %d: %s", e.Status, e.Body)
}

// Temporary reports whether a retry, on this or another engine, may succeed.
func (e *ErrStatus) Temporary() bool { return e.Status >= 500 || e.Status == 429 }
