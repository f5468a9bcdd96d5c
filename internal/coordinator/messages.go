// Package coordinator books calls at the replicated program state and drives them to an engine.
// Server runs beside the leader of each partition; Client finds that leader from any node.
package coordinator

import (
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// The message kinds between gateways and coordinators.
const (
	beginKind   = "begin"
	retryKind   = "retry"
	finishKind  = "finish"
	failKind    = "fail"
	endKind     = "end"
	cancelKind  = "cancel"
	programKind = "program"
	listKind    = "programs"
	explainKind = "explain"
)

// BeginRequest asks to admit a call and to find it an engine.
type BeginRequest struct {
	Partition uint32        `json:"partition"`
	Admit     program.Admit `json:"admit"`
	// Execution identifies the caller's request at its gateway. It stays the same when the gateway
	// asks again, and differs for every repeat by the caller.
	Execution string `json:"execution"`
	// PromptTokens estimates the whole prompt.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MaxTokens    int64 `json:"max_tokens,omitempty"`
	// WantHistory asks for the stored messages, for a caller that sends only what is new.
	WantHistory bool `json:"want_history,omitempty"`
	// WaitForEnd asks to wait for the end of a running call that this one repeats.
	WaitForEnd bool `json:"wait_for_end,omitempty"`
}

// BeginResponse is an engine to send to, an answer that exists already, or a history that the
// caller's messages do not continue.
type BeginResponse struct {
	CallID  string            `json:"call"`
	Attempt int               `json:"attempt,omitempty"`
	Engine  *engine.Target    `json:"engine,omitempty"`
	History []program.Message `json:"history,omitempty"`
	Answer  *program.Answer   `json:"answer,omitempty"`
	// RunningAt is the gateway that executes the call which this one repeats.
	RunningAt string `json:"running_at,omitempty"`
	// Conflict is the end of the stored history.
	Conflict *program.HistoryMark `json:"conflict,omitempty"`
	// WaitedMillis is how long the call stood in line, for a retry after the engine lacked the model.
	WaitedMillis int64 `json:"waited_ms,omitempty"`
	// LeaseMillis is how long the gateway may wait before it sends.
	LeaseMillis int64 `json:"lease_ms,omitempty"`
}

// RetryRequest reports a lost attempt and asks for another engine.
type RetryRequest struct {
	Begin       BeginRequest `json:"begin"`
	Attempt     int          `json:"attempt"`
	Undelivered bool         `json:"undelivered,omitempty"`
	Avoid       []string     `json:"avoid,omitempty"`
	// Spent is what the call costs, in tokens, if it gets no further: that of which its caller has a part.
	Spent int64 `json:"spent,omitempty"`
	// EngineWithoutModel is the engine of the lost attempt if that has refused the call, for it had not loaded the
	// model; WaitedMillis is then the response's.
	EngineWithoutModel string `json:"lacking,omitempty"`
	WaitedMillis       int64  `json:"waited_ms,omitempty"`
	// ModelRefusals counts the call's attempts that have ended so.
	ModelRefusals int `json:"refusals,omitempty"`
}

// FinishRequest reports an answer.
type FinishRequest struct {
	Partition uint32           `json:"partition"`
	Complete  program.Complete `json:"complete"`
}

// FailRequest reports that a call ends without an answer.
type FailRequest struct {
	Partition uint32       `json:"partition"`
	Fail      program.Fail `json:"fail"`
}

// CallResponse is the call after a change.
type CallResponse struct {
	State program.CallState `json:"state"`
	Error *apierr.Error     `json:"error,omitempty"`
}

// EndRequest ends a program.
type EndRequest struct {
	Partition uint32      `json:"partition"`
	End       program.End `json:"end"`
}

// CancelRequest tells that the caller of a call that has no engine yet is gone.
type CancelRequest struct {
	Partition uint32 `json:"partition"`
	CallID    string `json:"call"`
}

// ProgramRequest reads one program.
type ProgramRequest struct {
	Partition   uint32      `json:"partition"`
	Program     program.Key `json:"program"`
	WantHistory bool        `json:"want_history,omitempty"`
}

// ProgramResponse is one program.
type ProgramResponse struct {
	Summary program.Summary   `json:"summary"`
	History []program.Message `json:"history,omitempty"`
}

// ListRequest reads the programs of the partitions that a node leads.
type ListRequest struct {
	Tenant string `json:"tenant,omitempty"`
}

// ListResponse lists programs.
type ListResponse struct {
	Programs []program.Summary `json:"programs"`
}

// ExplainRequest asks why a call went where it did.
type ExplainRequest struct {
	CallID string `json:"call"`
}

// ExplainResponse is the latest decision about a call, if this node took it and still knows it.
type ExplainResponse struct {
	Found    bool               `json:"found"`
	Decision scheduler.Decision `json:"decision"`
}
