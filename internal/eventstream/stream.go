// Package eventstream tracks one response that is a stream of server-sent events (text/event-stream). It decides
// which bytes of which attempt are forwarded to the caller, after which event another attempt may continue an interrupted
// stream, and when the response is complete. It is a state machine without clock, goroutines or I/O.
//
// A stream is read from one or more attempts at engines, each continuing after the last event of the previous ones. The
// caller gets the first attempt's head, each event once and in order, and an end only if the last attempt ended completely
// and contained an event. If a continuation is complete without any, either the end alone was lost or the engine has failed: the next attempt
// continues an event earlier, and confirms the end if it consists of the last event.
//
//	Pending, End ───────────────────────────────────> Complete
//	Pending, Feed that returns bytes ───────────────> Forwarding
//	Pending, Interrupt ─────────────────────────────> Pending
//	Forwarding, End ────────────────────────────────> Complete
//	Forwarding, Interrupt ──────────────────────────> Interrupted
//	Interrupted, Begin with a matching head ────────> Resuming
//	Resuming, an event after the caller's last one ─> Forwarding
//	Resuming, the caller's last event and End ──────> Complete
//	Resuming, Interrupt ────────────────────────────> Interrupted
//
// A stream that is given up stays Interrupted. Call Interrupt after each error of Begin, Feed or End.
//
// Usage:
//
//	stream := eventstream.New(eventstream.Options{Resumable: true})
//	for each attempt, which the engine is asked to continue after stream.LastEvent() {
//		err := stream.Begin(head)            // fails if the head does not continue the stream
//		output, err := stream.Feed(chunk)    // output is for the caller, also together with an error
//		output, err := stream.End()          // after the complete body
//		stream.Interrupt()                   // if the attempt ended early, or one of these failed
//	}
//	if stream.State() == eventstream.Complete { ... the caller has the whole response ... }
package eventstream

import "github.com/mountstile/mountstile/internal/membudget"

// State is the state of a Stream.
type State int

// The states of a Stream.
const (
	// Pending means that nothing was forwarded to the caller; any response may come next.
	Pending State = iota
	// Forwarding means that bytes of the current attempt were forwarded.
	Forwarding
	// Interrupted means that an attempt ended early after bytes had been forwarded.
	Interrupted
	// Resuming means that a continuation has begun and none of its events was forwarded yet.
	Resuming
	// Complete means that the caller has the whole response.
	Complete
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"pending", "forwarding", "interrupted", "resuming", "complete"}[s]
}

const (
	// MediaType is the media type of event streams.
	MediaType = "text/event-stream"
	// maxBufferedBytes bounds what is buffered of one attempt: an incomplete event or an error body.
	maxBufferedBytes = 16 << 20
	// maxIdleBytes bounds the bytes between two events of a resumable stream.
	maxIdleBytes = 256 << 10
	// progressBytes is how much of an event that is not complete counts as progress.
	progressBytes = 64 << 10
	// An event is held up to four times: its current line, its data, its bytes and what is forwarded. eventCopies allows for the
	// growth of these buffers.
	eventCopies = 6
	// outputCopies allows for the growth of the collected output.
	outputCopies = 2
	// reserveBytes is what a stream may hold without a reservation, reserveStepBytes the unit of reservations.
	reserveBytes     = 64 << 10
	reserveStepBytes = 16 << 10
)

// Options configures a Stream.
type Options struct {
	// Resumable allows another attempt to continue after the last forwarded event. Such streams are
	// forwarded in whole events.
	Resumable bool
	// KeepOutput collects the data of all events for Output.
	KeepOutput bool
	// LastEvent is the ID of the last event that the caller has from an earlier response; empty if
	// it has none.
	LastEvent string
	// FromStart means that attempts begin at the start of the stream although the caller has a part
	// of it, so that Output is complete. Events that the caller has are not forwarded.
	FromStart bool
	// VersionField is the event field that announces a new version of the weights; empty if there
	// is none.
	VersionField string
	// Memory is grown for what is buffered; nil for no bound.
	Memory *membudget.Reservation
}

// Head holds the relevant parts of the head of an attempt's response.
type Head struct {
	Status int
	// MediaType is the body's media type, in lower case and without parameters.
	MediaType string
	// Version is the version of the weights; empty if the engine doesn't send it.
	Version string
}

// isSuccess reports whether the status is 2xx. The body is then read as events whatever its media
// type is.
func (h Head) isSuccess() bool { return h.Status >= 200 && h.Status < 300 }

