package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/eventstream"
)

const (
	// relayBufferBytes is read from an engine at once.
	relayBufferBytes = 8 << 10
	// eventGapStep names the pause between events in what is observed of engines.
	eventGapStep = "event gap"
	// keepGrace is how long a turn's record is offered beyond the caller's deadline.
	keepGrace = 100 * time.Millisecond
)

// stream is an answer of events that passes through.
type stream struct {
	request *request
	attempt *dispatch.Attempt
	// life decides what passes, and when the answer is complete.
	life    *eventstream.Stream
	flusher *http.ResponseController
	lastAt  time.Time
	// runs is how many engines' answers were read.
	runs int
}

// relayStream passes events on as they come. The end of the answer goes out only once the turn is
// kept.
func (r *request) relayStream(ctx context.Context, call *dispatch.Call) error {
	_, versionField := r.server.options.Vocabulary.WeightsVersion()
	// Of a kept turn that its caller takes up again, the engine is asked for all: kept as the turn, the rest alone would be
	// given to engines as the whole answer.
	call.FromStart = r.route.Repeatable() && r.route.StoreTurns() && r.caller.LastEvent != ""
	passed := &stream{request: r, life: eventstream.New(eventstream.Options{
		Resumable: r.route.Repeatable(), Keep: r.route.StoreTurns(), LastEvent: r.caller.LastEvent, FromStart: call.FromStart,
		VersionField: versionField,
	})}
	if r.route.Repeatable() {
		call.Stream = passed
	}
	err := r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		passed.attempt = attempt
		return passed.relay()
	})
	// A turn is kept only if its stream has ended: the status alone is that of the first run, of which the rest may be missing.
	whole := err == nil && passed.life.State() == eventstream.Ended
	if whole && r.route.StoreTurns() && r.status < http.StatusMultipleChoices {
		err = passed.keep()
	} else {
		r.settle(passed.generated())
	}
	if err == nil {
		r.endInOrder()
	}
	r.ended = passed.ending(ctx, err)
	return err
}

// relay passes on what one run brings.
func (s *stream) relay() error {
	response := s.attempt.Response()
	s.flusher = http.NewResponseController(s.request.writer)
	s.lastAt = s.attempt.SentAt()
	s.runs++
	if err := s.life.Begin(s.headOf(response)); err != nil {
		return s.broken(err)
	}
	buffer := make([]byte, relayBufferBytes)
	stall := s.watchStall()
	defer stall.stop()
	for {
		read, err := response.Body.Read(buffer)
		if read > 0 {
			stall.pause()
			if failure := s.pass(buffer[:read]); failure != nil {
				return failure
			}
			stall.heard()
		}
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil {
			return s.broken(err)
		}
	}
}

// headOf is what counts of an answer's head.
func (s *stream) headOf(response *http.Response) eventstream.Head {
	versionHeader, _ := s.request.server.options.Vocabulary.WeightsVersion()
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	head := eventstream.Head{Status: response.StatusCode, MediaType: strings.ToLower(strings.TrimSpace(mediaType))}
	if versionHeader != "" {
		head.Version = response.Header.Get(versionHeader)
	}
	return head
}

// pass gives the stream a part of the run's body, and the caller what comes out of it.
func (s *stream) pass(chunk []byte) error {
	before := s.life.Passed()
	passed, damage := s.life.Bytes(chunk)
	s.observe(s.life.Passed() - before)
	if len(passed) > 0 {
		if err := s.write(passed); err != nil {
			return err
		}
	}
	if damage != nil {
		return s.broken(damage)
	}
	return nil
}

// end passes on what is left once the run's body has ended whole, if that is the end of the stream.
func (s *stream) end() error {
	before := s.life.Passed()
	rest, damage := s.life.End()
	s.observe(s.life.Passed() - before)
	if len(rest) > 0 {
		if err := s.write(rest); err != nil {
			return err
		}
	}
	if damage != nil {
		return s.broken(damage)
	}
	return s.begin()
}

