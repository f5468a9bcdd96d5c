package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/routing"
)

// maxRefusalBytes bounds the body of a refusal that is read so that its connection can be reused.
const maxRefusalBytes = 4 << 10

// attemptOutcome is what is known after an attempt.
type attemptOutcome int

const (
	succeeded attemptOutcome = iota
	// notSent, gone, refused and misdirected prove that the call did not run. gone also means that
	// nothing listens at the engine's address any more.
	notSent
	gone
	refused
	misdirected
	// unknown means that the call may have run, and that another attempt may follow.
	unknown
	// delivered means that the caller received a part of a response that then failed, and that no other response may
	// follow.
	delivered
)

// String implements fmt.Stringer.
func (o attemptOutcome) String() string {
	return [...]string{"succeeded", "not_sent", "gone", "refused", "misdirected", "unknown", "delivered"}[o]
}

type attemptError string

// Error implements error.
func (e attemptError) Error() string { return string(e) }

const (
	errRefused        = attemptError("engine is at capacity")
	errMisdirected    = attemptError("address belongs to another engine")
	errInvalid        = attemptError("response is damaged or belongs to another call")
	errAttemptTimeout = attemptError("no response within the attempt timeout")
	errServerError    = attemptError("engine returned a server error")
)

const (
	// maxResumes bounds consecutive attempts to resume a stream at the same engine without receiving an event. With engines
	// that broke off a fifth of their answers and failed two fifths of all requests, 3 of 409 interrupted streams were cut;
	// with 3 attempts, 15 ms apart, 28 of 421.
	maxResumes = 5
	// resumeBackoff is the delay before the first of these attempts; it doubles for each further attempt. The sum, 465 ms,
	// stays below the 2 s after which callers give up a silent stream.
	resumeBackoff = 15 * time.Millisecond
)

// progress tracks the attempts of one call.
type progress struct {
	call *Call
	// attempts counts the attempts of the call; for a stream, those since the last event.
	attempts int
	// runs counts the engines that may have run the call and may still be running it.
	runs int
	// ran is set once any engine may have run the call.
	ran bool
	// resumes counts the attempts to resume the stream at its engine since the last event; events is how many events
	// the stream had then.
	resumes int
	events  int
	// spent is how many retries the attempts to resume the stream at its engine have taken from the budget.
	spent int
	// waitUntil is until when a pinned call may wait for an engine; zero before it does.
	waitUntil time.Time
	// resumeOn is the engine that the next attempt must use; nil for any.
	resumeOn *Engine
}

// minAttemptTimeout is the least time that an attempt gets before another engine is tried.
const minAttemptTimeout = 120 * time.Millisecond

// attemptTimeout returns the timeout of the next attempt if another engine may run the call after it;
// half of the remaining time is reserved for that attempt.
func (p *progress) attemptTimeout(ctx context.Context, now time.Time) (time.Duration, bool) {
	route := p.call.Route
	if route.Kind() != routing.Safe || p.runs+1 >= route.Attempts() {
		return 0, false
	}
	timeout := max(route.Objective(), minAttemptTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(now)/2)
	}
	return timeout, true
}

// mayRetry records a failed attempt and reports whether another one is allowed.
func (p *progress) mayRetry(ctx context.Context, outcome attemptOutcome, engine *Engine, retries *retryBudget) bool {
	if p.call.Placement.Pinned && !p.ran && outcome == refused {
		// The wait for an engine bounds these attempts.
		return !expired(ctx)
	}
	p.attempts++
	p.resetOnEvents()
	p.pinSoftware()
	if outcome == unknown || outcome == delivered {
		p.ran = true
	}
	if expired(ctx) || outcome == delivered || p.attempts >= maxAttempts {
		return false
	}
	if p.call.Stream != nil && p.ran {
		return p.mayResume(outcome, engine) && p.payForResumption(outcome, retries)
	}
	p.exclude(outcome, engine)
	if outcome == unknown {
		p.runs++
		if !p.call.Route.Repeatable() || p.runs >= p.call.Route.Attempts() {
			return false
		}
	}
	return p.costsNothing(outcome) || retries.spend()
}

// resetOnEvents resets the counts of attempts if the last attempt delivered events, so that a stream still completes on
// an engine that interrupts it after every event.
func (p *progress) resetOnEvents() {
	if p.call.Stream == nil || p.call.Stream.Events() == p.events {
		return
	}
	p.events = p.call.Stream.Events()
	p.waitUntil = time.Time{}
	p.attempts = 0
	p.resumes = 0
	p.spent = 0
}