// Stream tracks one response to a caller. It is not safe for concurrent use.
type Stream struct {
	options Options
	state   State
	// firstHead is the head that the caller gets, currentHead that of the current attempt.
	firstHead, currentHead Head
	scanner                scanner
	// buffered holds bytes that were not forwarded: an incomplete event or an error body.
	buffered []byte
	// result holds the bytes that the last Feed or End returned.
	result []byte
	// forwardedCount is the number of events that were forwarded; receivedCount includes those that the
	// caller had before. attemptHasEvents is set once the current attempt contained an event.
	forwardedCount, receivedCount int
	attemptHasEvents              bool
	// lastID is the ID of the last recorded event that had one; lastHasID is set if the last event
	// had one. ids tracks all IDs. version is the version of the weights that generated the last
	// event.
	lastID    string
	lastHasID bool
	// previousID is the ID of the event before the last one, or the position where the first attempt began; hasPrevious is set if it is known.
	previousID  string
	hasPrevious bool
	// confirming is set while attempts are to repeat the last event and end, repeated once the current one has repeated it.
	confirming bool
	repeated   bool
	ids        idOrder
	version    string
	output     []byte
	// reserved is what was taken from options.Memory, in bytes.
	reserved int
	// skipping is set while the received events are ones that the caller already has.
	skipping bool
	// incompatible is set once no attempt can continue what the caller has.
	incompatible bool
}

// New returns a Stream in the state Pending.
func New(options Options) *Stream {
	stream := &Stream{options: options, lastHasID: true}
	stream.scanner.versionField = options.VersionField
	switch {
	case options.LastEvent == "":
	case options.FromStart:
		stream.skipping = true
	default:
		stream.lastID = options.LastEvent
		stream.ids.record(options.LastEvent)
	}
	return stream
}

// State returns the state of the stream.
func (s *Stream) State() State { return s.state }

// LastEvent returns the ID of the event after which the next attempt has to continue; empty for the
// start of the stream.
func (s *Stream) LastEvent() string {
	if s.confirming {
		return s.previousID
	}
	return s.lastID
}

// EventsForwarded returns the number of whole events that were forwarded.
func (s *Stream) EventsForwarded() int { return s.forwardedCount }

// EventsReceived returns the number of whole events that were received, including those that the caller had before.
func (s *Stream) EventsReceived() int { return s.receivedCount }

// EventsStarted returns the number of events that were forwarded at least in part.
func (s *Stream) EventsStarted() int {
	if !s.options.Resumable && s.currentHead.isSuccess() && s.scanner.inEvent() {
		return s.forwardedCount + 1
	}
	return s.forwardedCount
}

// Output returns the data of all recorded events, each followed by a line feed. It is empty unless
// Options.KeepOutput is set.
func (s *Stream) Output() []byte { return s.output }

// CanResume reports whether another attempt may follow the interrupted one: nothing was forwarded,
// or the event after which to continue is known.
func (s *Stream) CanResume() bool {
	if s.state == Pending {
		return true
	}
	positionKnown := s.lastHasID && !s.ids.overflowed && !s.incompatible
	return s.options.Resumable && s.firstHead.isSuccess() && positionKnown && s.state != Complete
}

// Begin starts an attempt with the head of its response. Once bytes were forwarded, it returns an
// ErrNotContinuation or an ErrMismatch unless the head continues the stream: an engine's error
// response may only be the first response of a request.
func (s *Stream) Begin(head Head) error {
	s.scanner.resetBody()
	s.buffered = s.buffered[:0]
	s.attemptHasEvents, s.repeated = false, false
	s.currentHead = head
	switch s.state {
	case Pending:
		s.firstHead = head
		s.version = head.Version
		return nil
	case Interrupted:
		if err := s.checkContinuation(head); err != nil {
			return err
		}
		s.state = Resuming
		return nil
	}
	return &ErrNotContinuation{Reason: "the stream is " + s.state.String(), Status: head.Status}
}

// checkContinuation compares a head with that of the stream that it is to continue.
func (s *Stream) checkContinuation(head Head) error {
	switch {
	case !s.CanResume():
		return &ErrNotContinuation{Reason: "the stream can't be resumed", Status: head.Status}
	case head.Status != s.firstHead.Status:
		return &ErrNotContinuation{Reason: "its status differs", Status: head.Status}
	case head.MediaType != s.firstHead.MediaType:
		return &ErrNotContinuation{Reason: "its media type is " + head.MediaType, Status: head.Status}
	case head.Version != s.version && head.Version != "" && s.version != "":
		s.incompatible = true
		return &ErrMismatch{Reason: "the engine now has version " + head.Version + " of its weights"}
	}
	return nil
}

