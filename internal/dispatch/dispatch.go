// Package dispatch brings a call to an engine: it chooses one, sends the call, and decides after a
// failure whether it may be sent again. A call that may run only once is sent again only after
// proof that it was not run.
//
// Usage:
//
//	dispatcher := dispatch.New(registry, protocol, logger)
//	err := dispatcher.Run(ctx, &dispatch.Call{...}, func(attempt *dispatch.Attempt) error {
//		... read attempt.Response() and pass it on ...
//		return nil
//	})
package dispatch

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// maximalSends bounds how often a call is offered to engines, refusals included; of a stream, how often in a row
	// without getting an event.
	maximalSends = 6
	// engineWait is how long a call waits for an engine that may take it.
	engineWait = 60 * time.Millisecond
	// engineWaitStep is how often it looks.
	engineWaitStep = 10 * time.Millisecond
	// retryAfterNoEngine tells callers when to come back if no engine could take their call.
	retryAfterNoEngine = 250 * time.Millisecond
)

// ResponseClass is what the head of an answer means.
type ResponseClass int

// The verdicts.
const (
	// Answered means that the answer is the engine's and is to be passed on.
	Answered ResponseClass = iota
	// Refused means that the engine is full and did not run the call.
	Refused
	// Misdirected means that another engine has the address; it did not run the call.
	Misdirected
	// Invalid means that the answer does not belong to the call or is damaged.
	Invalid
)

// Protocol is what varies between the engines of different platforms.
type Protocol interface {
	// Prepare sets the headers of an attempt. The header is a copy made for it.
	Prepare(header http.Header, offer AttemptInfo)
	// Classify tells what the head of an answer to the call with this ID means.
	Classify(response *http.Response, callID string) ResponseClass
}

// AttemptInfo describes one attempt.
type AttemptInfo struct {
	Engine string
	// Left is the time that the engine may take.
	Timeout  time.Duration
	Priority int
	// LastEvent is where a stream goes on; empty for its start, or where the caller says.
	LastEvent string
	// FromStart tells that a stream without LastEvent begins at its start, wherever the caller says.
	FromStart bool
}

// Call is one request of a caller.
type Call struct {
	ID        string
	Route     *routing.Route
	Placement Placement
	Request   upstream.Request
	Priority  int
	// Trace is filled with what decided the call's way, for its log line.
	Trace Trace
	// Stream is set for streams that may go on in another run.
	Stream Resumable
	// FromStart tells that the first run begins at the stream's start, wherever the caller says.
	FromStart bool
}

// Trace is what decided the way of a call.
type Trace struct {
	// Engine is the one that was asked last.
	Engine string
	// Sends is how often the call was offered to engines.
	Sends int
	// Held is how long it waited for an engine that may take it.
	EngineWait time.Duration
	// Candidates, InFlight, Busy and Pace are what the last choice of an engine saw: how many might take the
	// call, and this node's own calls, those of all nodes and the latency ratio of the one that was chosen. LoadAge is how old
	// the news of the other nodes' calls was.
	Candidates   int
	InFlight     int
	Load         float64
	LoadAge      time.Duration
	LatencyRatio float64
}

// Attempt is a call at an engine that has begun to answer.
type Attempt struct {
	exchange *upstream.Exchange
	engine   *Engine
	sentAt   time.Time
}

// Response is the answer; its body is to be read.
func (a *Attempt) Response() *http.Response { return a.exchange.Response() }

// Engine is where the call runs.
func (a *Attempt) Engine() *Engine { return a.engine }

// Abort closes the connection to the engine; a reader of the answer gets an error.
func (a *Attempt) Abort() { a.exchange.Abort() }

// SentAt is when the call was sent.
func (a *Attempt) SentAt() time.Time { return a.sentAt }

// ErrResponse is returned by a consumer if the answer ended early or was damaged. Delivered tells whether nothing may follow, for
// the caller has got a part of it; a part of a stream that may go on in another run doesn't count.
type ErrResponse struct {
	Delivered bool
	// engineWell tells that the engine is not to blame.
	engineWell bool
	cause      error
}

