package dispatch

// Resumable is a stream that may go on in another run.
type Resumable interface {
	// LastEvent is the ID of the last event that the caller has; empty if it has none.
	LastEvent() string
	// Events is how many whole events the caller has.
	Events() int
	// Resumed learns how a run ended that was to go on after what the caller has.
	Resumed(resumption Resumption)
}

// Resumption is one run that was to go on with a stream.
type Resumption struct {
	Engine string
	// LastEvent is where it was to go on; empty for the start of the stream.
	LastEvent string
	// Status is that of the answer's head; 0 if none came.
	Status int
	// Events is how many whole events it brought.
	Events int
	// Outcome is what is known of the run, in a word.
	Outcome string
	// Cause is why the run did not bring the rest of the stream; nil if it did.
	Cause error
	// before is how many events the caller had when the run began.
	before int
	// told tells that it is a resumption, of which the stream learns.
	told bool
}

// newResumption begins a run of a call at an engine. The first run of a stream is none, and is told to nobody.
func newResumption(call *Call, engine *Engine, ranBefore bool) *Resumption {
	run := &Resumption{Engine: engine.ID()}
	if call.Stream != nil {
		run.LastEvent = call.Stream.LastEvent()
		run.before = call.Stream.Events()
		run.told = ranBefore
	}
	return run
}

// end tells the stream how the run ended.
func (r *Resumption) end(call *Call, outcome attemptOutcome, cause error) {
	if !r.told {
		return
	}
	r.Events = call.Stream.Events() - r.before
	r.Outcome = outcome.String()
	r.Cause = cause
	call.Stream.Resumed(*r)
}
