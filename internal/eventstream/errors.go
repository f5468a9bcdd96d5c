package eventstream

import "fmt"

// ErrNotTheRest means that an answer is not the rest of the stream that was to go on with it.
type ErrNotTheRest struct {
	Reason string
	// Status is that of the answer's head.
	Status int
}

// Error implements error.
func (e *ErrNotTheRest) Error() string {
	return fmt.Sprintf("an answer of status %d is not the rest of the stream: %s", e.Status, e.Reason)
}

// ErrDamaged means that a run's body can't be trusted from some byte on.
type ErrDamaged struct{ Reason string }

// Error implements error.
func (e *ErrDamaged) Error() string { return "the stream is damaged: " + e.Reason }
