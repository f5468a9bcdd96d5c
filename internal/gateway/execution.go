package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// execution takes one call from its admission to the commit of its answer. chatExecution and applicationExecution implement the
// attempts at engines.
type execution struct {
	gateway  *Gateway
	identity identity
	service  string
	settings *resource.Service
	started  time.Time
	begin    coordinator.BeginRequest
	// follow, if set, forwards the running answer of the call that this one repeats.
	follow func(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse)
	// joined is set if the answer is that of the call that this one repeats.
	joined bool
	// avoid are the engines on which the call has failed.
	avoid []string
	// contentKey returns the key of the call's content. ends follows the ends of engines under the call, from the first attempt on.
	contentKey func() fatal.Key
	ends       *callEnds
	// refusals counts the attempts that were refused because the engine had not loaded the model.
	refusals int
}

// attempt sends a call to the engine of a response. It returns the committed answer, a RetryRequest, or a failure. requestedAt
// is when the response was requested from the coordinator: the attempt isn't sent if the process was paused since.
type attempt func(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, requestedAt time.Time) (*program.Answer, *coordinator.RetryRequest, error)

// timeout returns the limit on the call's total time.
func (e *execution) timeout() time.Duration {
	return time.Duration((e.settings.CallSeconds + e.settings.QueueSeconds) * float64(time.Second))
}

// runAttempts admits a call and makes attempts until one is committed or the coordinator refuses another.
func (e *execution) runAttempts(ctx context.Context, w http.ResponseWriter, admit func(context.Context) (coordinator.BeginResponse, error), try attempt) (*program.Answer, error) {
	defer e.holdExecution()()
	answer, err := e.attemptUntilDone(ctx, w, admit, try)
	if e.ends != nil {
		e.ends.ended(ctx, err == nil && !e.joined)
	}
	return answer, err
}

func (e *execution) attemptUntilDone(ctx context.Context, w http.ResponseWriter, admit func(context.Context) (coordinator.BeginResponse, error), try attempt) (*program.Answer, error) {
	requestedAt := time.Now()
	response, err := admit(ctx)
	sent := false
	for {
		if err != nil {
			return nil, e.routingFailure(err, sent)
		}
		if response.RunningAt != "" {
			if e.follow != nil {
				e.follow(ctx, w, response)
			}
			e.begin.WaitForEnd = true
			requestedAt = time.Now()
			response, err = admit(ctx)
			continue
		}
		if response.Answer != nil {
			e.joined = true
			e.gateway.options.Metrics.joinedCalls.Inc()
			return response.Answer, nil
		}
		// The call may have been admitted by an earlier request with the same key.
		e.begin.Admit.CallID = response.CallID
		w.Header().Set(HeaderCall, response.CallID)
		if e.endsItsEngines(ctx, response) {
			return nil, e.endsEngines(ctx, response)
		}
		sent = true
		answer, retry, failure := try(ctx, w, response, requestedAt)
		if retry == nil {
			return answer, failure
		}
		requestedAt = time.Now()
		response, err = e.gateway.options.Coordinator.Retry(ctx, *retry)
		if err != nil && ctx.Err() != nil {
			return nil, e.abandon(e.begin.Admit.CallID, retry.Attempt)
		}
	}
}

// endsItsEngines reports whether the call ends the engines that run it.
func (e *execution) endsItsEngines(ctx context.Context, response coordinator.BeginResponse) bool {
	if e.gateway.options.Ends == nil {
		return false
	}
	if e.ends == nil {
		e.ends = e.gateway.options.Ends.follow(response.CallID, e.contentKey())
	}
	return e.ends.admit(ctx)
}

// attempted records the result of an attempt that began at a time.
func (e *execution) attempted(ctx context.Context, target engine.Target, sentAt time.Time, err error) {
	if e.ends != nil {
		e.ends.attempted(ctx, target, sentAt, err)
	}
}

// routingFailure returns the error of a request to the coordinator for the caller. A call without an idempotency key is sent to
// engines by this gateway only. If the gateway gives up before it has got an engine, the call has not run, whether or not it was
// admitted: the coordinator ends an admitted call that no gateway executes.
func (e *execution) routingFailure(err error, sent bool) error {
	if sent || e.identity.idempotencyKey != "" || !apierr.Is(err, apierr.PartitionUnavailable) {
		return err
	}
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	failure.Outcome = apierr.NotRun
	return &failure
}

// holdExecution keeps the execution in the set that coordinators check until release is called.
func (e *execution) holdExecution() (release func()) {
	return e.gateway.options.Executions.Hold(e.begin.Execution)
}

// admit admits the call and waits for an engine. If the context ends meanwhile, the coordinator is notified.
func (e *execution) admit(ctx context.Context) (coordinator.BeginResponse, error) {
	client := e.gateway.options.Coordinator
	cancel := func() { client.Cancel(e.begin.Partition, e.begin.Admit.CallID) }
	stop := context.AfterFunc(ctx, cancel)
	response, err := client.Begin(ctx, e.begin)
	if stop() && ctx.Err() != nil {
		// Begin returned at the end of the context before the function was started.
		go cancel()
	}
	return response, err
}

