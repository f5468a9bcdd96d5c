package ingress

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
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
	// originOnlyVersion means that no record was found, and that all engines that this gateway has known since the stream can
	// have begun are of one version.
	originOnlyVersion = "only_version"
	// originGone means that no engine of the recorded version is known.
	originGone = "gone"
	// originUnknown means that no record was found or could be read, and that any of several versions, or one that this gateway
	// has never known, can have begun the stream.
	originUnknown = "unknown"
)

// goneRetryAfter is the Retry-After for streams of a version of which no engine is known.
const goneRetryAfter = 250 * time.Millisecond

// candidate is a service that the route allows and a version of its engines' software.
type candidate struct{ service, software string }

// resumesStream reports whether the caller takes up a stream.
func (r *request) resumesStream() bool { return r.route.Repeatable() && r.caller.LastEvent != "" }

// streamParams returns what has to be recorded or read of the origin of the stream. It does not depend on the engines that this
// gateway knows: it may not know yet those that run the stream, or not any more those that began it.
func (r *request) streamParams() turnstore.StreamParams {
	if !r.route.Repeatable() {
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

// originMatters reports whether the origin of a stream at an engine with this software version is to be recorded. It is not worth
// a message if all known engines belong to one service and state no version.
func (r *request) originMatters(software string) bool {
	if software != "" || r.caller.Budget != NoBudget {
		return true
	}
	candidates := r.candidates()
	return len(candidates) > 1 || (len(candidates) == 1 && candidates[0].software != "")
}

// resolveResumption finds out which service and version began the stream that the caller resumes, and restricts the call to
// them. The error says that no engine may run it.
func (r *request) resolveResumption(ctx context.Context) error {
	if !r.resumesStream() {
		return nil
	}
	if r.opened != nil && r.opened.Writer != 0 {
		return r.pinToWriter(r.candidates())
	}
	candidates := r.candidatesSince(time.Now().Add(-r.originHorizon()))
	if len(candidates) == 1 && !r.isAlwaysRecorded(candidates[0]) {
		if !r.awaitSync(ctx) {
			return r.unknownOrigin(candidates)
		}
		candidates = r.candidatesSince(time.Now().Add(-r.originHorizon()))
	}
	if len(candidates) == 1 && r.mayInferOrigin(time.Now(), candidates[0]) {
		r.pin(candidates[0], originOnlyVersion)
		return nil
	}
	return r.unknownOrigin(candidates)
}

// unknownOrigin returns the error of a stream that any of these candidates, or one that this gateway does not know, may have begun.
func (r *request) unknownOrigin(candidates []candidate) error {
	r.resumption.origin = originUnknown
	if r.originErr != nil {
		return r.originErr
	}
	return apierr.New(apierr.OriginUnknown, apierr.NotRun, "it is not known which of %d software versions began the stream %q", len(candidates), r.caller.Resumes).WithRetryAfter(goneRetryAfter)
}

// isAlwaysRecorded reports whether a stream that the only known version began has a record, or none is needed: streams with a budget don't begin
// without one, and engines that state no versions can't be told apart.
func (r *request) isAlwaysRecorded(only candidate) bool {
	return r.needsTurnStore() || only.software == ""
}

// mayInferOrigin reports whether a stream without a known origin was begun by the only version that this gateway knows. If it may have no record,
// or that can't be read, that takes a gateway that has seen all engines come and go for as long as the stream may exist.
func (r *request) mayInferOrigin(now time.Time, only candidate) bool {
	if r.opened != nil && r.opened.WriterUnclear {
		return false
	}
	if r.originErr == nil && r.isAlwaysRecorded(only) {
		return true
	}
	horizon := r.originHorizon()
	since := r.server.options.CatalogInSyncSince()
	if since.IsZero() || now.Sub(since) < horizon || horizon > dispatch.SoftwareRetention {
		return false
	}
	return !r.server.options.Registry.UnknownEngineLeft(now.Add(-horizon))
}

const (
	// syncTimeout is how long a call whose origin has to be inferred waits until the gateway knows of all engines that existed when it came,
	// syncInterval the time between two looks.
	syncTimeout  = 600 * time.Millisecond
	syncInterval = 10 * time.Millisecond
)

// awaitSync waits until the gateway knows of all engines that existed when the call came.
func (r *request) awaitSync(ctx context.Context) (inSync bool) {
	for deadline := time.Now().Add(syncTimeout); ; clock.Sleep(ctx, syncInterval) {
		now := time.Now()
		if !now.Add(-r.server.options.CatalogAge()).Before(r.arrivedAt) {
			return true
		}
		if ctx.Err() != nil || now.After(deadline) {
			return false
		}
	}
}

// minOriginHorizon is the least age of a stream that is reckoned with.
const minOriginHorizon = 30 * time.Second

// originHorizon is how long ago a stream may have begun that a caller resumes now. Callers resume within their time limit, which
// an attempt may use up and which is no longer than the route's.
func (r *request) originHorizon() time.Duration { return max(minOriginHorizon, 2*r.route.Timeout()) }

// candidatesSince returns all services and versions that can have begun a stream since then.
func (r *request) candidatesSince(since time.Time) []candidate {
	var all []candidate
	for _, service := range r.route.Services() {
		for _, software := range r.server.options.Registry.SoftwareVersionsSince(service, since) {
			all = append(all, candidate{service, software})
		}
	}
	return all
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
