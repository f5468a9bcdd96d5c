// Package program implements the replicated state of agent programs: the order of their calls, their history, budgets and
// idempotency records. Machine is deterministic: the same commands give the same state on every replica, and the time comes only
// from Command.At. docs/design/program-state.md describes the guarantees and how the commands keep them.
package program

import (
	"encoding/json"
	"net/http"

	"github.com/mountstile/mountstile/internal/apierr"
)

// Key identifies a program. Path is the caller's identifier; the path of a sub-agent is its parent's path, a slash, and its own
// identifier.
type Key struct {
	Tenant string `json:"tenant"`
	Path   string `json:"path"`
}

// EphemeralPrefix is the prefix of paths of programs that gateways create for unnamed calls. Callers can't use it.
const EphemeralPrefix = "~"

// Message is one message of a chat history, in the encoding of the caller or engine that sent it.
type Message = json.RawMessage

// CallState is the state of a call: admitted, dispatching, and then completed or failed. A lost attempt returns a call from
// dispatching to admitted.
type CallState string

const (
	// Admitted calls have a sequence number and a budget reservation, and no attempt in progress.
	Admitted CallState = "admitted"
	// Dispatching calls may have been sent to the engine of their latest attempt.
	Dispatching CallState = "dispatching"
	// Completed calls have ended with an answer.
	Completed CallState = "completed"
	// Failed calls have ended without an answer.
	Failed CallState = "failed"
)

// Usage counts tokens.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Cached     int64 `json:"cached_tokens,omitempty"`
	Completion int64 `json:"completion_tokens"`
}

// Total returns the tokens that are charged to budgets.
func (u Usage) Total() int64 { return u.Prompt + u.Completion }

// Answer is the stored result of a completed call.
type Answer struct {
	// Message is the assistant's message, of calls to a model engine only.
	Message      Message `json:"message,omitempty"`
	FinishReason string  `json:"finish_reason,omitempty"`
	Model        string  `json:"model,omitempty"`
	Usage        Usage   `json:"usage"`
	// Status, Header, Body and Trailer are the response of an application engine.
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Trailer http.Header `json:"trailer,omitempty"`
}

// Limits apply to a program together with its sub-agents. A duration of 0 is unlimited.
type Limits struct {
	TokenBudget int64 `json:"tokens"`
	CallBudget  int64 `json:"calls"`
	IdleMillis  int64 `json:"idle_ms"`
	MaxMillis   int64 `json:"max_ms"`
}

// Call is one request of a program. Times are in milliseconds since 1970.
type Call struct {
	ID             string    `json:"id"`
	Sequence       uint64    `json:"sequence"`
	Service        string    `json:"service"`
	Model          string    `json:"model,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	BodyHash       string    `json:"body_hash"`
	Repeatable     bool      `json:"repeatable"`
	State          CallState `json:"state"`
	Attempt        int       `json:"attempt,omitempty"`
	Engine         string    `json:"engine,omitempty"`
	Gateway        string    `json:"gateway,omitempty"`
	Execution      string    `json:"execution,omitempty"`
	// LastDispatchedBefore is the program's LastDispatched before the call's dispatch, restored if no attempt was sent.
	LastDispatchedBefore uint64 `json:"reached_before,omitempty"`
	// MayHaveRun is set once an attempt is lost that its gateway may have sent.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// Spent is the cost in tokens if the call ends without another attempt. Reserved is the budget reservation in tokens.
	Spent      int64         `json:"spent,omitempty"`
	Reserved   int64         `json:"reserved,omitempty"`
	Base       HistoryMark   `json:"base"`
	CheckBase  bool          `json:"check_base,omitempty"`
	Messages   []Message     `json:"messages,omitempty"`
	Answer     *Answer       `json:"answer,omitempty"`
	Error      *apierr.Error `json:"error,omitempty"`
	AdmittedAt int64         `json:"admitted_at"`
	EndedAt    int64         `json:"ended_at,omitempty"`
}

// Ended reports whether the call is completed or failed.
func (c *Call) Ended() bool { return c.State == Completed || c.State == Failed }

// Program is one agent program or sub-agent. Times are in milliseconds since 1970.
type Program struct {
	Key    Key    `json:"key"`
	Limits Limits `json:"limits"`
	// Used and Reserved are tokens, Calls is a number of calls, all including sub-agents.
	Used     int64 `json:"used"`
	Reserved int64 `json:"reserved"`
	Calls    int64 `json:"calls"`
	// NextSequence is the sequence number of the next call; the first is 1. LastDispatched is the highest sequence number
	// of a call that may have been sent to an engine.
	NextSequence   uint64      `json:"next_sequence"`
	LastDispatched uint64      `json:"reached,omitempty"`
	History        History     `json:"history,omitzero"`
	Mark           HistoryMark `json:"mark"`
	// Open holds the calls that have not ended, and ended calls during their retention, by call ID.
	Open      map[string]*Call `json:"open,omitempty"`
	CreatedAt int64            `json:"created_at"`
	ActiveAt  int64            `json:"active_at"`
	// EndedAt and EndReason are set when the program ends.
	EndedAt   int64  `json:"ended_at,omitempty"`
	EndReason string `json:"end_reason,omitempty"`
	// Caches maps the engines that may hold the program's cache to the service that used them.
	Caches map[string]string `json:"caches,omitempty"`
	// LastEngine is the engine of the latest dispatch; LastTokens is the length of prompt and answer of the latest
	// completed call.
	LastEngine string `json:"last_engine,omitempty"`
	LastTokens int64  `json:"last_tokens,omitempty"`
	// FirstMessage identifies programs whose prompts have a common prefix.
	FirstMessage FirstMessage `json:"opening,omitzero"`
}

// FirstMessage is the hash and estimated length of a program's first message.
type FirstMessage struct {
	Hash   string `json:"hash"`
	Tokens int64  `json:"tokens"`
}

// Ended reports whether the program has ended, and admits no more calls.
func (p *Program) Ended() bool { return p.EndedAt > 0 }

// Admit assigns a sequence number to a call and reserves its budget. It is idempotent by CallID.
type Admit struct {
	CallID         string `json:"call"`
	Program        Key    `json:"program"`
	Service        string `json:"service"`
	Model          string `json:"model,omitempty"`
	Gateway        string `json:"gateway"`
	Sequence       uint64 `json:"sequence,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	BodyHash       string `json:"body_hash"`
	Repeatable     bool   `json:"repeatable"`
	// Reserve is the upper bound of the call's cost, in tokens.
	Reserve int64 `json:"reserve"`
	// Messages are appended to the history when the call completes. Base identifies the history before them, and must match
	// if CheckBase is set.
	Messages  []Message   `json:"messages,omitempty"`
	Base      HistoryMark `json:"base"`
	CheckBase bool        `json:"check_base,omitempty"`
	// Limits apply to the program and its ancestors if this command creates them. OwnTokens, if set, lowers the token
	// budget of a new program, but not of its ancestors.
	Limits    Limits `json:"limits"`
	OwnTokens int64  `json:"own_tokens,omitempty"`
}

