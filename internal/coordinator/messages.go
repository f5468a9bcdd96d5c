// Package coordinator records calls in the replicated program state and places them on engines. Server handles the requests of
// the partitions that its node leads; Client routes requests from any node to the partition's leader.
package coordinator

import (
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// Message kinds between gateways and coordinators.
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
	leaderKind  = "leader"
)

// BeginRequest admits a call and requests an engine for it.
type BeginRequest struct {
	Partition uint32        `json:"partition"`
	Admit     program.Admit `json:"admit"`
	// Execution identifies the caller's request at its gateway. It stays the same when the gateway resends the request, and
	// differs for every repeat by the caller.
	Execution string `json:"execution"`
	// PromptTokens is the estimated length of the whole prompt.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MaxTokens    int64 `json:"max_tokens,omitempty"`
	// WantHistory requests the stored messages, for a caller that sends only new ones.
	WantHistory bool `json:"want_history,omitempty"`
	// WaitForEnd delays the response until the running call that this one repeats has ended.
	WaitForEnd bool `json:"wait_for_end,omitempty"`
}

// BeginResponse holds one of these: the engine to send the call to, a stored answer, the gateway that executes the call already,
// or the mark of the stored history that conflicts with the caller's messages.
type BeginResponse struct {
	CallID  string            `json:"call"`
	Attempt int               `json:"attempt,omitempty"`
	Engine  *engine.Target    `json:"engine,omitempty"`
	History []program.Message `json:"history,omitempty"`
	Answer  *program.Answer   `json:"answer,omitempty"`
	// RunningAt is the ID of the gateway that executes the call that this one repeats.
	RunningAt string `json:"running_at,omitempty"`
	// Conflict is the mark of the whole stored history.
	Conflict *program.HistoryMark `json:"conflict,omitempty"`
	// WaitedMillis is the call's queue time so far, for a RetryRequest with EngineWithoutModel.
	WaitedMillis int64 `json:"waited_ms,omitempty"`
	// LeaseMillis is how long after the response the gateway may start to send the call to the engine.
	LeaseMillis int64 `json:"lease_ms,omitempty"`
}

// RetryRequest reports a lost attempt and requests another engine.
type RetryRequest struct {
	Begin   BeginRequest `json:"begin"`
	Attempt int          `json:"attempt"`
	// Undelivered is set if nothing of the attempt was sent.
	Undelivered bool `json:"undelivered,omitempty"`
	// Avoid are the engines on which the call has failed.
	Avoid []string `json:"avoid,omitempty"`
	// Software is the software version of the engines that wrote the answer so far; nil if there is none.
	Software *string `json:"software,omitempty"`
	// Spent is the cost in tokens if the call ends without another attempt. It is set if the caller has received a part of the
	// answer.
	Spent int64 `json:"spent,omitempty"`
	// EngineWithoutModel is the engine of the lost attempt if it refused the call because it had not loaded the model.
	// WaitedMillis is then copied from the BeginResponse.
	EngineWithoutModel string `json:"lacking,omitempty"`
	WaitedMillis       int64  `json:"waited_ms,omitempty"`
	// ModelRefusals counts the call's attempts that were refused for this reason.
	ModelRefusals int `json:"refusals,omitempty"`
}

// FinishRequest commits the answer of a call.
type FinishRequest struct {
	Partition uint32           `json:"partition"`
	Complete  program.Complete `json:"complete"`
}

// FailRequest commits that a call ends without an answer.
type FailRequest struct {
	Partition uint32       `json:"partition"`
	Fail      program.Fail `json:"fail"`
}

// CallResponse is the state of a call after a command was committed.
type CallResponse struct {
	State program.CallState `json:"state"`
	Error *apierr.Error     `json:"error,omitempty"`
}

// EndRequest ends a program and its sub-agents.
type EndRequest struct {
	Partition uint32      `json:"partition"`
	End       program.End `json:"end"`
}

// CancelRequest reports that the caller of a call that has no engine yet has disconnected.
type CancelRequest struct {
	Partition uint32 `json:"partition"`
	CallID    string `json:"call"`
}

// ProgramRequest requests one program.
type ProgramRequest struct {
	Partition   uint32      `json:"partition"`
	Program     program.Key `json:"program"`
	WantHistory bool        `json:"want_history,omitempty"`
}

// ProgramResponse holds a program's summary, and its history if the request has WantHistory.
type ProgramResponse struct {
	Summary program.Summary   `json:"summary"`
	History []program.Message `json:"history,omitempty"`
}

// ListRequest requests the programs of the partitions that a node leads. An empty Tenant selects all tenants.
type ListRequest struct {
	Tenant string `json:"tenant,omitempty"`
}

// ListResponse holds the summaries of the selected programs.
type ListResponse struct {
	Programs []program.Summary `json:"programs"`
}

// ExplainRequest requests the scheduling decision about a call.
type ExplainRequest struct {
	CallID string `json:"call"`
}

// ExplainResponse holds the latest decision about a call, if the node made it and still keeps it.
type ExplainResponse struct {
	Found    bool               `json:"found"`
	Decision scheduler.Decision `json:"decision"`
}
