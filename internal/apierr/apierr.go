// Package apierr defines the typed failure that crosses process boundaries: between nodes, and
// from a node to its callers and operators.
package apierr

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome tells a caller what is known about the execution of its request.
type Outcome string

const (
	// NotRun means that the request was not executed and never will be.
	NotRun Outcome = "not_run"
	// Ran means that the request was executed to an end, successful or not.
	Ran Outcome = "ran"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Code is the stable, documented name of a failure. docs/API.md lists them.
type Code string

// The failure codes.
const (
	InvalidRequest       Code = "invalid_request"
	Unauthenticated      Code = "unauthenticated"
	Forbidden            Code = "forbidden"
	NotFound             Code = "not_found"
	UnknownModel         Code = "unknown_model"
	BodyTooLarge         Code = "body_too_large"
	BudgetExceeded       Code = "budget_exceeded"
	SequenceGap          Code = "sequence_gap"
	SequencePassed       Code = "sequence_passed"
	HistoryConflict      Code = "history_conflict"
	IdempotencyConflict  Code = "idempotency_conflict"
	ProgramEnded         Code = "program_ended"
	LimitExceeded        Code = "limit_exceeded"
	Overloaded           Code = "overloaded"
	NoEngine             Code = "no_engine"
	EngineFailed         Code = "engine_failed"
	ExecutionUnknown     Code = "execution_unknown"
	PartitionUnavailable Code = "partition_unavailable"
	NotLeader            Code = "not_leader"
	RevisionConflict     Code = "revision_conflict"
	StoreUnavailable     Code = "store_unavailable"
	PolicyFailed         Code = "policy_failed"
	Cancelled            Code = "cancelled"
	PeerUnreachable      Code = "peer_unreachable"
	RelayFailed          Code = "relay_failed"
	DeadlineExceeded     Code = "deadline_exceeded"
	NoSuchTurn           Code = "no_such_turn"
	HeaderTooLarge       Code = "header_too_large"
	TurnsUnavailable     Code = "turns_unavailable"
	Internal             Code = "internal"
)

var statusByCode = map[Code]int{
	InvalidRequest:       http.StatusBadRequest,
	Unauthenticated:      http.StatusUnauthorized,
	Forbidden:            http.StatusForbidden,
	NotFound:             http.StatusNotFound,
	UnknownModel:         http.StatusNotFound,
	BodyTooLarge:         http.StatusRequestEntityTooLarge,
	BudgetExceeded:       http.StatusPaymentRequired,
	SequenceGap:          http.StatusConflict,
	SequencePassed:       http.StatusConflict,
	HistoryConflict:      http.StatusConflict,
	IdempotencyConflict:  http.StatusUnprocessableEntity,
	ProgramEnded:         http.StatusGone,
	LimitExceeded:        http.StatusTooManyRequests,
	Overloaded:           http.StatusServiceUnavailable,
	NoEngine:             http.StatusServiceUnavailable,
	EngineFailed:         http.StatusBadGateway,
	ExecutionUnknown:     http.StatusBadGateway,
	PartitionUnavailable: http.StatusServiceUnavailable,
	NotLeader:            http.StatusServiceUnavailable,
	RevisionConflict:     http.StatusConflict,
	StoreUnavailable:     http.StatusServiceUnavailable,
	PolicyFailed:         http.StatusUnprocessableEntity,
	Cancelled:            statusClientClosedRequest,
	PeerUnreachable:      http.StatusServiceUnavailable,
	RelayFailed:          http.StatusServiceUnavailable,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	NoSuchTurn:           http.StatusNotFound,
	HeaderTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	TurnsUnavailable:     http.StatusServiceUnavailable,
	Internal:             http.StatusInternalServerError,
}

// statusClientClosedRequest is the customary status for a request that its caller gave up.
const statusClientClosedRequest = 499

// Error is a failure with a stable code, and with what is known about the request's execution.
type Error struct {
	Code       Code    `json:"code"`
	Outcome    Outcome `json:"outcome"`
	Message    string  `json:"message"`
	Field      string  `json:"field,omitempty"`
	RetryAfter int64   `json:"retry_after_ms,omitempty"`
	// Leader is the node to ask instead; set with NotLeader only.
	Leader string `json:"leader,omitempty"`
}

// New returns an Error with a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait.Milliseconds()
	return &copied
}

// WithField returns a copy that names the input field at fault.
func (e *Error) WithField(field string) *Error {
	copied := *e
	copied.Field = field
	return &copied
}

// HTTPStatus is the status line that goes with the code.
func (e *Error) HTTPStatus() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From finds the Error in err's chain. Another failure becomes Internal with the given outcome;
// nil stays nil.
func From(err error, outcome Outcome) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(Internal, outcome, "%s", err.Error())
}

// Is reports whether err carries the given code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}
