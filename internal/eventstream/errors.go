package eventstream

import "fmt"

// ErrNotContinuation means that an answer is not the rest of the stream that was to go on with it.
type ErrNotContinuation struct {
	Reason string
	// Status is that of the answer's head.
	Status int
}

// Error implements error.
func (e *ErrNotContinuation) Error() string {
	return fmt.Sprintf("an answer of status %d is not the rest of the stream: %s", e.Status, e.Reason)
}

// ErrCorrupt means that a run's body can't be trusted from some byte on.
type ErrCorrupt struct{ Reason string }

// Error implements error.
func (e *ErrCorrupt) Error() string { return "the stream is damaged: " + e.Reason }

// ErrMismatch means that what an engine has does not fit what the caller has, for which the engine is not to blame: its
// weights have changed, or the caller named an event that is not of this stream.
type ErrMismatch struct{ Reason string }

// Error implements error.
func (e *ErrMismatch) Error() string {
	return "the answer does not fit what the caller has: " + e.Reason
}
