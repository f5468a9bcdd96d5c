// Package program is the replicated state of agent programs: the order of their calls, their
// history, budgets and idempotency records. Machine is pure: the same commands give the same
// state on every replica; time enters only through Command.At.
// docs/design/program-state.md explains the promises and how the commands keep them.
package program

import (
	"encoding/json"
	"net/http"

	"github.com/mountstile/mountstile/internal/apierr"
)

// Key identifies a program. Path is the caller's identifier; that of a sub-agent is its parent's,
// a slash, and its own.
type Key struct {
	Tenant string `json:"tenant"`
	Path   string `json:"path"`
}

// EphemeralPrefix starts the paths of programs that their callers did not name. Callers can't use it.
const EphemeralPrefix = "~"

// Message is one element of a chat history, as the caller or an engine wrote it.
type Message = json.RawMessage

// CallState is how far a call has come.
type CallState string

const (
	// Admitted calls have their place in the order and their budget; nothing was sent.
	Admitted CallState = "admitted"
	// Dispatching calls may have reached the engine of their latest attempt.
	Dispatching CallState = "dispatching"
	// Completed calls have an answer.
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

// Total is what a call costs its program's budget.
func (u Usage) Total() int64 { return u.Prompt + u.Completion }

// Answer is the stored result of a call.
type Answer struct {
	// Message is the assistant's message of a model call.
	Message      Message `json:"message,omitempty"`
	FinishReason string  `json:"finish_reason,omitempty"`
	Model        string  `json:"model,omitempty"`
	Usage        Usage   `json:"usage"`
	// Status, Header, Body and Trailer are the answer of an application engine.
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Trailer http.Header `json:"trailer,omitempty"`
}

// Limits bound one program with its sub-agents.
type Limits struct {
	TokenBudget int64 `json:"tokens"`
	CallBudget  int64 `json:"calls"`
	IdleMillis  int64 `json:"idle_ms"`
	MaxMillis   int64 `json:"max_ms"`
}

// Call is one request of a program.
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
	// ReachedBefore is the program's Reached before the call's first dispatch.
	ReachedBefore uint64 `json:"reached_before,omitempty"`
	// MayHaveRun is set if an attempt was lost that its gateway may have sent.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// Spent is what the call costs, in tokens, if it ends without another attempt.
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

// Program is one agent program or sub-agent.
type Program struct {
	Key    Key    `json:"key"`
	Limits Limits `json:"limits"`
	// Used and Reserved count tokens, and Calls calls, of the program and its sub-agents.
	Used     int64 `json:"used"`
	Reserved int64 `json:"reserved"`
	Calls    int64 `json:"calls"`
	// NextSequence is the place of the next call; the first is 1. Reached is the highest place of
	// a call that may have reached an engine.
	NextSequence uint64           `json:"next_sequence"`
	Reached      uint64           `json:"reached,omitempty"`
	History      History          `json:"history,omitzero"`
	Mark         HistoryMark      `json:"mark"`
	Open         map[string]*Call `json:"open,omitempty"`
	CreatedAt    int64            `json:"created_at"`
	ActiveAt     int64            `json:"active_at"`
	// EndedAt is set once the program has ended; EndReason tells why.
	EndedAt   int64  `json:"ended_at,omitempty"`
	EndReason string `json:"end_reason,omitempty"`
	// Caches are the engines that may hold the program's cache, with the service that used them.
	Caches map[string]string `json:"caches,omitempty"`
	// LastEngine served the latest call; LastTokens is how long its prompt and answer were.
	LastEngine string `json:"last_engine,omitempty"`
	LastTokens int64  `json:"last_tokens,omitempty"`
	// Opening is the first message. Programs that share it share a prefix of their prompts.
	Opening Opening `json:"opening,omitzero"`
}

// Opening identifies the first message of a program.
type Opening struct {
	Hash   string `json:"hash"`
	Tokens int64  `json:"tokens"`
}

// Ended reports whether the program takes no more calls.
func (p *Program) Ended() bool { return p.EndedAt > 0 }

// Admit asks for a place in the order and for budget. It is idempotent by CallID.
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
	// Reserve is the most tokens that the call can cost.
	Reserve int64 `json:"reserve"`
	// Messages are new; Base is the history that they follow, checked if CheckBase is set.
	Messages  []Message   `json:"messages,omitempty"`
	Base      HistoryMark `json:"base"`
	CheckBase bool        `json:"check_base,omitempty"`
	// Limits apply if the program, or an ancestor, is new.
	Limits    Limits `json:"limits"`
	OwnTokens int64  `json:"own_tokens,omitempty"`
}

// Dispatch records that a call goes to an engine. Nothing may be sent before it is committed.
type Dispatch struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	Engine  string `json:"engine"`
	Gateway string `json:"gateway"`
	// Execution is the caller's request that may send the attempt. Several requests with one
	// idempotency key may wait at the same gateway; only this one sends.
	Execution string `json:"execution,omitempty"`
	// CacheService is set if the engine will hold the program's cache.
	CacheService string `json:"cache_service,omitempty"`
}

// LoseAttempt records that an attempt will bring no answer.
type LoseAttempt struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	// Undelivered means that the gateway, the only process that could send, says that it sent
	// nothing and never will.
	Undelivered bool `json:"undelivered,omitempty"`
	// Spent is the cost, in tokens, of what the caller has of the answer so far.
	Spent int64 `json:"spent,omitempty"`
}

// Complete records a call's answer.
type Complete struct {
	CallID  string `json:"call"`
	Program Key    `json:"program"`
	Attempt int    `json:"attempt"`
	Answer  Answer `json:"answer"`
}

// Fail ends a call without an answer. Attempt 0 forbids any dispatch: it is what proves NotRun.
type Fail struct {
	CallID  string        `json:"call"`
	Program Key           `json:"program"`
	Attempt int           `json:"attempt,omitempty"`
	Error   *apierr.Error `json:"error"`
	// Usage is what the attempt is known to have cost; nil settles at the reservation.
	Usage *Usage `json:"usage,omitempty"`
}

// End ends a program and its sub-agents.
type End struct {
	Program Key    `json:"program"`
	Reason  string `json:"reason"`
}

// ReleaseCache records that an engine holds no more cache of a program.
type ReleaseCache struct {
	Program Key    `json:"program"`
	Engine  string `json:"engine"`
}

// Expire ends programs over their limits and forgets ended ones.
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

// Result is what applying a command gives to its proposer.
type Result struct {
	// Call is a copy of the call after the command, without its messages.
	Call *Call
	// Existing is set if Admit found the call, or another with its idempotency key.
	Existing bool
	// Mark is the end of the history; set with HistoryConflict and with Dispatch.
	Mark  HistoryMark
	Error *apierr.Error
}

// Program returns the program that a command about a call names.
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