// Dispatch records that a call is about to be sent to an engine. The call must not be sent before this command is
// committed.
type Dispatch struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	Engine  string `json:"engine"`
	Gateway string `json:"gateway"`
	// Execution identifies the caller's request that may send the attempt. Of several requests with the same idempotency key at
	// a gateway only this one may.
	Execution string `json:"execution,omitempty"`
	// CacheService is the service for which the engine will hold the program's cache; empty if it will not.
	CacheService string `json:"cache_service,omitempty"`
}

// LoseAttempt records that an attempt will give no answer. A call that is not repeatable fails unless the attempt is Undelivered.
type LoseAttempt struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	// Undelivered is set if the gateway, the only process that could send the attempt, has confirmed that it has not sent it
	// and never will.
	Undelivered bool `json:"undelivered,omitempty"`
	// Spent is the cost in tokens of the part of the answer that the caller has received.
	Spent int64 `json:"spent,omitempty"`
}

// Complete records a call's answer.
type Complete struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	Answer  Answer `json:"answer"`
}

// Fail ends a call without an answer. With Attempt 0 it applies only to an admitted call, which can't be dispatched afterwards, so
// that NotRun is certain if no earlier attempt may have run.
type Fail struct {
	CallID  string        `json:"call"`
	Program Key           `json:"program"`
	Attempt int           `json:"attempt,omitempty"`
	Error   *apierr.Error `json:"error"`
	// Usage is the attempt's known cost; if nil, the whole reservation is charged.
	Usage *Usage `json:"usage,omitempty"`
}

// End ends a program and its sub-agents.
type End struct {
	Program Key    `json:"program"`
	Reason  string `json:"reason"`
}

// ReleaseCache records that an engine does not hold an ended program's cache any more.
type ReleaseCache struct {
	Program Key    `json:"program"`
	Engine  string `json:"engine"`
}

// Expire ends programs that exceed their limits, and removes ended calls and programs past their retention.
type Expire struct{}

// Command is one log entry; exactly one of the pointers is set.
type Command struct {
	// At is the proposing leader's clock in milliseconds since 1970.
	At       int64         `json:"at"`
	Admit    *Admit        `json:"admit,omitempty"`
	Dispatch *Dispatch     `json:"dispatch,omitempty"`
	Lose     *LoseAttempt  `json:"lose,omitempty"`
	Complete *Complete     `json:"complete,omitempty"`
	Fail     *Fail         `json:"fail,omitempty"`
	End      *End          `json:"end,omitempty"`
	Release  *ReleaseCache `json:"release,omitempty"`
	Expire   *Expire       `json:"expire,omitempty"`
}

// Result is the result of a command for its proposer.
type Result struct {
	// Call is a copy of the call after the command, without its messages.
	Call *Call
	// Existing is set if the command changed nothing: Admit found the call or another one with its idempotency key, or
	// Dispatch, Complete or Fail was repeated or came too late.
	Existing bool
	// Mark identifies the whole history; set by Dispatch and Complete, and with HistoryConflict.
	Mark  HistoryMark
	Error *apierr.Error
}

// Program returns the program of a command about a call, and the zero Key for other commands.
func (c Command) Program() Key {
	switch {
	case c.Admit != nil:
		return c.Admit.Program
	case c.Dispatch != nil:
		return c.Dispatch.Program
	case c.Lose != nil:
		return c.Lose.Program
	case c.Complete != nil:
		return c.Complete.Program
	case c.Fail != nil:
		return c.Fail.Program
	}
	return Key{}
}
