package ingress

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/eventstream"
)

// The ways in which a stream that has begun may end, as log lines and metrics name them. All but the first are cuts, and
// name whose doing it was.
const (
	endedWhole        = "whole"
	cutByEngine       = "cut_by_engine"
	cutByCaller       = "cut_by_caller"
	cutByDeadline     = "cut_by_deadline"
	cutByGateway      = "cut_by_gateway"
	endedBeforeEvents = "not_begun"
)

// streamEnding is how a stream ended.
type streamEnding struct {
	way string
	// runs is how many engines' answers it was read from, whole how many events have passed to their end.
	runs  int
	whole int
	// lastEvent is the ID of the last event that passed.
	lastEvent string
}

// ending tells how a stream ended whose dispatch ended with err.
func (s *stream) ending(ctx context.Context, err error) *streamEnding {
	return &streamEnding{way: s.wayOfEnding(ctx, err), runs: s.runs, whole: s.life.EventsForwarded(), lastEvent: s.life.LastEvent()}
}

func (s *stream) wayOfEnding(ctx context.Context, err error) string {
	var gone *dispatch.ErrCallerGone
	var withdrawn *dispatch.ErrWithdrawn
	switch {
	case !s.request.sent:
		return endedBeforeEvents
	case err == nil:
		return endedWhole
	case errors.As(err, &gone), s.request.http.Context().Err() != nil:
		return cutByCaller
	case errors.As(err, &withdrawn), s.life.State() == eventstream.Complete:
		return cutByGateway
	case ctx.Err() != nil:
		return cutByDeadline
	}
	return cutByEngine
}

func (e *streamEnding) fields() []events.Field {
	return []events.Field{
		events.F("stream", e.way), events.F("runs", e.runs), events.F("events", e.whole), events.F("last_event", e.lastEvent),
	}
}
