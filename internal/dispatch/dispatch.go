// Package dispatch runs calls on engines: it chooses an engine, sends the call, and decides after a
// failure whether to retry. A call that may run only once is retried only if it provably did not run.
//
// Usage:
//
//	dispatcher := dispatch.New(registry, protocol, logger)
//	err := dispatcher.Run(ctx, &dispatch.Call{...}, func(attempt *dispatch.Attempt) error {
//		... read attempt.Response() and relay it ...
//		return nil
//	})
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// maxAttempts bounds the attempts of a call, refused ones included; for a stream, the consecutive attempts
	// without an event.
	maxAttempts = 6
	// engineWaitTimeout is how long a call waits for a usable engine.
	engineWaitTimeout = 60 * time.Millisecond
	// pinnedWaitTimeout replaces engineWaitTimeout for calls that only engines of one software version can run, while any of
	// these is present. It bounds all attempts since the last event, and ends before callers give up a silent stream.
	pinnedWaitTimeout = 500 * time.Millisecond
	// engineWaitInterval is the polling interval of that wait.
	engineWaitInterval = 10 * time.Millisecond
	// noEngineRetryAfter is the Retry-After for callers if no engine was available.
	noEngineRetryAfter = 250 * time.Millisecond
)

// ResponseClass is the meaning of a response's status and headers.
type ResponseClass int

// The response classes.
const (
	// Answered means that the engine ran the call; the response is relayed to the caller.
	Answered ResponseClass = iota
	// Refused means that the engine is at capacity and did not run the call.
	Refused
	// Misdirected means that the address belongs to another engine, which did not run the call.
	Misdirected
	// Invalid means that the response is damaged or belongs to another call.
	Invalid
)

// Protocol adapts a Dispatcher to the engines of one platform.
type Protocol interface {
	// Prepare sets the headers of an attempt. It may modify header, which is a copy.
	Prepare(header http.Header, attempt AttemptInfo)
	// Classify returns the class of a response to the call with this ID, from its status and headers.
	Classify(response *http.Response, callID string) ResponseClass
}

// StartReporter is implemented by a Protocol whose engines tell when they started.
type StartReporter interface {
	// StartRequest returns the method and the target of the request for it.
	StartRequest() (method, target string)
	// StartedMillis returns when the engine started, from a response; 0 if that does not tell. See EngineSpecification.
	StartedMillis(status int, body []byte) int64
}

// AttemptInfo describes an attempt to a Protocol.
type AttemptInfo struct {
	Engine string
	// Timeout is the time until the attempt's deadline; 0 without one.
	Timeout  time.Duration
	Priority int
	// LastEvent is the event ID after which a stream continues. If it is empty, the stream begins at its start, or at
	// the position that the caller requested.
	LastEvent string
	// FromStart makes a stream without LastEvent begin at its start, whatever position the caller requested.
	FromStart bool
}

// Call is a caller's request.
type Call struct {
	ID        string
	Route     *routing.Route
	Placement Placement
	Request   upstream.Request
	Priority  int
	// Trace is filled in by Dispatcher.Run, for the call's log line.
	Trace Trace
	// Stream is set for streams that another attempt may continue.
	Stream Resumable
	// FromStart makes the first attempt begin at the stream's start, whatever position the caller requested.
	FromStart bool
	// Content returns the key of the call's content, which is equal for all attempts of its caller. The default is that of
	// Request. It is called at most once.
	Content func() fatal.Key

	contentOnce sync.Once
	contentKey  fatal.Key
	// interrupted is set once a run was interrupted, the last one at brokenAt, which was sent at brokenSentAt; unprobed is its engine until that was
	// probed.
	interrupted  bool
	brokenSentAt time.Time
	brokenAt     time.Time
	unprobed     *Engine
	// left is set once the caller has left a run.
	left bool
	// openRun is the name under which other nodes know the run in progress; nil if they don't. untold is set if none answered when they were told.
	openRun atomic.Pointer[string]
	untold  atomic.Bool
	// contended is set once another run of the content was in progress, or interrupted.
	contended bool
	// startedMillis is when the engine of the last attempt had started, as far as it was known then; see EngineSpecification.
	startedMillis int64
	// cancel cancels the attempt in progress, and answered is set once its response has begun.
	cancel   context.CancelFunc
	answered atomic.Bool
	// heardAt is when the engine of the last attempt sent something last; zero if it did not.
	heardAt time.Time
	// connectedAt is when the connection of the last attempt was opened; zero if there was no response.
	connectedAt time.Time
	// status is that of the last response; 0 if there was none.
	status int
}

