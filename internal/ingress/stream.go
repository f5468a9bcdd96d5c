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
	// relayBufferBytes is the size of the buffer for reads from an engine.
	relayBufferBytes = 8 << 10
	// eventGapStep is the name of the time between events in Registry.Observe.
	eventGapStep = "event gap"
	// storeGrace is how long storing a turn may continue after the caller's deadline.
	storeGrace = 100 * time.Millisecond
)

// stream relays a response that consists of events.
type stream struct {
	request *request
	attempt *dispatch.Attempt
	// sse decides what is forwarded and when the response is complete.
	sse         *eventstream.Stream
	flusher     *http.ResponseController
	lastEventAt time.Time
	// attemptCount is the number of responses read from engines.
	attemptCount int
}

// relayStream forwards events as they arrive. The end of the response is sent only after the turn
// is stored.
func (r *request) relayStream(ctx context.Context, call *dispatch.Call) error {
	_, versionField := r.server.options.CallerProtocol.WeightsVersion()
	// If the caller resumes a turn that is stored, engines are asked for the whole stream. The continuation
	// alone must not be stored: later prompts would contain it as the whole turn.
	call.FromStart = r.route.Repeatable() && r.route.StoreTurns() && r.caller.LastEvent != ""
	s := &stream{request: r, sse: eventstream.New(eventstream.Options{
		Resumable: r.route.Repeatable(), KeepOutput: r.route.StoreTurns(), LastEvent: r.caller.LastEvent, FromStart: call.FromStart,
		VersionField: versionField, Memory: r.response,
	})}
	if r.route.Repeatable() {
		call.Stream = s
	}
	err := r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		s.attempt = attempt
		return s.relayAttempt()
	})
	// Store the turn only if the stream is complete. The status doesn't tell: it comes from the first attempt, and
	// the rest of the stream may be missing.
	complete := err == nil && s.sse.State() == eventstream.Complete
	if complete && r.route.StoreTurns() && r.status < http.StatusMultipleChoices {
		err = s.storeTurn()
	} else {
		r.settle(s.generatedTokens())
	}
	if err == nil {
		r.closeGracefully()
	}
	r.outcome = s.summarize(ctx, err)
	return err
}

// relayAttempt forwards the response of one attempt.
func (s *stream) relayAttempt() error {
	response := s.attempt.Response()
	s.flusher = http.NewResponseController(s.request.writer)
	s.lastEventAt = s.attempt.SentAt()
	s.attemptCount++
	if err := s.sse.Begin(s.parseHead(response)); err != nil {
		return s.interrupt(err)
	}
	buffer := make([]byte, relayBufferBytes)
	stall := s.startStallTimer()
	defer stall.stop()
	for {
		read, err := response.Body.Read(buffer)
		if read > 0 {
			stall.pause()
			before, partBefore := s.sse.Progress(), s.sse.PartialBytes()
			if failure := s.forward(buffer[:read]); failure != nil {
				return failure
			}
			stall.resume(s.sse.Progress() != before, s.sse.PartialBytes() != partBefore)
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return s.interrupt(err)
		}
	}
}

// parseHead returns the parts of a response's head that eventstream needs.
func (s *stream) parseHead(response *http.Response) eventstream.Head {
	versionHeader, _ := s.request.server.options.CallerProtocol.WeightsVersion()
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	head := eventstream.Head{Status: response.StatusCode, MediaType: strings.ToLower(strings.TrimSpace(mediaType))}
	if versionHeader != "" {
		head.Version = response.Header.Get(versionHeader)
	}
	return head
}

// forward parses a part of the body and sends to the caller what may be forwarded so far.
func (s *stream) forward(chunk []byte) error {
	before := s.sse.EventsForwarded()
	output, feedErr := s.sse.Feed(chunk)
	s.observeEvents(s.sse.EventsForwarded() - before)
	if len(output) > 0 {
		if err := s.write(output); err != nil {
			return err
		}
		s.sse.ReleaseForwarded()
	}
	if feedErr != nil {
		return s.interrupt(feedErr)
	}
	return nil
}

// finish handles the end of a complete body: it sends the rest to the caller if the stream is
// complete.
func (s *stream) finish() error {
	before := s.sse.EventsForwarded()
	rest, endErr := s.sse.End()
	s.observeEvents(s.sse.EventsForwarded() - before)
	if len(rest) > 0 {
		if err := s.write(rest); err != nil {
			return err
		}
	}
	if endErr != nil {
		return s.interrupt(endErr)
	}
	return s.sendHead()
}

