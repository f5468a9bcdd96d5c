package ingress

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/eventstream"
)

// The values of streamOutcome.result in log lines and metrics. A stream is cut if its connection was reset before its
// end.
const (
	streamComplete      = "whole"
	streamCutByEngine   = "cut_by_engine"
	streamCutByCaller   = "cut_by_caller"
	streamCutByDeadline = "cut_by_deadline"
	streamCutByGateway  = "cut_by_gateway"
	streamNotBegun      = "not_begun"
)

// streamOutcome is how a stream ended.
type streamOutcome struct {
	result string
	// attemptCount is the number of responses read from engines; eventCount is the number of complete
	// events that were forwarded.
	attemptCount int
	eventCount   int
	// lastEvent is the ID of the last event that was forwarded.
	lastEvent string
}

// summarize returns the outcome of a stream whose dispatch returned err.
func (s *stream) summarize(ctx context.Context, err error) *streamOutcome {
	return &streamOutcome{result: s.classify(ctx, err), attemptCount: s.attemptCount, eventCount: s.sse.EventsForwarded(), lastEvent: s.sse.LastEvent()}
}

func (s *stream) classify(ctx context.Context, err error) string {
	var gone *dispatch.ErrCallerGone
	var withdrawn *dispatch.ErrWithdrawn
	switch {
	case !s.request.headSent:
		return streamNotBegun
	case err == nil:
		return streamComplete
	case errors.As(err, &gone), s.request.incoming.Context().Err() != nil:
		return streamCutByCaller
	case errors.As(err, &withdrawn), s.sse.State() == eventstream.Complete:
		return streamCutByGateway
	case ctx.Err() != nil:
		return streamCutByDeadline
	}
	return streamCutByEngine
}

func (e *streamOutcome) fields() []events.Field {
	return []events.Field{
		events.F("stream", e.result), events.F("runs", e.attemptCount), events.F("events", e.eventCount), events.F("last_event", e.lastEvent),
	}
}