// Trace records the placement of a call.
type Trace struct {
	// Engine is the ID of the last engine, Software the version of its software when it was chosen.
	Engine   string
	Software string
	// Sends is the number of attempts, refused ones included.
	Sends int
	// EngineWait is the time spent waiting for a usable engine.
	EngineWait time.Duration
	// Candidates is the number of engines that the last placement could choose from. InFlight, Load and LatencyRatio
	// describe the chosen engine: this gateway's calls in flight, the estimated calls in flight of all gateways, and
	// its latency relative to the service's average. LoadAge is the age of the other gateways' load report.
	Candidates   int
	InFlight     int
	Load         float64
	LoadAge      time.Duration
	LatencyRatio float64
	// Ends is the number of engines that ended under the call's content, as far as it was looked up.
	Ends int
}

// Attempt is an attempt whose response has begun.
type Attempt struct {
	exchange *upstream.Exchange
	engine   *Engine
	sentAt   time.Time
}

// Response returns the engine's response; the consumer reads its body.
func (a *Attempt) Response() *http.Response { return a.exchange.Response() }

// Engine returns the engine that runs the call.
func (a *Attempt) Engine() *Engine { return a.engine }

// Abort closes the connection to the engine; pending reads of the response fail.
func (a *Attempt) Abort() { a.exchange.Abort() }

// SentAt returns when the call was sent to the engine.
func (a *Attempt) SentAt() time.Time { return a.sentAt }

// ErrResponse means that the response was truncated or damaged. Consumers return it.
type ErrResponse struct {
	// Delivered is set if the caller already received a part of the response, so that no other response may follow. It
	// is not set for a stream that another attempt may continue.
	Delivered bool
	// engineHealthy is set if the failure must not count against the engine.
	engineHealthy bool
	cause         error
}

// ResponseError returns an ErrResponse for a failure that counts against the engine.
func ResponseError(delivered bool, cause error) error {
	return errors.WithStack(&ErrResponse{Delivered: delivered, cause: cause})
}

// MismatchError returns an ErrResponse for a response that does not match what the caller already has. It does not
// count against the engine, which stays in use for other calls.
func MismatchError(delivered bool, cause error) error {
	return errors.WithStack(&ErrResponse{Delivered: delivered, engineHealthy: true, cause: cause})
}

// ErrCallerGone means that the caller has disconnected.
type ErrCallerGone struct{ cause error }

// CallerGone returns an ErrCallerGone.
func CallerGone(cause error) error { return errors.WithStack(&ErrCallerGone{cause: cause}) }

// ErrWithdrawn means that the gateway itself canceled the call, as when the reservation of its tokens failed.
type ErrWithdrawn struct{ cause error }

// Withdrawn returns an ErrWithdrawn.
func Withdrawn(cause error) error { return errors.WithStack(&ErrWithdrawn{cause: cause}) }

