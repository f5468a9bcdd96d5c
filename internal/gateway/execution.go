package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// execution takes one call from its booking to its commit. What is sent to an engine, and how its
// answer is taken, is the caller's: see chatExecution and applicationExecution.
type execution struct {
	gateway  *Gateway
	identity identity
	service  string
	settings *resource.Service
	started  time.Time
	begin    coordinator.BeginRequest
	// follow, if set, passes on the running answer of the call which this one repeats.
	follow func(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse)
	// joined is set if the answer is that of the call which this one repeats.
	joined bool
	// avoid are the engines on which the call has failed.
	avoid []string
	// refusals counts the attempts that an engine refused, for it had not loaded the model.
	refusals int
}

// attempt sends a call to the engine of a response. It returns the committed answer, or how to go
// on, or a failure.
type attempt func(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, asked time.Time) (*program.Answer, *coordinator.RetryRequest, error)

// limit is how long the call may take in all.
func (e *execution) limit() time.Duration {
	return time.Duration((e.settings.CallSeconds + e.settings.QueueSeconds) * float64(time.Second))
}

// drive books a call and makes attempts until one is committed or the coordinator refuses another.
func (e *execution) drive(ctx context.Context, w http.ResponseWriter, book func(context.Context) (coordinator.BeginResponse, error), try attempt) (*program.Answer, error) {
	defer e.hold()()
	asked := time.Now()
	response, err := book(ctx)
	for {
		if err != nil {
			return nil, err
		}
		if response.RunningAt != "" {
			if e.follow != nil {
				e.follow(ctx, w, response)
			}
			e.begin.WaitForEnd = true
			asked = time.Now()
			response, err = book(ctx)
			continue
		}
		if response.Answer != nil {
			e.joined = true
			e.gateway.options.Metrics.joinedCalls.Inc()
			return response.Answer, nil
		}
		// The call may be one that an earlier request with the same key has begun.
		e.begin.Admit.CallID = response.CallID
		w.Header().Set(HeaderCall, response.CallID)
		answer, retry, failure := try(ctx, w, response, asked)
		if retry == nil {
			return answer, failure
		}
		asked = time.Now()
		response, err = e.gateway.options.Coordinator.Retry(ctx, *retry)
		if err != nil && ctx.Err() != nil {
			return nil, e.abandon(e.begin.Admit.CallID, retry.Attempt)
		}
	}
}

// hold makes this node answer for the execution until release is called.
func (e *execution) hold() (release func()) {
	return e.gateway.options.Executions.Hold(e.begin.Execution)
}

// book admits the call; a caller that leaves while it waits is reported to the coordinator.
func (e *execution) book(ctx context.Context) (coordinator.BeginResponse, error) {
	client := e.gateway.options.Coordinator
	stop := context.AfterFunc(ctx, func() { client.Cancel(e.begin.Partition, e.begin.Admit.CallID) })
	defer stop()
	return client.Begin(ctx, e.begin)
}

// release gives the place on the engine back and tells its owner whether it worked, and how long its
// steps took, if that is known.
func (e *execution) release(target engine.Target, callID string, failed bool, step time.Duration) {
	e.gateway.options.Release(e.engineResource(target), owner.ReleaseRequest{Engine: target.Name, CallID: callID, Failed: failed, StepMicros: step.Microseconds()})
}

func (e *execution) engineResource(target engine.Target) resource.Engine {
	if found, known := e.gateway.options.Config.Current().Set.Engine(target.Pool, target.Name); known {
		return found
	}
	return resource.Engine{Name: target.Name, URL: target.URL}
}

func (e *execution) retry(response coordinator.BeginResponse, undelivered bool) *coordinator.RetryRequest {
	return &coordinator.RetryRequest{Begin: e.begin, Attempt: response.Attempt, Undelivered: undelivered, Avoid: e.avoid, ModelRefusals: e.refusals}
}

// retryWithoutModel asks for another attempt after an engine refused the call, for it had not loaded the
// model. Where engines load models, it may get the call again once it has done so.
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

// store commits an answer.
func (e *execution) store(ctx context.Context, response coordinator.BeginResponse, answer program.Answer) (*program.Answer, *coordinator.RetryRequest, error) {
	if answer.Usage.Total() > e.begin.Admit.Reserve {
		e.gateway.options.Logger.Emit(events.BudgetOverrun, events.F("call", response.CallID), events.F("tokens", answer.Usage.Total()))
	}
	request := coordinator.FinishRequest{
		Partition: e.begin.Partition,
		Complete:  program.Complete{CallID: response.CallID, Program: e.identity.key, Attempt: response.Attempt, Answer: answer},
	}
	result, err := e.gateway.options.Coordinator.Finish(context.WithoutCancel(ctx), request)
	if err != nil {
		// The call must not stay open: whoever repeats it would wait for an end that nobody brings.
		release := e.hold()
		go func() {
			defer release()
			e.gateway.keepFinishing(request)
		}()
	}
	switch {
	case err != nil:
		return nil, nil, unknownOutcome(err)
	case result.Error != nil:
		return nil, nil, result.Error
	case result.State != program.Completed:
		return nil, nil, apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "this attempt was given up while it ran; another one may be under way")
	}
	return &answer, nil, nil
}

// unknownOutcome makes sure that a failure after sending is never taken for "not run".
func unknownOutcome(err error) error {
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	failure.Outcome = apierr.OutcomeUnknown
	return &failure
}

// settleFailure records that the call ends without an answer.
func (e *execution) settleFailure(ctx context.Context, response coordinator.BeginResponse, failure *apierr.Error, usage *program.Usage) error {
	_, err := e.gateway.options.Coordinator.Fail(context.WithoutCancel(ctx), coordinator.FailRequest{
		Partition: e.begin.Partition,
		Fail:      program.Fail{CallID: response.CallID, Program: e.identity.key, Attempt: response.Attempt, Error: failure, Usage: usage},
	})
	if err != nil && !apierr.Is(err, failure.Code) {
		return unknownOutcome(err)
	}
	return failure
}

// abandon settles a call whose caller is gone, or whose time is over, while an engine had it.
func (e *execution) abandon(callID string, attempt int) error {
	failure := apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the call was given up before its answer was whole")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.CallSeconds*float64(time.Second)))
	defer cancel()
	return e.settleFailure(ctx, coordinator.BeginResponse{CallID: callID, Attempt: attempt}, failure, nil)
}

const (
	// finishPatience is how long a gateway goes on bringing an answer to a coordinator that it could
	// not reach; finishPause is between tries.
	finishPatience = 5 * time.Minute
	finishPause    = time.Second
)

// keepFinishing commits an answer once the coordinator can be reached again.
func (g *Gateway) keepFinishing(request coordinator.FinishRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), finishPatience)
	defer cancel()
	ticker := time.NewTicker(finishPause)
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
