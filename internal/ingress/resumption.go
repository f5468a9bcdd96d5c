package ingress

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/turnstore"
)

// resumption is what is known of a stream that the caller takes up after an interruption.
type resumption struct {
	// pinned is set if only engines with this version of their software may run it.
	pinned   bool
	software string
	// origin says how the version was found, for the log line and the metrics; empty for calls that resume nothing.
	origin string
}

// The values of resumption.origin.
const (
	// originRecorded means that the version was recorded when the stream began.
	originRecorded = "recorded"
	// originOnlyVersion means that nothing was recorded, but only one version can have begun the stream.
	originOnlyVersion = "only_version"
	// originGone means that no engine of the recorded version is known.
	originGone = "gone"
	// originUnknown means that nothing was recorded, and any of several versions can have begun the stream.
	originUnknown = "unknown"
)

// goneRetryAfter is the Retry-After for streams of a version of which no engine is known.
const goneRetryAfter = 250 * time.Millisecond

// candidate is a service that the route allows and a version of its engines' software.
type candidate struct{ service, software string }

// resumesStream reports whether the caller takes up a stream.
func (r *request) resumesStream() bool { return r.route.Repeatable() && r.caller.LastEvent != "" }

// streamParams returns what has to be recorded or read of the origin of the stream. There is nothing to record if all engines
// belong to one service and state no version of their software.
func (r *request) streamParams() turnstore.StreamParams {
	if !r.route.Repeatable() || !originMatters(r.candidates()) {
		return turnstore.StreamParams{}
	}
	if r.resumesStream() {
		return turnstore.StreamParams{ID: r.caller.Resumes}
	}
	likely := r.server.options.Registry.LikelySoftware(r.service.Name)
	return turnstore.StreamParams{ID: r.caller.ID, Writer: conversation.WriterOf(r.service.Name, likely)}
}

// candidates returns all services and versions that can have begun the stream.
func (r *request) candidates() []candidate {
	var all []candidate
	for _, service := range r.route.Services() {
		for _, software := range r.server.options.Registry.SoftwareVersions(service) {
			all = append(all, candidate{service, software})
		}
	}
	return all
}

func originMatters(candidates []candidate) bool {
	return len(candidates) > 1 || (len(candidates) == 1 && candidates[0].software != "")
}

// resolveResumption finds out which service and version began the stream that the caller resumes, and restricts the call to
// them. The error says that no engine may run it.
func (r *request) resolveResumption() error {
	if !r.resumesStream() {
		return nil
	}
	candidates := r.candidates()
	if r.opened != nil && r.opened.Writer != 0 {
		return r.pinToWriter(candidates)
	}
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		r.pin(candidates[0], originOnlyVersion)
		return nil
	}
	r.resumption.origin = originUnknown
	if r.originErr != nil {
		return r.originErr
	}
	return apierr.New(apierr.OriginUnknown, apierr.NotRun, "it is not known which of %d software versions began the stream %q", len(candidates), r.caller.Resumes)
}

// pinToWriter restricts the call to the candidate that the record names.
func (r *request) pinToWriter(candidates []candidate) error {
	for _, candidate := range candidates {
		if conversation.WriterOf(candidate.service, candidate.software) == r.opened.Writer {
			r.pin(candidate, originRecorded)
			return nil
		}
	}
	r.resumption.origin = originGone
	// This gateway may be the last to learn of a new version's engines.
	return apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the software version that began the stream %q is known", r.caller.Resumes).WithRetryAfter(goneRetryAfter)
}

func (r *request) pin(chosen candidate, origin string) {
	r.resumption = resumption{pinned: true, software: chosen.software, origin: origin}
	if service, found := r.table.Service(chosen.service); found {
		r.service = service
	}
}

// originTimeout is how long the first event of a stream that needs no reservation waits until its origin is recorded. Without
// the record the stream begins all the same, though it may not be possible to resume it.
const originTimeout = 200 * time.Millisecond

// awaitOrigin waits until it is recorded which software begins the stream, once there is an event to forward. A caller that
// has the event may resume the stream at another gateway.
func (s *stream) awaitOrigin() error {
	r := s.request
	if r.origin == nil || !s.Begun() {
		return nil
	}
	origin := r.origin
	r.origin = nil
	if r.needsTurnStore() {
		if err := r.awaitReservation(); err != nil {
			return dispatch.Withdrawn(err)
		}
	}
	ctx, cancel := r.originContext()
	defer cancel()
	r.originErr = origin.Await(ctx)
	if r.originErr != nil && (r.needsTurnStore() || origin.Moved()) {
		return dispatch.Withdrawn(r.originErr)
	}
	return nil
}

// originContext limits the wait for a record that the turn can do without.
func (r *request) originContext() (context.Context, context.CancelFunc) {
	if r.needsTurnStore() {
		return context.WithCancel(r.incoming.Context())
	}
	return context.WithTimeout(r.incoming.Context(), originTimeout)
}
