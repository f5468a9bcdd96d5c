// Package engine is the port to back ends: model engines that speak the OpenAI chat-completions
// API, and application engines that are plain HTTP servers. Only its adapters know a wire format.
package engine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/mountstile/mountstile/internal/program"
)

// Target is one engine.
type Target struct {
	Name string `json:"name"`
	URL  string `json:"url"`
	Pool string `json:"pool"`
}

// Parameters are the members of a caller's request that are passed on unread, by name.
type Parameters map[string]json.RawMessage

// ChatRequest is one attempt of a model call.
type ChatRequest struct {
	Model     string
	Messages  []program.Message
	MaxTokens int64
	// Partial is the beginning of the answer, when an earlier attempt was cut off.
	Partial    string
	Parameters Parameters
	Program    string
	CallID     string
	Attempt    int
	Priority   int
}

// Delta is a piece of an answer.
type Delta struct {
	Content string
	// ToolCalls is a raw piece of tool calls, in the chat-completions form.
	ToolCalls    json.RawMessage
	FinishReason string
	// Usage comes with the last piece.
	Usage *program.Usage
	Model string
}

// Stream delivers an answer; io.EOF ends a whole one, *ErrInterrupted a cut-off one.
type Stream interface {
	Next() (Delta, error)
	Close()
}

// ModelEngine is what the product needs of model engines.
type ModelEngine interface {
	// Chat sends a request. Errors: *ErrNotSent, *ErrStatus, *ErrInterrupted.
	Chat(ctx context.Context, target Target, request ChatRequest) (Stream, error)
	// ReleaseCache makes the engine drop a program's cache; nil means that it has confirmed.
	ReleaseCache(ctx context.Context, target Target, programID string) error
}

// Order tells an engine which model to load. An engine refuses an order whose token is not above the
// highest that it has seen, so that a sender which was deposed unawares changes nothing.
type Order struct {
	Token uint64 `json:"token"`
	Model string `json:"model"`
	// WeightStore is the base URL to pull the weights from.
	WeightStore string `json:"weight_store"`
}

// MaxToken is the highest token of an order. An engine that tells a higher one is not believed: whoever
// goes above it would run out of numbers.
const MaxToken = 1 << 62

// ModelState is what an engine says of its model. Model is empty for an engine that got no order
// yet, and serves whatever it is asked for, and while it loads its first one.
type ModelState struct {
	// Token is the highest that the engine has seen.
	Token   uint64 `json:"token"`
	Model   string `json:"model,omitempty"`
	Loading string `json:"loading,omitempty"`
}

// Loader gives engines orders.
type Loader interface {
	// Order sends an order. Errors: *ErrFenced, *ErrStatus, *ErrInterrupted; after the last it may hold.
	Order(ctx context.Context, target Target, order Order) error
	// ModelState asks what an engine has loaded. Errors: *ErrStatus, *ErrInterrupted.
	ModelState(ctx context.Context, target Target) (ModelState, error)
}

// ErrFenced means that the engine has seen an order with a token as high or higher.
type ErrFenced struct{ State ModelState }

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("the order is fenced off: the engine has seen token %d", e.State.Token)
}

// ErrModelNotLoaded means that the engine has not loaded the request's model; it did not run the request.
type ErrModelNotLoaded struct{ Model string }

// Error implements error.
func (e *ErrModelNotLoaded) Error() string { return "the engine has not loaded model " + e.Model }

// ErrNotSent means that not a byte of the request was sent.
type ErrNotSent struct{ Cause error }

// Error implements error.
func (e *ErrNotSent) Error() string { return "the engine can't be reached: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// ErrInterrupted means that the connection was lost after the request was, or may have been, sent.
type ErrInterrupted struct{ Cause error }

// Error implements error.
func (e *ErrInterrupted) Error() string { return "the engine was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrInterrupted) Unwrap() error { return e.Cause }

// ErrStatus means that the engine answered with a failure.
type ErrStatus struct {
	Status int
	Body   string
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the engine answered with status %d: %s", e.Status, e.Body)
}

// Temporary reports whether another engine, or another time, may help.
func (e *ErrStatus) Temporary() bool { return e.Status >= 500 || e.Status == 429 }
