// Package apierr defines the error type of the APIs between nodes, and between a node and its callers and operators.
package apierr

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the execution of a request that failed.
type Outcome string

const (
	// NotRun means that the request was not executed and never will be.
	NotRun Outcome = "not_run"
	// Ran means that the execution of the request has ended, with success or not.
	Ran Outcome = "ran"
	// OutcomeUnknown means that the request may have been executed, or may still be.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Code is the stable name of a kind of error. docs/API.md documents all codes.
type Code string

// The error codes; statusByCode maps them to HTTP statuses.
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
	OriginUnknown        Code = "origin_unknown"
	EndsEngines          Code = "ends_engines"
	Stopping             Code = "stopping"
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
	OriginUnknown:        http.StatusServiceUnavailable,
	EndsEngines:          http.StatusBadGateway,
	Stopping:             http.StatusServiceUnavailable,
	Internal:             http.StatusInternalServerError,
}

// statusClientClosedRequest is the status that proxies customarily log for a request whose client closed the connection.
const statusClientClosedRequest = 499

// Error is an error with a stable code and the outcome of the request.
type Error struct {
	Code       Code    `json:"code"`
	Outcome    Outcome `json:"outcome"`
	Message    string  `json:"message"`
	Field      string  `json:"field,omitempty"`
	RetryAfter int64   `json:"retry_after_ms,omitempty"`
	// Leader is the node to send the request to instead; set only with NotLeader.
	Leader string `json:"leader,omitempty"`
}

// New returns an Error with a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait.Milliseconds()
	return &copied
}

// WithField returns a copy with the name of the invalid input field.
func (e *Error) WithField(field string) *Error {
	copied := *e
	copied.Field = field
	return &copied
}

// HTTPStatus returns the HTTP status for the code; 500 for an unknown one.
func (e *Error) HTTPStatus() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From returns the Error in err's chain; if there is none, an Internal error with the given outcome and err's message. It returns
// nil for nil.
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

// Is reports whether err's chain contains an Error with the given code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}
