package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/program"
)

// finishReasonLength is the finish reason of an answer that has reached its token limit.
const finishReasonLength = "length"

// chatExecution executes one chat-completions call, from admission to the last byte of the response.
type chatExecution struct {
	execution
	request chatRequest
	writer  answerWriter
	// publisher publishes the answer to other requests with the same idempotency key. It is nil without such a key, and before
	// the first attempt.
	publisher *answerPublisher

	// software is the software version of the engines that wrote the answer so far; nil if that is not known or nothing was
	// written.
	software *string

	// content and toolCalls are the answer so far, of all attempts.
	content      strings.Builder
	toolCalls    toolCallMerger
	stepTimer    engine.StepTimer
	usage        usageCounter
	finishReason string
}

func (e *chatExecution) run(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := executionContext(r, e.identity.idempotencyKey, e.timeout())
	defer cancel()
	if e.request.Stream {
		e.follow = e.followRunning
	}
	answer, err := e.runAttempts(ctx, w, e.admitWithHistory, e.attempt)
	e.publisher.close()
	e.gateway.options.Metrics.duration.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
	if err != nil {
		e.writeFailure(w, err)
		return
	}
	e.recordMetrics(answer)
	if err := e.writeRemainder(w, answer); err != nil {
		e.writeFailure(w, err)
		return
	}
	e.ensureWriter(w).finish(answer)
}

func (e *chatExecution) recordMetrics(answer *program.Answer) {
	metrics := e.gateway.options.Metrics
	metrics.calls.WithLabelValues(e.service).Inc()
	metrics.tokens.WithLabelValues(e.service, "prompt").Add(float64(answer.Usage.Prompt))
	metrics.tokens.WithLabelValues(e.service, "cached").Add(float64(answer.Usage.Cached))
	metrics.tokens.WithLabelValues(e.service, "completion").Add(float64(answer.Usage.Completion))
}

// writeFailure responds with an error, or ends a started stream with an error event.
func (e *chatExecution) writeFailure(w http.ResponseWriter, err error) {
	if e.writer == nil || !e.writer.hasStarted() {
		w.Header().Set(HeaderCall, e.begin.Admit.CallID)
		e.gateway.fail(w, err)
		return
	}
	failure := apierr.From(err, apierr.OutcomeUnknown)
	e.gateway.logFailure(failure)
	e.writer.abort(failure)
}

// ensureWriter returns the answer's writer, which is created when the first output is available.
func (e *chatExecution) ensureWriter(w http.ResponseWriter) answerWriter {
	if e.writer == nil {
		e.writer = newAnswerWriter(w, e)
	}
	return e.writer
}

// followRunning streams the running answer from the gateway that executes the call. If that gateway fails, this one may execute
// the call, and then continues after the content that it has streamed.
func (e *chatExecution) followRunning(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse) {
	e.publisher.close()
	e.publisher = nil
	read := 0
	e.gateway.options.AnswerRelay.follow(ctx, response.RunningAt, response.CallID, func(part answerReadResponse) bool {
		content := part.Content
		buffered := e.content.String()[min(read, e.content.Len()):]
		read += len(content)
		overlap := min(len(buffered), len(content))
		if buffered[:overlap] != content[:overlap] {
			// The call was executed again with another answer; writeRemainder returns the error.
			return false
		}
		if added := content[overlap:]; added != "" {
			e.content.WriteString(added)
			e.usage.follow(part.Deltas)
			e.software = part.Software
			e.ensureWriter(w).addDelta(engine.Delta{Content: added})
		}
		return true
	})
}

// writeRemainder writes the part of a joined answer after the content that was streamed already. It returns an error if the
// answer doesn't continue that content.
func (e *chatExecution) writeRemainder(w http.ResponseWriter, answer *program.Answer) error {
	if !e.joined || e.writer == nil || !e.writer.hasStarted() {
		return nil
	}
	stored, err := storedDelta(answer)
	if err != nil {
		return err
	}
	rest, continues := strings.CutPrefix(stored.Content, e.content.String())
	if !continues || e.toolCalls.hasStarted() {
		return apierr.New(apierr.EngineFailed, apierr.Ran, "the call was executed again and its answer differs from the streamed part; retry with the same key to get it")
	}
	if rest != "" || len(stored.ToolCalls) > 0 {
		e.writer.addDelta(engine.Delta{Content: rest, ToolCalls: stored.ToolCalls})
	}
	return nil
}