// interrupt ends an attempt that did not complete the stream. The error says whether another
// attempt may follow.
func (s *stream) interrupt(cause error) error {
	s.sse.Interrupt()
	var mismatch *eventstream.ErrMismatch
	if errors.As(cause, &mismatch) {
		return dispatch.MismatchError(!s.sse.CanResume(), cause)
	}
	if err := responseMemoryError(!s.sse.CanResume(), cause); err != nil {
		return err
	}
	return dispatch.ResponseError(!s.sse.CanResume(), cause)
}

// LastEvent implements dispatch.Resumable.
func (s *stream) LastEvent() string { return s.sse.LastEvent() }

// Events implements dispatch.Resumable.
func (s *stream) Events() int { return s.sse.EventsForwarded() }

// Begun implements dispatch.Resumable.
func (s *stream) Begun() bool { return s.sse.EventsReceived() > 0 }

// Placed implements dispatch.Resumable.
func (s *stream) Placed(ctx context.Context, software string) {
	if s.request.origin != nil && !s.Begun() && s.request.originMatters(software) {
		s.request.origin.Expect(ctx, conversation.WriterOf(s.request.service.Name, software))
	}
}

// Resumed implements dispatch.Resumable.
func (s *stream) Resumed(resumption dispatch.Resumption) {
	r := s.request
	r.server.options.Metrics.countResumption(resumption.Outcome)
	if !r.server.logLimit.allow(true) {
		r.server.options.Metrics.countDroppedLine()
		return
	}
	r.server.options.Logger.Emit(events.StreamResumed, events.F("request", r.caller.ID), events.F("engine", resumption.Engine),
		events.F("software", resumption.Software), events.F("last_event", resumption.LastEvent), events.F("status", resumption.Status), events.F("events", resumption.Events),
		events.F("outcome", resumption.Outcome), events.F("error", resumption.Cause))
}

// sendHead sends the head before the first bytes. The caller gets nothing before the turn's tokens
// are reserved.
func (s *stream) sendHead() error {
	s.request.engine = s.attempt.Engine().ID()
	if s.request.headSent {
		return nil
	}
	if err := s.request.awaitReservation(); err != nil {
		return dispatch.Withdrawn(err)
	}
	s.request.resetOnClose()
	s.request.setHead(s.attempt)
	s.request.writer.WriteHeader(s.attempt.Response().StatusCode)
	return nil
}

// write sends bytes to the caller and flushes them, after the head.
func (s *stream) write(chunk []byte) error {
	if err := s.awaitOrigin(); err != nil {
		return err
	}
	if err := s.sendHead(); err != nil {
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

// observeEvents reports the time between events to the registry.
func (s *stream) observeEvents(count int) {
	if count == 0 {
		return
	}
	now := time.Now()
	switch {
	case s.request.firstEventAt.IsZero():
		s.request.firstEventAt = now
	case s.request.runAhead:
		// Events that were buffered during the reservation arrive all at once. Their gaps don't
		// measure the engine and would make all other engines look slow.
	default:
		s.request.server.options.Registry.Observe(s.attempt.Engine(), eventGapStep, now.Sub(s.lastEventAt)/time.Duration(count))
	}
	s.lastEventAt = now
}

// generatedTokens returns an upper bound of the tokens that the caller got.
func (s *stream) generatedTokens() int64 {
	return int64(s.sse.EventsStarted()) * int64(s.request.service.TokensPerEvent)
}

// storeTurn stores the turn and charges its tokens.
func (s *stream) storeTurn() error {
	r := s.request
	output := s.sse.Output()
	if err := r.response.Grow(int64(len(r.body) + len(output))); err != nil {
		r.settle(s.generatedTokens())
		return apierr.New(apierr.Overloaded, apierr.Ran, "the turn was not stored: %s", err)
	}
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
		records = append(records, r.opened.Settled(s.generatedTokens(), r.engine))
	}
	deadline := r.deadline().Add(storeGrace)
	putContext, cancel := context.WithDeadline(r.incoming.Context(), deadline)
	defer cancel()
	if err := r.server.options.Turns.Put(putContext, r.caller.Program, records); err != nil {
		r.server.options.Logger.Emit(events.TurnNotKept, events.F("request", r.caller.ID), events.F("error", err))
		r.settle(s.generatedTokens())
		return apierr.New(apierr.TurnsUnavailable, apierr.Ran, "the turn was not stored: %s", err)
	}
	return nil
}