// Feed takes a part of the current attempt's body and returns the bytes to forward now, also
// together with an error; they are valid until the next call. After an ErrCorrupt the rest of the
// attempt can't be used; an ErrMismatch means that it is incompatible with the events that the
// caller has, a membudget.ErrExhausted that there is no memory for the chunk.
func (s *Stream) Feed(chunk []byte) ([]byte, error) {
	if s.scanner.size+len(s.buffered)+len(s.output)+len(chunk) > reserveBytes/eventCopies {
		if err := s.reserve(len(chunk)); err != nil {
			return nil, err
		}
	}
	switch {
	case !s.currentHead.isSuccess() && s.options.Resumable:
		return nil, s.buffer(chunk)
	case !s.currentHead.isSuccess():
		s.state = Forwarding
		return chunk, nil
	case !s.options.Resumable:
		return s.passThrough(chunk)
	}
	return s.forwardEvents(chunk)
}

// reserve takes the memory for a chunk.
func (s *Stream) reserve(chunkBytes int) error {
	needed := eventCopies*(max(s.scanner.size, len(s.buffered))+chunkBytes) + outputCopies*len(s.output)
	if needed <= max(s.reserved, reserveBytes) {
		return nil
	}
	return s.growReservation(needed + reserveStepBytes)
}

func (s *Stream) growReservation(needed int) error {
	if err := s.options.Memory.Grow(int64(needed - s.reserved)); err != nil {
		return err
	}
	s.reserved = needed
	return nil
}

// ReleaseForwarded frees the memory of large events that were forwarded. The bytes that Feed returned are not valid any more.
func (s *Stream) ReleaseForwarded() {
	if s.scanner.size == 0 && len(s.buffered) == 0 {
		s.releaseBuffers()
	}
}

// releaseBuffers frees the buffers of an attempt that had large ones.
func (s *Stream) releaseBuffers() {
	kept := min(s.reserved, outputCopies*len(s.output))
	if s.reserved == kept {
		return
	}
	s.buffered, s.result, s.scanner.line, s.scanner.event.data = nil, nil, nil, nil
	s.options.Memory.Shrink(int64(s.reserved - kept))
	s.reserved = kept
}

// Progress changes when an event or a further part of progressBytes of one was received. Comments and retry fields don't count.
func (s *Stream) Progress() int { return s.receivedCount + s.PartialBytes()/progressBytes }

// PartialBytes returns the received bytes of an event that is not complete, without comments and retry fields.
func (s *Stream) PartialBytes() int {
	if !s.currentHead.isSuccess() {
		return len(s.buffered)
	}
	return max(s.scanner.size-s.scanner.idle(), 0)
}

// buffer appends bytes that can't be forwarded yet.
func (s *Stream) buffer(chunk []byte) error {
	if len(s.buffered)+len(chunk) > maxBufferedBytes {
		return &ErrCorrupt{Reason: "an event or an error body exceeds the buffer limit"}
	}
	s.buffered = appendLarge(s.buffered, chunk)
	return nil
}

// passThrough forwards bytes unchanged and only counts events.
func (s *Stream) passThrough(chunk []byte) ([]byte, error) {
	s.state = Forwarding
	for rest := chunk; len(rest) > 0; {
		consumed, complete := s.scanner.next(rest)
		rest = rest[consumed:]
		if complete {
			s.record(s.scanner.event)
			s.scanner.resetEvent()
		}
	}
	if s.scanner.size > maxBufferedBytes {
		return chunk, &ErrCorrupt{Reason: "an event exceeds the size limit"}
	}
	return chunk, nil
}

// forwardEvents forwards whole events after checking each against the earlier ones.
func (s *Stream) forwardEvents(chunk []byte) ([]byte, error) {
	s.result = s.result[:0]
	for len(chunk) > 0 {
		consumed, complete := s.scanner.next(chunk)
		if err := s.buffer(chunk[:consumed]); err != nil {
			return s.result, err
		}
		chunk = chunk[consumed:]
		if !complete {
			break
		}
		if err := s.forwardEvent(); err != nil {
			return s.result, err
		}
	}
	if s.scanner.idle() > maxIdleBytes {
		return s.result, &ErrCorrupt{Reason: "too many bytes without an event"}
	}
	return s.result, nil
}

// forwardEvent checks and records the complete event and forwards its buffered bytes.
func (s *Stream) forwardEvent() error {
	next := s.scanner.event
	if s.confirming && next.hasData {
		return s.confirmLast(next)
	}
	if err := s.checkOrder(next); err != nil {
		return err
	}
	s.scanner.resetEvent()
	alreadySent := s.skipping
	s.record(next)
	switch {
	case alreadySent:
	case next.hasData, s.state != Resuming:
		// Blocks without data, such as comments, keep a waiting caller's connection alive, so they
		// are forwarded at once. A continuation is not confirmed before its first event; until then
		// they stay buffered.
		s.state = Forwarding
		s.result = appendLarge(s.result, s.buffered)
	default:
		return nil
	}
	s.buffered = s.buffered[:0]
	return nil
}