// admitWithHistory admits the call. If splitHistory was wrong about the first new message, the messages are split after the
// stored history instead.
func (e *chatExecution) admitWithHistory(ctx context.Context) (coordinator.BeginResponse, error) {
	response, err := e.admit(ctx)
	if err != nil || response.Conflict == nil {
		return response, err
	}
	stored := *response.Conflict
	messages := e.request.Messages
	if stored.Count >= len(messages) || (program.HistoryMark{}).Extend(messages[:stored.Count]) != stored {
		return response, historyConflict(stored)
	}
	e.begin.Admit.CallID = newCallID()
	e.begin.Admit.Base = stored
	e.begin.Admit.Messages = messages[stored.Count:]
	response, err = e.admit(ctx)
	if err == nil && response.Conflict != nil {
		return response, historyConflict(*response.Conflict)
	}
	return response, err
}

func historyConflict(stored program.HistoryMark) error {
	return apierr.New(apierr.HistoryConflict, apierr.NotRun,
		"the messages do not continue the program's history, which has %d messages; send all of them unchanged, or only new ones with %s: %s",
		stored.Count, HeaderHistory, historyDelta)
}

// attempt sends the call to one engine. It returns the committed answer, a RetryRequest, or a failure. The engine's slot is freed
// before anything is committed, because a commit may have to wait for the partition's leader.
func (e *chatExecution) attempt(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, requestedAt time.Time) (*program.Answer, *coordinator.RetryRequest, error) {
	target := *response.Engine
	e.stepTimer = engine.StepTimer{}
	if e.gateway.options.Pauses.PausedSince(requestedAt) || !e.mayContinueAt(target) {
		e.release(target, response.CallID, false, 0)
		return nil, e.retryRequest(response, true), nil
	}
	w.Header().Set(HeaderEngine, target.Name)
	sentAt := time.Now()
	err := e.stream(ctx, w, target, response)
	abandoned := err != nil && ctx.Err() != nil
	e.release(target, response.CallID, !abandoned && engineFailed(err), e.stepTimer.StepTime())
	e.attempted(ctx, target, sentAt, err)
	switch {
	case err == nil:
		return e.commit(ctx, response)
	case abandoned:
		return nil, nil, e.abandon(response.CallID, response.Attempt)
	}
	return e.handleFailure(ctx, response, err)
}

// engineFailed reports whether the error of an attempt counts as a failure of the engine. It doesn't if the engine refused the
// request or has loaded another model.
func engineFailed(err error) bool {
	var noModel *engine.ErrModelNotLoaded
	var refused *engine.ErrStatus
	switch {
	case err == nil, errors.As(err, &noModel):
		return false
	case errors.As(err, &refused):
		return refused.Temporary()
	}
	return true
}

// handleFailure decides whether a failed attempt is retried.
func (e *chatExecution) handleFailure(ctx context.Context, response coordinator.BeginResponse, cause error) (*program.Answer, *coordinator.RetryRequest, error) {
	e.gateway.options.Metrics.retries.WithLabelValues(e.service).Inc()
	var noModel *engine.ErrModelNotLoaded
	if errors.As(cause, &noModel) {
		// The engine is healthy and did not run the call: it has loaded another model since the placement.
		return nil, e.withSpent(e.retryWithoutModel(response)), nil
	}
	e.avoid = append(e.avoid, response.Engine.Name)
	var undelivered *engine.ErrNotSent
	var refused *engine.ErrStatus
	switch {
	case errors.As(cause, &undelivered):
		return nil, e.retryRequest(response, true), nil
	case errors.As(cause, &refused) && !refused.Temporary():
		if e.hasStarted() {
			// Another engine has accepted the request, so this one refuses only to resume the partial answer.
			return nil, e.retryRequest(response, false), nil
		}
		failure := apierr.New(apierr.InvalidRequest, apierr.Ran, "%s", refused)
		return nil, nil, e.commitFailure(ctx, response, failure, &program.Usage{})
	case e.toolCalls.hasStarted():
		// Another engine can't resume a partial tool call.
		failure := apierr.New(apierr.EngineFailed, apierr.Ran, "%s", cause)
		return nil, nil, e.commitFailure(ctx, response, failure, nil)
	}
	return nil, e.retryRequest(response, false), nil
}

// mayContinueAt reports whether an engine has the software version that began the answer. A call that this gateway took over from
// another one is placed without regard to that.
func (e *chatExecution) mayContinueAt(target engine.Target) bool {
	return e.software == nil || !e.hasStarted() || *e.software == target.Software
}

// hasStarted reports whether a part of the answer was received.
func (e *chatExecution) hasStarted() bool { return e.content.Len() > 0 || e.toolCalls.hasStarted() }

