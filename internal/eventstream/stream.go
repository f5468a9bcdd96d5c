// Package eventstream owns the life of one answer that is a stream of events (text/event-stream): which bytes of which run
// the caller gets, where another run may go on after one that broke off, and when the answer is complete. It is a state
// machine without clock, goroutine or I/O.
//
// A stream is read from one run of an engine or from several, each of which goes on after the last event of those
// before. The caller gets the first run's head, each event once, in order, and an end only if the last run has ended whole
// and brought something.
//
//	Opened, End ────────────────────────────────> Ended
//	Opened, Bytes that pass ────────────────────> Passing
//	Opened, Break ──────────────────────────────> Opened
//	Passing, End ───────────────────────────────> Ended
//	Passing, Break ─────────────────────────────> Broken
//	Broken, Begin with the head of the rest ────> Resuming
//	Resuming, an event after the caller's last ─> Passing
//	Resuming, Break ────────────────────────────> Broken
//
// A stream that is given up stays Broken. After each error of Begin, Bytes or End, Break is to be called.
//
// Usage:
//
//	stream := eventstream.New(eventstream.Options{Resumable: true})
//	for each run that the engine is asked for, after stream.LastEvent() {
//		err := stream.Begin(head)           // fails if the head is not that of the rest
//		passed, err := stream.Bytes(chunk)  // passed is for the caller, also beside an error
//		passed, err := stream.End()         // the body has ended whole
//		stream.Break()                      // or the run has ended otherwise, or one of these failed
//	}
//	if stream.State() == eventstream.Ended { ... the answer is complete ... }
package eventstream

// State is where a stream is in its life.
type State int

// The states.
const (
	// Pending means that nothing has passed to the caller: the next run's answer may be any.
	Pending State = iota
	// Forwarding means that bytes of the present run have passed.
	Forwarding
	// Interrupted means that a run broke off after bytes had passed.
	Interrupted
	// Resuming means that the rest has begun to come, and none of its events has passed yet.
	Resuming
	// Complete means that the caller has the whole answer.
	Complete
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"opened", "passing", "broken", "resuming", "ended"}[s]
}

const (
	// MediaType is that of event streams.
	MediaType = "text/event-stream"
	// maximalHeldBytes bounds what is held of one run: an event whose end has not come, or a failure's body. It is as much
	// as a gateway holds of any other answer.
	maximalHeldBytes = 16 << 20
)

// Options are what is known of a stream before it begins.
type Options struct {
	// Resumable streams may go on in another run after their last event. Only whole events of them are passed on.
	Resumable bool
	// KeepOutput tells whether Output is wanted.
	KeepOutput bool
	// LastEvent is the ID of the last event that the caller has from an answer before; empty if it has none.
	LastEvent string
	// FromStart tells that runs begin at the stream's start although the caller has a part of it, for Output is to be of all
	// of it. What the caller has does not pass.
	FromStart bool
	// VersionField is the field of an event that tells that the weights change with it; empty if there is none.
	VersionField string
}

// Head is what counts of the head of a run's answer.
type Head struct {
	Status int
	// MediaType is that of the body, in lower case and without parameters.
	MediaType string
	// Version is that of the weights; empty if the engine doesn't tell.
	Version string
}

// succeeds tells whether the answer is a success. Its events count whatever its type says.
func (h Head) succeeds() bool { return h.Status >= 200 && h.Status < 300 }

// Stream is the life of one answer. It is not safe for concurrent use.
type Stream struct {
	options Options
	state   State
	// first is the head that the caller gets, present that of the present run.
	first, present Head
	scanner        scanner
	// held are bytes that have not passed: of an event whose end has not come, or of a failure.
	held []byte
	out  []byte
	// count is how many events have passed, taken how many have come, those that the caller had before included; brought
	// tells that some came in the present run.
	count, taken int
	brought      bool
	// lastID is the ID of the last event that was taken, numbered whether it had one; order is of all IDs, and version that
	// of the weights which made the last event.
	lastID   string
	numbered bool
	order    idOrder
	version  string
	output   []byte
	// skipping tells that the caller has what comes.
	skipping bool
	// mismatched tells that no run of the engine fits what the caller has.
	mismatched bool
}

