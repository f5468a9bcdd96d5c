package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/routing"
)

// maximalRefusalBytes bounds the body of a refusal that is read to keep its connection.
const maximalRefusalBytes = 4 << 10

// attemptOutcome is what is known of one attempt.
type attemptOutcome int

const (
	succeeded attemptOutcome = iota
	// notSent, gone, refused and misdirected prove that the call was not run. With gone, nobody
	// listens at the engine's address any more.
	notSent
	gone
	refused
	misdirected
	// unknown means that it may have run, and that another answer or, of a stream, another run may follow.
	unknown
	// delivered means that the caller has got a part of an answer that then broke off, and that nothing may follow.
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
	errRefused     = attemptError("the engine is full")
	errMisdirected = attemptError("another engine has the address")
	errSpoiled     = attemptError("the answer is damaged or belongs to another call")
	errLate        = attemptError("the answer is late")
	errServerError = attemptError("the engine answered with a failure of its own")
)

const (
	// maximalResumes bounds how often in a row a stream is asked for at the same engine without getting anything. With
	// engines that broke off a fifth of their answers and failed two fifths of all requests, 3 of 409 broken streams were cut; with 3
	// tries, 15 ms apart, it was 28 of 421.
	maximalResumes = 5
	// resumePause precedes the first of these, and doubles before each further one: 465 ms in all, below the two seconds
	// after which callers give up a silent stream.
	resumePause = 15 * time.Millisecond
)

// progress is what was tried for a call.
type progress struct {
	call  *Call
	sends int
	// runs is how many engines may have run the call and still may.
	runs int
	// ran tells that some engine may have run the call.
	ran bool
	// resumed is how often a stream was asked for at the engine that it was on since it got its last event; events is how
	// many it had then.
	resumed int
	events  int
	// again is the engine that the next attempt must go to; nil for any.
	again *Engine
}

// shortestAttempt is the least time that an attempt gets before another engine is asked.
const shortestAttempt = 120 * time.Millisecond

// attemptLimit is how long the next attempt of a call may take if another engine may run it after;
// half of the time that is left stays for that one.
func (p *progress) attemptLimit(ctx context.Context, now time.Time) (time.Duration, bool) {
	route := p.call.Route
	if route.Kind() != routing.Safe || p.runs+1 >= route.Attempts() {
		return 0, false
	}
	limit := max(route.Objective(), shortestAttempt)
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, deadline.Sub(now)/2)
	}
	return limit, true
}

// mayGoOn counts an attempt that failed and tells whether another one is allowed.
func (p *progress) mayGoOn(ctx context.Context, outcome attemptOutcome, engine *Engine, retries *retryBudget) bool {
	p.sends++
	p.noteEvents()
	if outcome == unknown || outcome == delivered {
		p.ran = true
	}
	if expired(ctx) || outcome == delivered || p.sends >= maximalSends {
		return false
	}
	if p.call.Stream != nil && p.ran {
		return p.mayResume(outcome, engine) && retries.spend()
	}
	p.call.Placement.Excluded[engine.ID()] = true
	if outcome == unknown {
		p.runs++
		if !p.call.Route.Repeatable() || p.runs >= p.call.Route.Attempts() {
			return false
		}
	}
	return retries.spend()
}

// noteEvents counts anew once a run has brought events of a stream: an engine that breaks off after each event still
// brings it to its end.
func (p *progress) noteEvents() {
	if p.call.Stream == nil || p.call.Stream.Events() == p.events {
		return
	}
	p.events = p.call.Stream.Events()
	p.sends = 0
	p.resumed = 0
}

// resumeWait is the pause before the stream is asked for again.
func (p *progress) resumeWait() time.Duration {
	return resumePause << max(p.resumed-1, 0)
}

// expired tells whether the time of a call is over. After a pause of the whole process the context's
// own timer may come late.
func expired(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || (limited && time.Now().After(deadline))
}

// mayResume lets a stream that broke off go on at its engine, which has the prompt in memory and is
// no further engine to count. Only if that one has certainly ended does it go on elsewhere.
func (p *progress) mayResume(outcome attemptOutcome, engine *Engine) bool {
	if outcome == gone || outcome == misdirected {
		p.call.Placement.Excluded[engine.ID()] = true
		return true
	}
	p.resumed++
	p.again = engine
	return p.resumed <= maximalResumes
}

// final is the failure that the caller gets.
func (p *progress) final(ctx context.Context, outcome attemptOutcome, cause error) error {
	if outcome == delivered {
		return cause
	}
	if p.ran {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return apierr.New(apierr.DeadlineExceeded, apierr.OutcomeUnknown, "no answer in time: %s", cause)
		}
		return apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "%s", cause)
	}
	return p.notRun(ctx, cause.Error())
}

// noEngine is the failure of a call for which there is no engine (any more).
func (p *progress) noEngine(ctx context.Context) error {
	if p.ran {
		return apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "no other engine may take the call")
	}
	return p.notRun(ctx, "no engine may take the call")
}

func (p *progress) notRun(ctx context.Context, reason string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierr.New(apierr.DeadlineExceeded, apierr.NotRun, "%s", reason)
	}
	return retryAfter(apierr.New(apierr.NoEngine, apierr.NotRun, "%s", reason))
}

func discardBody(response *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maximalRefusalBytes))
	return err
}
