package eventstream

import "fmt"

// ErrNotContinuation means that a response does not continue the interrupted stream.
type ErrNotContinuation struct {
	Reason string
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *ErrNotContinuation) Error() string {
	return fmt.Sprintf("a response with status %d does not continue the stream: %s", e.Status, e.Reason)
}

// ErrCorrupt means that the body of an attempt is invalid from some byte on.
type ErrCorrupt struct{ Reason string }

// Error implements error.
func (e *ErrCorrupt) Error() string { return "the stream is corrupt: " + e.Reason }

// ErrMismatch means that the engine's stream is incompatible with the events the caller already
// has. This is not an engine failure: its weights have changed, or the caller named an event that
// is not part of the stream.
type ErrMismatch struct{ Reason string }

// Error implements error.
func (e *ErrMismatch) Error() string {
	return "the response does not match the events that the caller has: " + e.Reason
}
