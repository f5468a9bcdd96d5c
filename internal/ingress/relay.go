package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// maximalAnswerBytes bounds an answer that is held until it is whole.
	maximalAnswerBytes = 16 << 20
	// relayBufferBytes is read from an engine at once.
	relayBufferBytes = 8 << 10
	// eventGapStep names the pause between events in what is observed of engines.
	eventGapStep = "event gap"
	// keepGrace is how long a turn's record is offered beyond the caller's deadline.
	keepGrace = 100 * time.Millisecond
)

// errAnswerTooLarge means that an answer is larger than a node holds.
type errAnswerTooLarge struct{}

// Error implements error.
func (errAnswerTooLarge) Error() string { return "the answer is too large" }

// relayWhole reads an answer to its end before the caller gets any of it, so that one that breaks
// off can be replaced by another.
func (r *request) relayWhole(ctx context.Context, call *dispatch.Call) error {
	return r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		response := attempt.Response()
		body, err := io.ReadAll(io.LimitReader(response.Body, maximalAnswerBytes+1))
		if err == nil && len(body) > maximalAnswerBytes {
			err = errAnswerTooLarge{}
		}
		if err != nil {
			return dispatch.Broken(false, err)
		}
		r.server.options.Registry.Observe(attempt.Engine(), "route "+r.route.Name(), time.Since(attempt.SentAt()))
		r.writeHead(attempt)
		if r.http.Method != http.MethodHead {
			r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		r.writer.WriteHeader(response.StatusCode)
		_, _ = r.writer.Write(body)
		return nil
	})
}

// writeHead copies the engine's headers.
func (r *request) writeHead(attempt *dispatch.Attempt) {
	r.engine = attempt.Engine().ID()
	r.status = attempt.Response().StatusCode
	r.sent = true
	header := r.writer.Header()
	for name, values := range upstream.PassedOn(attempt.Response().Header) {
		header[name] = values
	}
}

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
}

// relayStream passes events on as they come. The end of the answer goes out only once the turn is
// kept.
func (r *request) relayStream(ctx context.Context, call *dispatch.Call) error {
	passed := &stream{request: r, resumable: r.route.Repeatable()}
	passed.scanner.keep = r.route.Kept()
	passed.scanner.lastID = r.caller.LastEvent
	if passed.resumable {
		call.Resume = passed.position
	}
	err := r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		passed.attempt = attempt
		return passed.relay()
	})
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

// position is where another run of a resumable stream would go on, and whether the caller has
// got any of it from here.
func (s *stream) position() (lastEvent string, delivered bool) {
	return s.scanner.lastID, s.request.sent
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