// Broken makes an ErrResponse.
func ResponseError(delivered bool, cause error) error {
	return errors.WithStack(&ErrResponse{Delivered: delivered, cause: cause})
}

// MismatchError makes an ErrResponse for which the engine is not to blame: its answer does not fit what the caller has. Other
// callers' requests still go there.
func MismatchError(delivered bool, cause error) error {
	return errors.WithStack(&ErrResponse{Delivered: delivered, engineWell: true, cause: cause})
}

// ErrCallerGone means that the caller no longer takes its answer.
type ErrCallerGone struct{ cause error }

// CallerGone makes an ErrCallerGone.
func CallerGone(cause error) error { return errors.WithStack(&ErrCallerGone{cause: cause}) }

// ErrWithdrawn means that the gateway itself no longer wants the answer.
type ErrWithdrawn struct{ cause error }

// Withdrawn makes an ErrWithdrawn.
func Withdrawn(cause error) error { return errors.WithStack(&ErrWithdrawn{cause: cause}) }

// Error implements error.
func (e *ErrWithdrawn) Error() string { return "the call was withdrawn: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrWithdrawn) Unwrap() error { return e.cause }

// Error implements error.
func (e *ErrCallerGone) Error() string { return "the caller is gone: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrCallerGone) Unwrap() error { return e.cause }

// Error implements error.
func (e *ErrResponse) Error() string { return "the answer broke off: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrResponse) Unwrap() error { return e.cause }

// Dispatcher sends calls to engines. All methods may be called concurrently.
type Dispatcher struct {
	registry *Registry
	protocol Protocol
	logger   *events.Logger
	retries  *retryBudget
}

// New returns a Dispatcher.
func New(registry *Registry, protocol Protocol, logger *events.Logger) *Dispatcher {
	return &Dispatcher{registry: registry, protocol: protocol, logger: logger, retries: newRetryBudget()}
}

// Run brings a call to an engine and gives its answer to consume. The error is an apierr.Error that
// tells whether the call was run, or an ErrResponse that is Delivered.
func (d *Dispatcher) Run(ctx context.Context, call *Call, consume func(*Attempt) error) error {
	d.retries.earn()
	progress := &progress{call: call}
	call.Placement.Excluded = make(map[string]bool)
	for {
		engine, err := d.nextEngine(ctx, call, progress)
		if err != nil {
			return err
		}
		call.Trace.Sends++
		run := newResumption(call, engine, progress.ran)
		outcome, err := d.limitedAttempt(ctx, call, engine, progress, run, consume)
		d.registry.release(engine)
		run.end(call, outcome, err)
		if outcome == succeeded {
			return nil
		}
		if !progress.mayGoOn(ctx, outcome, engine, d.retries) {
			return progress.final(ctx, outcome, err)
		}
		d.logger.Emit(events.AttemptRetried, events.F("request", call.ID), events.F("engine", engine.ID()),
			events.F("outcome", outcome.String()), events.F("error", err), events.F("sends", call.Trace.Sends))
	}
}

// nextEngine is the engine of the attempt before if the call is to go on there, or a new one.
func (d *Dispatcher) nextEngine(ctx context.Context, call *Call, progress *progress) (*Engine, error) {
	again := progress.again
	if again == nil {
		return d.waitForEngine(ctx, call, progress)
	}
	progress.again = nil
	clock.Pause(ctx, progress.resumeWait())
	switch d.registry.use(again) {
	case present:
		return again, nil
	case draining:
		// It still runs, and counts as one of the engines that the call was sent to.
		if call.Route.Attempts() <= 1 {
			return nil, progress.noEngine(ctx)
		}
	}
	call.Placement.Excluded[again.ID()] = true
	return d.waitForEngine(ctx, call, progress)
}

func (d *Dispatcher) waitForEngine(ctx context.Context, call *Call, progress *progress) (*Engine, error) {
	startedAt := time.Now()
	waitUntil := startedAt.Add(engineWait)
	defer func() { call.Trace.EngineWait += time.Since(startedAt) }()
	for {
		now := time.Now()
		if engine := d.registry.choose(now, call.Placement, &call.Trace); engine != nil {
			return engine, nil
		}
		if expired(ctx) || now.After(waitUntil) {
			return nil, progress.noEngine(ctx)
		}
		clock.Pause(ctx, engineWaitStep)
	}
}

// limitedAttempt gives up an attempt whose answer is late while another engine may still run the
// call. Without that, an answer that an engine has lost would be waited for until the caller leaves.
func (d *Dispatcher) limitedAttempt(ctx context.Context, call *Call, engine *Engine, progress *progress, run *Resumption, consume func(*Attempt) error) (attemptOutcome, error) {
	limit, limited := progress.attemptLimit(ctx, time.Now())
	if !limited {
		return d.attempt(ctx, call, engine, run, consume)
	}
	attemptContext, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	outcome, err := d.attempt(attemptContext, call, engine, run, consume)
	if attemptContext.Err() != nil && ctx.Err() == nil {
		d.registry.failed(engine, false, errLate)
	}
	return outcome, err
}

// attempt sends a call once. What it learns of a stream's run is added to run.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, engine *Engine, run *Resumption, consume func(*Attempt) error) (attemptOutcome, error) {
	request := call.Request
	request.Header = call.Request.Header.Clone()
	sentAt := time.Now()
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(sentAt)
	}
	offer := AttemptInfo{Engine: engine.ID(), Timeout: left, Priority: call.Priority, LastEvent: run.LastEvent, FromStart: call.FromStart}
	d.protocol.Prepare(request.Header, offer)
	exchange, err := engine.pool.Send(ctx, &request)
	if err != nil {
		return d.sendFailed(ctx, engine, err)
	}
	defer exchange.Abort()
	run.Status = exchange.Response().StatusCode
	switch d.protocol.Classify(exchange.Response(), call.ID) {
	case Refused:
		d.registry.markFull(engine)
		d.drainRefusal(exchange)
		return refused, errRefused
	case Misdirected:
		d.registry.markGone(engine)
		return misdirected, errMisdirected
	case Invalid:
		d.registry.failed(engine, false, errSpoiled)
		return unknown, errSpoiled
	}
	if err := consume(&Attempt{exchange: exchange, engine: engine, sentAt: sentAt}); err != nil {
		return d.consumeFailed(ctx, engine, err)
	}
	exchange.Finish()
	if exchange.Response().StatusCode >= http.StatusInternalServerError {
		d.registry.failed(engine, false, errServerError)
	} else {
		d.registry.succeeded(engine)
	}
	return succeeded, nil
}

func (d *Dispatcher) sendFailed(ctx context.Context, engine *Engine, err error) (attemptOutcome, error) {
	var failed *upstream.ErrExchange
	sent := errors.As(err, &failed) && failed.Sent
	var limit *upstream.ErrConnectionLimit
	switch {
	case errors.As(err, &limit):
		d.registry.markFull(engine)
		return refused, err
	case ctx.Err() != nil:
		if sent {
			return unknown, err
		}
		return notSent, err
	case !sent:
		d.registry.failed(engine, true, err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return gone, err
		}
		return notSent, err
	}
	d.registry.failed(engine, false, err)
	return unknown, err
}

func (d *Dispatcher) consumeFailed(ctx context.Context, engine *Engine, err error) (attemptOutcome, error) {
	var gone *ErrCallerGone
	var withdrawn *ErrWithdrawn
	if errors.As(err, &gone) || errors.As(err, &withdrawn) {
		return delivered, err
	}
	var broken *ErrResponse
	isBroken := errors.As(err, &broken)
	if ctx.Err() == nil && !(isBroken && broken.engineWell) {
		d.registry.failed(engine, false, err)
	}
	if isBroken && !broken.Delivered {
		return unknown, err
	}
	return delivered, err
}

// drainRefusal reads the rest of a refusal, so that the connection can serve again.
func (d *Dispatcher) drainRefusal(exchange *upstream.Exchange) {
	if response := exchange.Response(); response.ContentLength >= 0 && response.ContentLength <= maximalRefusalBytes {
		if discardBody(response) == nil {
			exchange.Finish()
		}
	}
}

// retryAfter adds when to come back to a failure of a call that was not run.
func retryAfter(failure *apierr.Error) *apierr.Error {
	return failure.WithRetryAfter(retryAfterNoEngine)
}
