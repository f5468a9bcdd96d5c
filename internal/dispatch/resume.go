package dispatch

import "context"

// Resumable is a stream that another attempt can continue after an interruption.
type Resumable interface {
	// LastEvent returns the ID of the last event that the caller received; empty if there is none.
	LastEvent() string
	// Events returns how many complete events the caller received.
	Events() int
	// Begun reports whether any event was received, so that only engines of the same software version can continue the
	// stream.
	Begun() bool
	// Placed is called before each attempt with the software version of its engine.
	Placed(ctx context.Context, software string)
	// Resumed receives the result of an attempt to continue the stream.
	Resumed(resumption Resumption)
}

// Resumption is the result of an attempt to continue a stream.
type Resumption struct {
	// Engine is the engine's ID, Software the version of its software.
	Engine   string
	Software string
	// LastEvent is the event ID to continue after; empty for the start of the stream.
	LastEvent string
	// Status is the response's status code; 0 without a response.
	Status int
	// Events counts the complete events of this attempt.
	Events int
	// Outcome is the attempt's outcome, such as "succeeded" or "unknown".
	Outcome string
	// Cause is why the attempt did not complete the stream; nil if it did.
	Cause error
	// eventsBefore is how many events the caller had received when the attempt began.
	eventsBefore int
	// notify is set if report must pass the result to the stream.
	notify bool
}

// newResumption returns the Resumption of an attempt that begins. ranBefore is set if an earlier attempt may have run
// the call; if not, the attempt starts the stream and its result is not reported.
func newResumption(call *Call, engine *Engine, ranBefore bool) *Resumption {
	resumption := &Resumption{Engine: engine.ID(), Software: call.Trace.Software}
	if call.Stream != nil {
		resumption.LastEvent = call.Stream.LastEvent()
		resumption.eventsBefore = call.Stream.Events()
		resumption.notify = ranBefore
	}
	return resumption
}

// report passes the result of the attempt to the stream.
func (r *Resumption) report(call *Call, outcome attemptOutcome, cause error) {
	if !r.notify {
		return
	}
	r.Events = call.Stream.Events() - r.eventsBefore
	r.Outcome = outcome.String()
	r.Cause = cause
	call.Stream.Resumed(*r)
}