// New returns a Stream of which the caller has got nothing yet.
func New(options Options) *Stream {
	stream := &Stream{options: options, numbered: true}
	stream.scanner.versionField = options.VersionField
	switch {
	case options.LastEvent == "":
	case options.FromStart:
		stream.skipping = true
	default:
		stream.lastID = options.LastEvent
		stream.order.take(options.LastEvent)
	}
	return stream
}

// State is where the stream is.
func (s *Stream) State() State { return s.state }

// LastEvent is the ID of the event after which another run goes on; empty for the start of the stream.
func (s *Stream) LastEvent() string { return s.lastID }

// EventsForwarded is how many whole events have passed.
func (s *Stream) EventsForwarded() int { return s.count }

// EventsStarted is how many events the caller has got a part of, the whole ones included.
func (s *Stream) EventsStarted() int {
	if !s.options.Resumable && s.present.succeeds() && s.scanner.open() {
		return s.count + 1
	}
	return s.count
}

// Output is the data of each event that was taken, each followed by a line feed. It is empty unless Options.KeepOutput is set.
func (s *Stream) Output() []byte { return s.output }

// CanResume tells whether another run may follow the present one, which has broken off: the caller has got nothing, or it is
// known after which event the other one is to go on.
func (s *Stream) CanResume() bool {
	if s.state == Pending {
		return true
	}
	known := s.numbered && !s.order.overflown && !s.mismatched
	return s.options.Resumable && s.first.succeeds() && known && s.state != Complete
}

// Begin takes the head of a run's answer. Once bytes have passed, one that is not the head of the rest is an ErrNotContinuation or
// an ErrMismatch: a failure of the engine is an answer only to a request that has none.
func (s *Stream) Begin(head Head) error {
	s.scanner.restartBody()
	s.held = s.held[:0]
	s.brought = false
	s.present = head
	switch s.state {
	case Pending:
		s.first = head
		s.version = head.Version
		return nil
	case Interrupted:
		if err := s.isRest(head); err != nil {
			return err
		}
		s.state = Resuming
		return nil
	}
	return &ErrNotContinuation{Reason: "the stream is " + s.state.String(), Status: head.Status}
}

// isRest compares a head with that of the stream that it is to go on with.
func (s *Stream) isRest(head Head) error {
	switch {
	case !s.CanResume():
		return &ErrNotContinuation{Reason: "the stream can't be resumed", Status: head.Status}
	case head.Status != s.first.Status:
		return &ErrNotContinuation{Reason: "its status is another", Status: head.Status}
	case head.MediaType != s.first.MediaType:
		return &ErrNotContinuation{Reason: "its type is " + head.MediaType, Status: head.Status}
	case head.Version != s.version && head.Version != "" && s.version != "":
		s.mismatched = true
		return &ErrMismatch{Reason: "the engine's weights are of version " + head.Version + " now"}
	}
	return nil
}

// Feed takes a part of the present run's body and returns what the caller is to get now, also beside an error; it is valid
// until the next call. An ErrCorrupt means that the run can't be trusted from there on, an ErrMismatch that it does not fit
// what the caller had before.
func (s *Stream) Feed(chunk []byte) ([]byte, error) {
	switch {
	case !s.present.succeeds() && s.options.Resumable:
		return nil, s.hold(chunk)
	case !s.present.succeeds():
		s.state = Forwarding
		return chunk, nil
	case !s.options.Resumable:
		return s.passThrough(chunk)
	}
	return s.passEvents(chunk)
}

// hold keeps bytes back.
func (s *Stream) hold(chunk []byte) error {
	if len(s.held)+len(chunk) > maximalHeldBytes {
		return &ErrCorrupt{Reason: "an event or a failure is larger than is held"}
	}
	s.held = append(s.held, chunk...)
	return nil
}

// passThrough passes bytes as they come; events are only counted.
func (s *Stream) passThrough(chunk []byte) ([]byte, error) {
	s.state = Forwarding
	for rest := chunk; len(rest) > 0; {
		taken, ended := s.scanner.next(rest)
		rest = rest[taken:]
		if ended {
			s.take(s.scanner.event)
			s.scanner.restart()
		}
	}
	if s.scanner.size > maximalHeldBytes {
		return chunk, &ErrCorrupt{Reason: "an event is larger than is remembered"}
	}
	return chunk, nil
}