// broken ends a run that did not bring the stream to its end. Another one may follow if it is known where it is to go on.
func (s *stream) broken(cause error) error {
	s.life.Break()
	var mismatch *eventstream.ErrMismatch
	if errors.As(cause, &mismatch) {
		return dispatch.MismatchError(!s.life.MayResume(), cause)
	}
	return dispatch.ResponseError(!s.life.MayResume(), cause)
}

// LastEvent implements dispatch.Resumable.
func (s *stream) LastEvent() string { return s.life.LastEvent() }

// Events implements dispatch.Resumable.
func (s *stream) Events() int { return s.life.Passed() }

// Resumed implements dispatch.Resumable.
func (s *stream) Resumed(resumption dispatch.Resumption) {
	r := s.request
	r.server.options.Metrics.resumed(resumption.Outcome)
	if !r.server.lines.allows(true) {
		r.server.options.Metrics.lineDropped()
		return
	}
	r.server.options.Logger.Emit(events.StreamResumed, events.F("request", r.caller.ID), events.F("engine", resumption.Engine),
		events.F("last_event", resumption.LastEvent), events.F("status", resumption.Status), events.F("events", resumption.Events),
		events.F("outcome", resumption.Outcome), events.F("error", resumption.Cause))
}

// begin sends the head before the first bytes. The caller gets nothing before the turn's tokens are reserved.
func (s *stream) begin() error {
	s.request.engine = s.attempt.Engine().ID()
	if s.request.sent {
		return nil
	}
	if err := s.request.awaitReservation(); err != nil {
		return dispatch.Withdrawn(err)
	}
	s.request.endByReset()
	s.request.writeHead(s.attempt)
	s.request.writer.WriteHeader(s.attempt.Response().StatusCode)
	return nil
}

// write sends bytes to the caller at once, after the head.
func (s *stream) write(chunk []byte) error {
	if err := s.begin(); err != nil {
		return err
	}
	if _, err := s.request.writer.Write(chunk); err != nil {
		return dispatch.CallerGone(err)
	}
	if err := s.flusher.Flush(); err != nil {
		return dispatch.CallerGone(err)
	}
	return nil
}

// observe learns from the time that events took.
func (s *stream) observe(ended int) {
	if ended == 0 {
		return
	}
	now := time.Now()
	switch {
	case s.request.firstEventAt.IsZero():
		s.request.firstEventAt = now
	case s.request.ahead:
		// Events that were held come all at once, which says nothing about the engine: taken for its pace, they made all
		// engines look slow but one, to which everything went then.
	default:
		s.request.server.options.Registry.Observe(s.attempt.Engine(), eventGapStep, now.Sub(s.lastAt)/time.Duration(ended))
	}
	s.lastAt = now
}

// generated is how many tokens the caller may have got.
func (s *stream) generated() int64 {
	return int64(s.life.Started()) * int64(s.request.service.TokensPerEvent)
}

// keep writes the turn and its charge.
func (s *stream) keep() error {
	r := s.request
	output := s.life.Output()
	text := make([]byte, 0, len(r.body)+len(output))
	text = append(append(text, r.body...), output...)
	records := []conversation.Record{{Turn: &conversation.Turn{
		ID: r.caller.ID, Previous: r.caller.Previous, Program: r.caller.Program, Engine: r.engine,
		Text: text, RetentionMillis: r.route.Retention().Milliseconds(),
	}}}
	if r.opened != nil {
		records = append(r.opened.Inherited(), records...)
	}
	if r.opened != nil && r.opened.Reserved {
		records = append(records, r.opened.Settled(s.generated(), r.engine))
	}
	deadline := r.deadline().Add(keepGrace)
	keepContext, cancel := context.WithDeadline(r.http.Context(), deadline)
	defer cancel()
	if err := r.server.options.Turns.Put(keepContext, r.caller.Program, records); err != nil {
		r.server.options.Logger.Emit(events.TurnNotKept, events.F("request", r.caller.ID), events.F("error", err))
		r.settle(s.generated())
		return apierr.New(apierr.TurnsUnavailable, apierr.Ran, "%s", err)
	}
	return nil
}