// confirmLast takes an event of an attempt that is to repeat the last event and end. Any other event shows that the stream goes on.
func (s *Stream) confirmLast(next event) error {
	if s.repeated || next.id != s.lastID {
		s.confirming = false
		return &ErrCorrupt{Reason: "event " + next.id + " comes where event " + s.lastID + " and the end were expected"}
	}
	s.scanner.resetEvent()
	s.buffered = s.buffered[:0]
	s.repeated = true
	return nil
}

// checkOrder checks an event of a resumable stream against those that the caller has.
func (s *Stream) checkOrder(next event) error {
	reason := ""
	switch {
	case !next.hasData:
	case next.id == "" && s.unconfirmed():
		reason = "the first event after event " + s.lastID + " has no ID"
	case next.id != "" && !s.ids.mayFollow(next.id):
		reason = "event " + next.id + " follows event " + s.lastID
	}
	switch {
	case reason == "":
		return nil
	case s.forwardedCount == 0 && s.lastID != "":
		return &ErrMismatch{Reason: reason + ", the last event of the caller"}
	}
	return &ErrCorrupt{Reason: reason}
}

// unconfirmed reports whether no event has shown yet that the current attempt continues after what
// the caller has.
func (s *Stream) unconfirmed() bool {
	return s.state == Resuming || (s.forwardedCount == 0 && s.options.LastEvent != "")
}

// record counts an event and adds it to the output. Blocks without data are ignored.
func (s *Stream) record(e event) {
	if !e.hasData {
		return
	}
	s.receivedCount++
	s.attemptHasEvents = true
	s.previousID, s.hasPrevious = s.lastID, s.lastHasID
	s.lastHasID = e.id != ""
	if s.lastHasID {
		s.lastID = e.id
		s.ids.record(e.id)
	}
	if e.version != "" {
		s.version = e.version
	}
	if s.options.KeepOutput {
		s.output = append(s.output, e.data...)
		s.output = append(s.output, '\n')
	}
	if s.skipping {
		s.skipping = e.id != s.options.LastEvent
		return
	}
	s.forwardedCount++
}

// End takes the end of the current attempt's body, which is complete by its HTTP framing, and
// returns the bytes to forward before the end of the response, also together with an error. An
// error means that the stream is not complete.
func (s *Stream) End() ([]byte, error) {
	s.result = s.result[:0]
	if !s.currentHead.isSuccess() {
		s.state = Complete
		return s.buffered, nil
	}
	if err := s.finishEvent(); err != nil {
		return s.result, err
	}
	switch {
	case s.scanner.inEvent() && (s.currentHead.MediaType == MediaType || s.forwardedCount > 0):
		return s.result, &ErrCorrupt{Reason: "the response ends within an event"}
	case s.state == Resuming && s.repeated:
	case s.state == Resuming || s.state == Interrupted || (!s.attemptHasEvents && s.continuesStream()):
		// A failing engine may end its response before the first event. Taken for a continuation,
		// this would end the stream early.
		s.confirming = s.state == Resuming && s.hasPrevious && s.lastHasID && !s.options.FromStart
		return s.result, &ErrNotContinuation{Reason: "it contains no event", Status: s.currentHead.Status}
	case s.skipping:
		return s.result, &ErrMismatch{Reason: "the stream lacks event " + s.options.LastEvent + ", the last event of the caller"}
	}
	s.state = Complete
	return append(s.result, s.buffered...), nil
}

// continuesStream reports whether the current attempt has to continue a stream of which the caller
// has a part.
func (s *Stream) continuesStream() bool {
	return s.receivedCount > 0 || (s.options.LastEvent != "" && s.currentHead.MediaType == MediaType)
}

// finishEvent handles an event that ended with the last byte of the body.
func (s *Stream) finishEvent() error {
	if !s.scanner.finishBody() {
		return nil
	}
	if s.options.Resumable {
		return s.forwardEvent()
	}
	s.record(s.scanner.event)
	s.scanner.resetEvent()
	return nil
}

// Interrupt ends the current attempt early, or after it failed to continue the stream.
func (s *Stream) Interrupt() {
	s.buffered = s.buffered[:0]
	if s.options.Resumable {
		s.scanner.resetBody()
		s.releaseBuffers()
	}
	if s.state == Forwarding || s.state == Resuming {
		s.state = Interrupted
	}
}