// release frees the slot on the engine, and reports to the engine's owner whether the attempt failed and how long its steps took.
// A step of 0 is unknown.
func (e *execution) release(target engine.Target, callID string, failed bool, step time.Duration) {
	e.gateway.options.Release(e.engineResource(target), owner.ReleaseRequest{Engine: target.Name, CallID: callID, Failed: failed, StepMicros: step.Microseconds()})
}

// engineResource returns the configured engine of a target, or one of the same name and URL if it was removed.
func (e *execution) engineResource(target engine.Target) resource.Engine {
	if found, known := e.gateway.options.Config.Current().Set.Engine(target.Pool, target.Name); known {
		return found
	}
	return resource.Engine{Name: target.Name, URL: target.URL}
}

func (e *execution) retry(response coordinator.BeginResponse, undelivered bool) *coordinator.RetryRequest {
	return &coordinator.RetryRequest{Begin: e.begin, Attempt: response.Attempt, Undelivered: undelivered, Avoid: e.avoid, ModelRefusals: e.refusals}
}

// retryWithoutModel returns the request for another attempt after an engine refused the call because it had not loaded the model.
// If the pool loads models, the engine is not avoided: it may get the call once it has loaded the model.
func (e *execution) retryWithoutModel(response coordinator.BeginResponse) *coordinator.RetryRequest {
	pool, known := e.gateway.options.Config.Current().Set.Pool(response.Engine.Pool)
	if !known || pool.Loading == nil {
		e.avoid = append(e.avoid, response.Engine.Name)
		return e.retry(response, true)
	}
	e.refusals++
	retry := e.retry(response, true)
	retry.EngineWithoutModel, retry.WaitedMillis = response.Engine.Name, response.WaitedMillis
	return retry
}

// commitAnswer commits an answer.
func (e *execution) commitAnswer(ctx context.Context, response coordinator.BeginResponse, answer program.Answer) (*program.Answer, *coordinator.RetryRequest, error) {
	if answer.Usage.Total() > e.begin.Admit.Reserve {
		e.gateway.options.Logger.Emit(events.BudgetOverrun, events.F("call", response.CallID), events.F("tokens", answer.Usage.Total()))
	}
	request := coordinator.FinishRequest{
		Partition: e.begin.Partition,
		Complete:  program.Complete{CallID: response.CallID, Program: e.identity.key, Attempt: response.Attempt, Answer: answer},
	}
	result, err := e.gateway.options.Coordinator.Finish(context.WithoutCancel(ctx), request)
	if err != nil {
		// The call must not stay open, or repeats of it would wait for an end that never comes.
		release := e.holdExecution()
		go func() {
			defer release()
			e.gateway.retryFinish(request)
		}()
	}
	switch {
	case err != nil:
		return nil, nil, withUnknownOutcome(err)
	case result.Error != nil:
		return nil, nil, result.Error
	case result.State != program.Completed:
		return nil, nil, apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "this attempt was marked as lost while it ran; another one may be in progress")
	}
	return &answer, nil, nil
}

// withUnknownOutcome sets the outcome of a failure after sending to OutcomeUnknown, so that it is never reported as NotRun.
func withUnknownOutcome(err error) error {
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	failure.Outcome = apierr.OutcomeUnknown
	return &failure
}

// commitFailure commits that the call ends without an answer, and returns the error for the caller.
func (e *execution) commitFailure(ctx context.Context, response coordinator.BeginResponse, failure *apierr.Error, usage *program.Usage) error {
	_, err := e.gateway.options.Coordinator.Fail(context.WithoutCancel(ctx), coordinator.FailRequest{
		Partition: e.begin.Partition,
		Fail:      program.Fail{CallID: response.CallID, Program: e.identity.key, Attempt: response.Attempt, Error: failure, Usage: usage},
	})
	if err != nil && !apierr.Is(err, failure.Code) {
		return withUnknownOutcome(err)
	}
	return failure
}

// abandon commits the failure of a call whose caller has disconnected, or whose timeout has passed, after it was dispatched.
func (e *execution) abandon(callID string, attempt int) error {
	failure := apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the call was cancelled before its answer was complete")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.CallSeconds*float64(time.Second)))
	defer cancel()
	return e.commitFailure(ctx, coordinator.BeginResponse{CallID: callID, Attempt: attempt}, failure, nil)
}

const (
	// finishRetryTimeout is how long a gateway retries the commit of an answer while the coordinator is unavailable, and
	// finishRetryInterval the time between retries.
	finishRetryTimeout  = 5 * time.Minute
	finishRetryInterval = time.Second
)

// retryFinish retries the commit of an answer while the partition is unavailable, up to finishRetryTimeout.
func (g *Gateway) retryFinish(request coordinator.FinishRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), finishRetryTimeout)
	defer cancel()
	ticker := time.NewTicker(finishRetryInterval)
	defer ticker.Stop()
	for {
		_, err := g.options.Coordinator.Finish(ctx, request)
		if !apierr.Is(err, apierr.PartitionUnavailable) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