// retryRequest returns the request for another attempt.
func (e *chatExecution) retryRequest(response coordinator.BeginResponse, undelivered bool) *coordinator.RetryRequest {
	return e.withSpent(e.retry(response, undelivered))
}

// withSpent sets the cost of the call if it ends without another attempt: that of the partial answer, if the caller has received
// one.
func (e *chatExecution) withSpent(request *coordinator.RetryRequest) *coordinator.RetryRequest {
	if e.writer != nil && e.writer.hasStarted() {
		request.Spent = e.usage.usage().Total()
	}
	if e.hasStarted() {
		request.Software = e.software
	}
	return request
}

// stream forwards an engine's answer to the caller, except for its end, which must wait for the commit.
func (e *chatExecution) stream(ctx context.Context, w http.ResponseWriter, target engine.Target, response coordinator.BeginResponse) error {
	if e.publisher == nil && e.identity.idempotencyKey != "" {
		e.publisher = e.gateway.options.AnswerRelay.publish(response.CallID, e.content.String(), e.usage.completion(), e.software)
	}
	messages := append(response.History, e.request.Messages...)
	e.usage.startAttempt(promptBytes(messages) / program.BytesPerToken)
	resumed := e.content.Len() > 0
	if resumed && e.usage.completion() >= e.request.MaxTokens {
		// Only the end of the answer was lost: there are no tokens left to generate.
		if e.finishReason == "" {
			e.finishReason = finishReasonLength
		}
		return nil
	}
	chat := engine.ChatRequest{
		Model:      e.request.Model,
		Messages:   messages,
		MaxTokens:  e.request.MaxTokens - e.usage.completion(),
		Partial:    e.content.String(),
		Parameters: e.request.Parameters,
		Program:    coordinator.CacheID(e.identity.key),
		CallID:     response.CallID,
		Attempt:    response.Attempt,
	}
	attemptCtx, stallTimer := startWatchdog(ctx, e.settings)
	defer stallTimer.stop()
	deltas, err := e.gateway.options.Models.Chat(attemptCtx, target, chat)
	if err != nil {
		return e.attemptFailure(attemptCtx, response, err)
	}
	defer deltas.Close()
	if resumed {
		e.gateway.options.Logger.Emit(events.EngineResumed, events.F("call", response.CallID), events.F("engine", target.Name))
	}
	for {
		delta, err := deltas.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return e.attemptFailure(attemptCtx, response, err)
		}
		stallTimer.reset()
		if delta.Content != "" || len(delta.ToolCalls) > 0 {
			e.stepTimer.RecordChunk(time.Now())
			e.software = &target.Software
			if e.writer == nil {
				e.gateway.options.Metrics.firstToken.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
			}
		}
		e.handleDelta(w, delta)
	}
}

// attemptFailure returns the error of an attempt, which is ErrInterrupted if the watchdog has cancelled it.
func (e *chatExecution) attemptFailure(attemptCtx context.Context, response coordinator.BeginResponse, err error) error {
	var stalled *errStalled
	if !errors.As(context.Cause(attemptCtx), &stalled) {
		return err
	}
	e.gateway.options.Logger.Emit(events.EngineStalled, events.F("call", response.CallID), events.F("engine", response.Engine.Name), events.F("seconds", stalled.Limit.Seconds()))
	return &engine.ErrInterrupted{Cause: stalled}
}

// handleDelta adds a delta to the answer and forwards it.
func (e *chatExecution) handleDelta(w http.ResponseWriter, delta engine.Delta) {
	e.content.WriteString(delta.Content)
	if delta.Content != "" {
		e.publisher.add(delta.Content, e.software)
	}
	e.toolCalls.add(delta.ToolCalls)
	hasOutput := delta.Content != "" || len(delta.ToolCalls) > 0
	if hasOutput {
		e.usage.addDelta()
		e.finishReason = ""
	}
	if delta.FinishReason != "" {
		e.finishReason = delta.FinishReason
	}
	if delta.Usage != nil {
		e.usage.report(*delta.Usage)
	}
	if hasOutput {
		e.ensureWriter(w).addDelta(delta)
	}
}

// commit assembles and commits the answer. The caller gets the end of the answer only afterwards.
func (e *chatExecution) commit(ctx context.Context, response coordinator.BeginResponse) (*program.Answer, *coordinator.RetryRequest, error) {
	message, err := engine.NewAssistantMessage(e.content.String(), e.toolCalls.encoded())
	if err != nil {
		return nil, nil, err
	}
	answer := program.Answer{Message: message, FinishReason: e.finishReason, Model: e.request.Model, Usage: e.usage.usage()}
	return e.commitAnswer(ctx, response, answer)
}