// passEvents passes whole events, each checked against those before.
func (s *Stream) passEvents(chunk []byte) ([]byte, error) {
	s.out = s.out[:0]
	for len(chunk) > 0 {
		taken, ended := s.scanner.next(chunk)
		if err := s.hold(chunk[:taken]); err != nil {
			return s.out, err
		}
		chunk = chunk[taken:]
		if !ended {
			break
		}
		if err := s.passEvent(); err != nil {
			return s.out, err
		}
	}
	return s.out, nil
}

// passEvent takes the event whose end has come, and what was held of it passes.
func (s *Stream) passEvent() error {
	next := s.scanner.event
	if err := s.follows(next); err != nil {
		return err
	}
	s.scanner.restart()
	skipped := s.skipping
	s.take(next)
	switch {
	case skipped:
	case next.hasData, s.state != Resuming:
		// What has no data, such as a comment, keeps a caller that waits from giving up: it passes at once. Only in a run
		// that is to bring the rest it waits for an event, until which the run may not be the rest.
		s.state = Forwarding
		s.out = append(s.out, s.held...)
	default:
		return nil
	}
	s.held = s.held[:0]
	return nil
}

// follows checks an event of a resumable stream against those that the caller has.
func (s *Stream) follows(next event) error {
	reason := ""
	switch {
	case !next.hasData:
	case next.id == "" && s.unproved():
		reason = "the first event after " + s.lastID + " has no ID"
	case next.id != "" && !s.order.allows(next.id):
		reason = "event " + next.id + " comes after " + s.lastID
	}
	switch {
	case reason == "":
		return nil
	case s.count == 0 && s.lastID != "":
		return &ErrMismatch{Reason: reason + ", which the caller named"}
	}
	return &ErrCorrupt{Reason: reason}
}

// unproved tells whether nothing has shown yet that the present run goes on after what the caller has.
func (s *Stream) unproved() bool {
	return s.state == Resuming || (s.count == 0 && s.options.LastEvent != "")
}

// take counts an event that passes, unless the caller has it. What has no data is none.
func (s *Stream) take(passed event) {
	if !passed.hasData {
		return
	}
	s.taken++
	s.brought = true
	s.numbered = passed.id != ""
	if s.numbered {
		s.lastID = passed.id
		s.order.take(passed.id)
	}
	if passed.version != "" {
		s.version = passed.version
	}
	if s.options.KeepOutput {
		s.output = append(s.output, passed.data...)
		s.output = append(s.output, '\n')
	}
	if s.skipping {
		s.skipping = passed.id != s.options.LastEvent
		return
	}
	s.count++
}

// End takes the end of the present run's body, which is whole by its framing, and returns what the caller is to get before
// the end of its answer, also beside an error. An error means that this is not the end of the stream.
func (s *Stream) End() ([]byte, error) {
	s.out = s.out[:0]
	if !s.present.succeeds() {
		s.state = Complete
		return s.held, nil
	}
	if err := s.finishEvent(); err != nil {
		return s.out, err
	}
	switch {
	case s.scanner.open() && (s.present.MediaType == MediaType || s.count > 0):
		return s.out, &ErrCorrupt{Reason: "the answer ends within an event"}
	case s.state == Resuming || s.state == Interrupted || (!s.brought && s.goesOn()):
		// An engine that fails may end an answer before its first event. Taken for the rest, it would end the stream.
		return s.out, &ErrNotContinuation{Reason: "it brought no event", Status: s.present.Status}
	case s.skipping:
		return s.out, &ErrMismatch{Reason: "event " + s.options.LastEvent + ", which the caller named, did not come"}
	}
	s.state = Complete
	return append(s.out, s.held...), nil
}

// goesOn tells whether the present run is to go on with a stream of which the caller has a part.
func (s *Stream) goesOn() bool {
	return s.taken > 0 || (s.options.LastEvent != "" && s.present.MediaType == MediaType)
}

// finishEvent takes an event that ended with the last byte of the body.
func (s *Stream) finishEvent() error {
	if !s.scanner.finish() {
		return nil
	}
	if s.options.Resumable {
		return s.passEvent()
	}
	s.take(s.scanner.event)
	s.scanner.restart()
	return nil
}

// Interrupt notes that the present run has ended early, or that what it sent was not the rest.
func (s *Stream) Interrupt() {
	s.held = s.held[:0]
	if s.options.Resumable {
		s.scanner.restartBody()
	}
	if s.state == Forwarding || s.state == Resuming {
		s.state = Interrupted
	}
}