// payForResumption takes a retry from the budget, or returns those that were taken if the engine has ended: a stream can leave each
// engine only once, and the end of an engine interrupts all of its streams.
func (p *progress) payForResumption(outcome attemptOutcome, retries *retryBudget) bool {
	if outcome == gone {
		retries.refund(p.spent)
		p.spent = 0
		return true
	}
	if p.costsNothing(outcome) {
		return true
	}
	if !retries.spend() {
		return false
	}
	p.spent++
	return true
}

// leave rules out an engine that was proved to have ended. It is nobody's fault and costs no retry.
func (p *progress) leave(engine *Engine, retries *retryBudget) {
	p.call.Placement.Excluded[engine.ID()] = true
	p.resumeOn = nil
	retries.refund(p.spent)
	p.spent = 0
}

// pinSoftware restricts a stream that has begun to the software version of the engine that sent its first event.
func (p *progress) pinSoftware() {
	if p.call.Stream == nil || p.call.Placement.Pinned || !p.call.Stream.Begun() {
		return
	}
	p.call.Placement.Pinned = true
	p.call.Placement.Software = p.call.Trace.Software
}

// costsNothing reports whether a failed attempt of a pinned call gave its engine no work. It is not taken from the retry budget
// then, since no other engine can run the call.
func (p *progress) costsNothing(outcome attemptOutcome) bool {
	return p.call.Placement.Pinned && (outcome == refused || outcome == gone)
}

// pinnedWaitUntil returns until when a pinned call may wait for an engine, over all its attempts.
func (p *progress) pinnedWaitUntil(now time.Time) time.Time {
	if p.waitUntil.IsZero() {
		p.waitUntil = now.Add(pinnedWaitTimeout)
	}
	return p.waitUntil
}

// exclude rules out an engine for the further attempts of a call that has not run. A pinned call may return to an engine that
// could not be reached, since few others can run it.
func (p *progress) exclude(outcome attemptOutcome, engine *Engine) {
	if p.call.Placement.Pinned && outcome == notSent {
		return
	}
	p.call.Placement.Excluded[engine.ID()] = true
}

// resumeDelay is the backoff before the next attempt to resume.
func (p *progress) resumeDelay() time.Duration {
	return resumeBackoff << max(p.resumes-1, 0)
}

// expired reports whether a call was canceled or its deadline has passed. It compares the clock as well, since the
// context's timer may fire late after the whole process was paused.
func expired(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || (limited && time.Now().After(deadline))
}

// mayResume reports whether an interrupted stream may be resumed. It stays at its engine, which has the prompt
// cached and doesn't count as another engine, unless that engine certainly does not run the call any more.
func (p *progress) mayResume(outcome attemptOutcome, engine *Engine) bool {
	if outcome == gone || outcome == misdirected {
		p.call.Placement.Excluded[engine.ID()] = true
		return true
	}
	p.resumes++
	p.resumeOn = engine
	return p.resumes <= maxResumes
}

// finalError returns the error for the caller after the last attempt.
func (p *progress) finalError(ctx context.Context, outcome attemptOutcome, cause error) error {
	if outcome == delivered {
		return cause
	}
	if p.ran {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return apierr.New(apierr.DeadlineExceeded, apierr.OutcomeUnknown, "no complete response before the deadline: %s", cause)
		}
		return apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "no complete response from an engine that may have run the call: %s", cause)
	}
	return p.notRunError(ctx, cause.Error())
}

// endsEnginesError returns the error of a call that ends the engines that run it.
func (p *progress) endsEnginesError(call *Call) error {
	return apierr.New(apierr.EndsEngines, apierr.Ran, "engines end when they run this request; it was sent %d times", call.Trace.Sends)
}

// undecidedError returns the error of a call of which it is not known in time how many engines have ended under its request.
func (p *progress) undecidedError() error {
	const reason = "engines that ran this request may have ended"
	if p.ran {
		return apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, reason)
	}
	return withRetryAfter(apierr.New(apierr.NoEngine, apierr.NotRun, reason))
}

// noEngineError returns the error of a call for which no engine is available.
func (p *progress) noEngineError(ctx context.Context) error {
	reason := "no engine is available for the call"
	if p.call.Placement.Pinned {
		reason = "no engine with software version " + strconv.Quote(p.call.Placement.Software) + ", which began the stream, is available"
	}
	if p.ran {
		return apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "%s", reason)
	}
	return p.notRunError(ctx, reason)
}

func (p *progress) notRunError(ctx context.Context, reason string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierr.New(apierr.DeadlineExceeded, apierr.NotRun, "%s", reason)
	}
	return withRetryAfter(apierr.New(apierr.NoEngine, apierr.NotRun, "%s", reason))
}
