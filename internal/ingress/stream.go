package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
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
	scanner eventScanner
	flusher *http.ResponseController
	lastAt  time.Time
	// pending are bytes of an event whose end has not come. On resumable routes only whole events are
	// passed on, so that another run can go on after the last.
	pending   []byte
	resumable bool
	// runs is how many engines' answers were read, before how many events had ended when the last of them began.
	runs   int
	before int
}

// relayStream passes events on as they come. The end of the answer goes out only once the turn is
// kept.
func (r *request) relayStream(ctx context.Context, call *dispatch.Call) error {
	passed := &stream{request: r, resumable: r.route.Repeatable()}
	passed.scanner.keep = r.route.Kept()
	passed.scanner.lastID = r.caller.LastEvent
	if passed.resumable {
		call.Stream = passed
	}
	err := r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		passed.attempt = attempt
		return passed.relay()
	})
	r.ended = passed.ending(ctx, err)
	whole := err == nil && r.status < http.StatusMultipleChoices
	if whole && r.route.Kept() {
		return passed.keep(ctx)
	}
	r.settle(passed.generated())
	return err
}

func (s *stream) relay() error {
	response := s.attempt.Response()
	s.flusher = http.NewResponseController(s.request.writer)
	s.lastAt = s.attempt.SentAt()
	s.scanner.restart()
	s.pending = s.pending[:0]
	s.runs++
	s.before = s.scanner.count
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
			return dispatch.Broken(s.request.sent && !s.resumable, err)
		}
	}
}

// end passes on what is left once the engine's answer has ended whole.
func (s *stream) end() error {
	if err := s.begin(); err != nil {
		return err
	}
	if len(s.pending) == 0 {
		return nil
	}
	return s.write(s.pending)
}

// LastEvent implements dispatch.Resumable.
func (s *stream) LastEvent() string { return s.scanner.lastID }

// Resumed implements dispatch.Resumable.
func (s *stream) Resumed(resumption dispatch.Resumption) {
	brought := s.scanner.count - s.before
	s.before = s.scanner.count
	r := s.request
	r.server.options.Metrics.resumed(resumption.Outcome)
	if !r.server.lines.allows(true) {
		r.server.options.Metrics.lineDropped()
		return
	}
	r.server.options.Logger.Emit(events.StreamResumed, events.F("request", r.caller.ID), events.F("engine", resumption.Engine),
		events.F("last_event", resumption.LastEvent), events.F("status", resumption.Status), events.F("events", brought),
		events.F("outcome", resumption.Outcome), events.F("error", resumption.Cause))
}

// begin sends the head before the first bytes. The caller gets nothing before the turn's tokens are reserved.
func (s *stream) begin() error {
	if s.request.sent {
		return nil
	}
	if err := s.request.awaitReservation(); err != nil {
		return dispatch.Withdrawn(err)
	}
	s.request.writeHead(s.attempt)
	s.request.writer.WriteHeader(s.attempt.Response().StatusCode)
	return nil
}

func (s *stream) pass(chunk []byte) error {
	ended, boundary := s.scanner.write(chunk)
	if ended > 0 {
		s.observe(ended)
	}
	if !s.resumable {
		if err := s.begin(); err != nil {
			return err
		}
		return s.write(chunk)
	}
	if boundary == 0 {
		s.pending = append(s.pending, chunk...)
		return nil
	}
	if err := s.begin(); err != nil {
		return err
	}
	whole := append(s.pending, chunk[:boundary]...)
	err := s.write(whole)
	s.pending = append(s.pending[:0], chunk[boundary:]...)
	return err
}

// write sends bytes to the caller at once.
func (s *stream) write(chunk []byte) error {
	if _, err := s.request.writer.Write(chunk); err != nil {
		return dispatch.CallerGone(err)
	}
	if err := s.flusher.Flush(); err != nil {
		return dispatch.CallerGone(err)
	}
	return nil
}

func (s *stream) observe(ended int) {
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
	return int64(s.scanner.started()) * int64(s.request.service.TokensPerEvent)
}

// keep writes the turn and its charge.
func (s *stream) keep(ctx context.Context) error {
	r := s.request
	text := make([]byte, 0, len(r.body)+len(s.scanner.output))
	text = append(append(text, r.body...), s.scanner.output...)
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