// Error implements error.
func (e *ErrWithdrawn) Error() string { return "call canceled by the gateway: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrWithdrawn) Unwrap() error { return e.cause }

// Error implements error.
func (e *ErrCallerGone) Error() string { return "caller disconnected: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrCallerGone) Unwrap() error { return e.cause }

// Error implements error.
func (e *ErrResponse) Error() string { return "engine response failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrResponse) Unwrap() error { return e.cause }

// Dispatcher runs calls on engines. All methods may be called concurrently.
type Dispatcher struct {
	registry *Registry
	protocol Protocol
	logger   *events.Logger
	retries  *retryBudget
	// announced are the calls that may have told other nodes of a run, running those that an engine runs.
	announced runningCalls
	running   runningCalls
	// looks deduplicates the looks of waiting calls, by their content.
	looks singleflight.Group
}

// New returns a Dispatcher that chooses among the registry's engines.
func New(registry *Registry, protocol Protocol, logger *events.Logger) *Dispatcher {
	dispatcher := &Dispatcher{registry: registry, protocol: protocol, logger: logger, retries: newRetryBudget()}
	registry.onReport = dispatcher.applyNews
	return dispatcher
}

// Run runs a call on an engine and passes the response to consume, once for each attempt that gets one. The error is an
// apierr.Error that tells whether the call ran, or the error of consume if no other attempt may follow.
func (d *Dispatcher) Run(ctx context.Context, call *Call, consume func(*Attempt) error) error {
	d.announced.add(call)
	defer d.announced.remove(call)
	err := d.run(ctx, call, consume)
	d.finishCall(ctx, call, err)
	return err
}

func (d *Dispatcher) run(ctx context.Context, call *Call, consume func(*Attempt) error) error {
	d.retries.earn()
	progress := &progress{call: call}
	call.Placement.Excluded = make(map[string]bool)
	for {
		if err := d.admit(ctx, call, progress); err != nil {
			return err
		}
		d.isolate(call)
		resumeOn := progress.resumeOn
		engine, err := d.nextEngine(ctx, call, progress)
		if err != nil {
			return err
		}
		attemptContext, cancel := context.WithCancel(ctx)
		call.cancel = cancel
		call.startedMillis = d.registry.knownStart(engine)
		call.answered.Store(false)
		d.running.add(call)
		if !d.mayBegin(call) {
			d.running.remove(call)
			cancel()
			d.registry.release(engine, call.Placement.Isolated)
			progress.resumeOn = resumeOn
			continue
		}
		call.Trace.Sends++
		if call.Stream != nil {
			call.Stream.Placed(ctx, call.Trace.Software)
		}
		resumption := newResumption(call, engine, progress.ran)
		sentAt := time.Now()
		outcome, err := d.attemptWithTimeout(attemptContext, call, engine, progress, resumption, consume)
		d.running.remove(call)
		cancel()
		d.registry.release(engine, call.Placement.Isolated)
		d.recordInterruption(ctx, call, engine, sentAt, outcome, err)
		d.recordEnd(call, engine, sentAt, outcome)
		resumption.report(call, outcome, err)
		if outcome == succeeded {
			return nil
		}
		ended := d.prove(ctx, call, outcome)
		if !progress.mayRetry(ctx, outcome, engine, d.retries) {
			if outcome != delivered && d.endedEnough(call) {
				return d.refuse(call, progress)
			}
			return progress.finalError(ctx, outcome, err)
		}
		if ended {
			progress.leave(engine, d.retries)
		}
		d.logger.Emit(events.AttemptRetried, events.F("request", call.ID), events.F("engine", engine.ID()),
			events.F("software", call.Trace.Software), events.F("outcome", outcome.String()), events.F("error", err), events.F("sends", call.Trace.Sends))
	}
}

// nextEngine returns the previous engine if a stream is resumed there, and otherwise chooses an engine.
func (d *Dispatcher) nextEngine(ctx context.Context, call *Call, progress *progress) (*Engine, error) {
	resumeOn := progress.resumeOn
	if resumeOn == nil {
		return d.waitForEngine(ctx, call, progress)
	}
	progress.resumeOn = nil
	clock.Sleep(ctx, progress.resumeDelay())
	switch d.registry.acquire(resumeOn, call.Placement, &call.Trace) {
	case present:
		return resumeOn, nil
	case draining:
		// The engine may still be running the call, so it counts towards the route's limit.
		if call.Route.Attempts() <= 1 {
			return nil, progress.noEngineError(ctx)
		}
	}
	call.Placement.Excluded[resumeOn.ID()] = true
	return d.waitForEngine(ctx, call, progress)
}

func (d *Dispatcher) waitForEngine(ctx context.Context, call *Call, progress *progress) (*Engine, error) {
	startedAt := time.Now()
	waitUntil := startedAt.Add(engineWaitTimeout)
	if call.Placement.Pinned {
		waitUntil = progress.pinnedWaitUntil(startedAt)
		d.registry.beginWait(call.Placement)
		defer d.registry.endWait(call.Placement)
	}
	defer func() { call.Trace.EngineWait += time.Since(startedAt) }()
	for {
		now := time.Now()
		if engine := d.registry.choose(now, call.Placement, &call.Trace); engine != nil {
			return engine, nil
		}
		hopeless := call.Placement.Pinned && !d.registry.hasEngineFor(now, call.Placement)
		if expired(ctx) || now.After(waitUntil) || hopeless {
			return nil, progress.noEngineError(ctx)
		}
		clock.Sleep(ctx, engineWaitInterval)
	}
}

// attemptWithTimeout limits the time of an attempt while another engine may still run the call.
// Otherwise a response that an engine has lost would use up the call's whole deadline.
func (d *Dispatcher) attemptWithTimeout(ctx context.Context, call *Call, engine *Engine, progress *progress, resumption *Resumption, consume func(*Attempt) error) (attemptOutcome, error) {
	timeout, limited := progress.attemptTimeout(ctx, time.Now())
	if !limited {
		return d.attempt(ctx, call, engine, resumption, consume)
	}
	attemptContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := d.attempt(attemptContext, call, engine, resumption, consume)
	if attemptContext.Err() != nil && ctx.Err() == nil {
		d.registry.failed(engine, false, errAttemptTimeout)
	}
	return outcome, err
}

// attempt sends a call once and sets resumption.Status.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, engine *Engine, resumption *Resumption, consume func(*Attempt) error) (attemptOutcome, error) {
	call.connectedAt, call.heardAt, call.status = time.Time{}, time.Time{}, 0
	request := call.Request
	request.Header = call.Request.Header.Clone()
	sentAt := time.Now()
	timeout := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		timeout = deadline.Sub(sentAt)
	}
	info := AttemptInfo{Engine: engine.ID(), Timeout: timeout, Priority: call.Priority, LastEvent: resumption.LastEvent, FromStart: call.FromStart}
	d.protocol.Prepare(request.Header, info)
	exchange, err := engine.pool.Send(ctx, &request)
	if err != nil {
		return d.sendFailed(ctx, engine, err)
	}
	defer exchange.Abort()
	call.heardAt = exchange.HeardAt()
	call.answered.Store(true)
	call.connectedAt, call.status = exchange.OpenedAt(), exchange.Response().StatusCode
	resumption.Status = exchange.Response().StatusCode
	switch d.protocol.Classify(exchange.Response(), call.ID) {
	case Refused:
		d.registry.markFull(engine)
		exchange.Discard(maxRefusalBytes)
		return refused, errRefused
	case Misdirected:
		d.registry.markMisdirected(engine)
		return misdirected, errMisdirected
	case Invalid:
		d.registry.failed(engine, false, errInvalid)
		return unknown, errInvalid
	}
	if err := consume(&Attempt{exchange: exchange, engine: engine, sentAt: sentAt}); err != nil {
		call.heardAt = exchange.HeardAt()
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
	var exhausted *membudget.ErrExhausted
	switch {
	case sent && errors.As(err, &exhausted):
		// This gateway has no memory for the head, which tells nothing of the engine.
		return unknown, err
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
	var callerGone *ErrCallerGone
	var withdrawn *ErrWithdrawn
	if errors.As(err, &callerGone) || errors.As(err, &withdrawn) {
		return delivered, err
	}
	var failure *ErrResponse
	isFailure := errors.As(err, &failure)
	if ctx.Err() == nil && !(isFailure && failure.engineHealthy) {
		d.registry.failed(engine, false, err)
	}
	if isFailure && !failure.Delivered {
		return unknown, err
	}
	return delivered, err
}

// withRetryAfter sets the Retry-After of an error for a call that did not run.
func withRetryAfter(failure *apierr.Error) *apierr.Error {
	return failure.WithRetryAfter(noEngineRetryAfter)
}
