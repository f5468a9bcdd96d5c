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

// finishLength is the reason of an answer that its token limit has ended.
const finishLength = "length"

// chatExecution takes one model call from its booking to the last byte.
type chatExecution struct {
	execution
	request chatRequest
	writer  answerWriter
	// live lets repeats of the call follow its answer while this request executes it.
	live *livePublisher

	// content and toolCalls are the answer so far, over all attempts.
	content   strings.Builder
	toolCalls toolCallMerger
	pace      engine.Pace
	usage     usageCounter
	finish    string
}

func (e *chatExecution) run(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := executionContext(r, e.identity.idempotencyKey, e.limit())
	defer cancel()
	if e.request.Stream {
		e.follow = e.followLive
	}
	answer, err := e.drive(ctx, w, e.bookHistory, e.attempt)
	e.live.close()
	e.gateway.options.Metrics.duration.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
	if err != nil {
		e.writeFailure(w, err)
		return
	}
	e.count(answer)
	if err := e.passRest(w, answer); err != nil {
		e.writeFailure(w, err)
		return
	}
	e.ensureWriter(w).finish(answer)
}

func (e *chatExecution) count(answer *program.Answer) {
	metrics := e.gateway.options.Metrics
	metrics.calls.WithLabelValues(e.service).Inc()
	metrics.tokens.WithLabelValues(e.service, "prompt").Add(float64(answer.Usage.Prompt))
	metrics.tokens.WithLabelValues(e.service, "cached").Add(float64(answer.Usage.Cached))
	metrics.tokens.WithLabelValues(e.service, "completion").Add(float64(answer.Usage.Completion))
}

// writeFailure answers with an error, or ends a stream that has begun with an error event.
func (e *chatExecution) writeFailure(w http.ResponseWriter, err error) {
	if e.writer == nil || !e.writer.begun() {
		w.Header().Set(HeaderCall, e.begin.Admit.CallID)
		e.gateway.fail(w, err)
		return
	}
	failure := apierr.From(err, apierr.OutcomeUnknown)
	e.gateway.logFailure(failure)
	e.writer.abort(failure)
}

// ensureWriter makes the answer's form when the first piece, or the whole, is there.
func (e *chatExecution) ensureWriter(w http.ResponseWriter) answerWriter {
	if e.writer == nil {
		e.writer = newAnswerWriter(w, e)
	}
	return e.writer
}

// followLive streams what another gateway has of the running answer. If that gateway is lost, this
// one may take the call over, and then continues from the text that it holds.
func (e *chatExecution) followLive(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse) {
	e.live.close()
	e.live = nil
	read := 0
	e.gateway.options.AnswerRelay.follow(ctx, response.RunningAt, response.CallID, func(content string, pieces int64) bool {
		held := e.content.String()[min(read, e.content.Len()):]
		read += len(content)
		overlap := min(len(held), len(content))
		if held[:overlap] != content[:overlap] {
			// The call was executed anew, with another answer; passRest tells the caller.
			return false
		}
		if added := content[overlap:]; added != "" {
			e.content.WriteString(added)
			e.usage.follow(pieces)
			e.ensureWriter(w).piece(engine.Delta{Content: added})
		}
		return true
	})
}

// passRest sends what a followed answer has beyond the text that was streamed already.
func (e *chatExecution) passRest(w http.ResponseWriter, answer *program.Answer) error {
	if !e.joined || e.writer == nil || !e.writer.begun() {
		return nil
	}
	stored, err := storedDelta(answer)
	if err != nil {
		return err
	}
	rest, continues := strings.CutPrefix(stored.Content, e.content.String())
	if !continues || e.toolCalls.begun() {
		return apierr.New(apierr.EngineFailed, apierr.Ran, "the call was executed anew and its answer differs from what was streamed; repeat with the same key to get it")
	}
	if rest != "" || len(stored.ToolCalls) > 0 {
		e.writer.piece(engine.Delta{Content: rest, ToolCalls: stored.ToolCalls})
	}
	return nil
}

// bookHistory admits the call. If the guess about where the new messages begin was wrong, it is
// made again from what is stored.
func (e *chatExecution) bookHistory(ctx context.Context) (coordinator.BeginResponse, error) {
	response, err := e.book(ctx)
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
	response, err = e.book(ctx)
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

// attempt sends the call to one engine. It returns the answer, or how to go on, or a failure.
func (e *chatExecution) attempt(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, asked time.Time) (*program.Answer, *coordinator.RetryRequest, error) {
	target := *response.Engine
	failed := true
	e.pace = engine.Pace{}
	defer func() { e.release(target, response.CallID, failed, e.pace.Step()) }()
	if e.gateway.options.Pauses.PausedSince(asked) {
		failed = false
		return nil, e.retryAfter(response, true), nil
	}
	w.Header().Set(HeaderEngine, target.Name)
	err := e.stream(ctx, w, target, response)
	if err == nil {
		failed = false
		return e.commit(ctx, response)
	}
	if ctx.Err() != nil {
		failed = false
		return nil, nil, e.abandon(response.CallID, response.Attempt)
	}
	return e.afterFailure(ctx, response, err, &failed)
}

// afterFailure decides what a failed attempt means.
func (e *chatExecution) afterFailure(ctx context.Context, response coordinator.BeginResponse, cause error, failed *bool) (*program.Answer, *coordinator.RetryRequest, error) {
	e.gateway.options.Metrics.retries.WithLabelValues(e.service).Inc()
	var noModel *engine.ErrNoModel
	if errors.As(cause, &noModel) {
		// The engine works, and did not run the call: it has loaded another model meanwhile.
		*failed = false
		return nil, e.withSpent(e.retryWithoutModel(response)), nil
	}
	e.avoid = append(e.avoid, response.Engine.Name)
	var undelivered *engine.ErrUndelivered
	var refused *engine.ErrRefused
	switch {
	case errors.As(cause, &undelivered):
		return nil, e.retryAfter(response, true), nil
	case errors.As(cause, &refused) && !refused.Temporary():
		*failed = false
		if e.begun() {
			// An engine has taken the caller's request: what this one refuses is to go on with the answer.
			return nil, e.retryAfter(response, false), nil
		}
		failure := apierr.New(apierr.InvalidRequest, apierr.Ran, "%s", refused)
		return nil, nil, e.settleFailure(ctx, response, failure, &program.Usage{})
	case e.toolCalls.begun():
		// A cut-off tool call can't be continued on another engine from the pieces already sent.
		failure := apierr.New(apierr.EngineFailed, apierr.Ran, "%s", cause)
		return nil, nil, e.settleFailure(ctx, response, failure, nil)
	}
	return nil, e.retryAfter(response, false), nil
}

// begun tells whether a part of the answer is here.
func (e *chatExecution) begun() bool { return e.content.Len() > 0 || e.toolCalls.begun() }

// retryAfter asks for another attempt.
func (e *chatExecution) retryAfter(response coordinator.BeginResponse, undelivered bool) *coordinator.RetryRequest {
	return e.withSpent(e.retry(response, undelivered))
}

// withSpent tells what the call costs if there is no other attempt: that of which its caller has a part is not free.
func (e *chatExecution) withSpent(request *coordinator.RetryRequest) *coordinator.RetryRequest {
	if e.writer != nil && e.writer.begun() {
		request.Spent = e.usage.usage().Total()
	}
	return request
}

// stream passes an engine's answer on, all but its end.
func (e *chatExecution) stream(ctx context.Context, w http.ResponseWriter, target engine.Target, response coordinator.BeginResponse) error {
	if e.live == nil && e.identity.idempotencyKey != "" {
		e.live = e.gateway.options.AnswerRelay.publish(response.CallID, e.content.String(), e.usage.completion())
	}
	messages := append(response.History, e.request.Messages...)
	e.usage.begin(promptBytes(messages) / program.BytesPerToken)
	resumed := e.content.Len() > 0
	if resumed && e.usage.completion() >= e.request.MaxTokens {
		// Only the end of the answer was lost.
		if e.finish == "" {
			e.finish = finishLength
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
	watched, dog := watch(ctx, e.settings)
	defer dog.stop()
	pieces, err := e.gateway.options.Models.Chat(watched, target, chat)
	if err != nil {
		return e.attemptFailure(watched, response, err)
	}
	defer pieces.Close()
	if resumed {
		e.gateway.options.Logger.Emit(events.EngineResumed, events.F("call", response.CallID), events.F("engine", target.Name))
	}
	for {
		delta, err := pieces.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return e.attemptFailure(watched, response, err)
		}
		dog.heard()
		if delta.Content != "" || len(delta.ToolCalls) > 0 {
			e.pace.Note(time.Now())
			if e.writer == nil {
				e.gateway.options.Metrics.firstToken.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
			}
		}
		e.take(w, delta)
	}
}

// attemptFailure tells a stalled engine from one that has failed by itself.
func (e *chatExecution) attemptFailure(watched context.Context, response coordinator.BeginResponse, err error) error {
	var stalled *errStalled
	if !errors.As(context.Cause(watched), &stalled) {
		return err
	}
	e.gateway.options.Logger.Emit(events.EngineStalled, events.F("call", response.CallID), events.F("engine", response.Engine.Name), events.F("seconds", stalled.Limit.Seconds()))
	return &engine.ErrBroken{Cause: stalled}
}

// take adds a piece to the answer and passes it on.
func (e *chatExecution) take(w http.ResponseWriter, delta engine.Delta) {
	e.content.WriteString(delta.Content)
	if delta.Content != "" {
		e.live.add(delta.Content)
	}
	e.toolCalls.add(delta.ToolCalls)
	isPiece := delta.Content != "" || len(delta.ToolCalls) > 0
	if isPiece {
		e.usage.piece()
		e.finish = ""
	}
	if delta.FinishReason != "" {
		e.finish = delta.FinishReason
	}
	if delta.Usage != nil {
		e.usage.tell(*delta.Usage)
	}
	if isPiece {
		e.ensureWriter(w).piece(delta)
	}
}

// commit assembles and stores the answer; only then does the caller get its end.
func (e *chatExecution) commit(ctx context.Context, response coordinator.BeginResponse) (*program.Answer, *coordinator.RetryRequest, error) {
	message, err := engine.NewAssistantMessage(e.content.String(), e.toolCalls.encoded())
	if err != nil {
		return nil, nil, err
	}
	answer := program.Answer{Message: message, FinishReason: e.finish, Model: e.request.Model, Usage: e.usage.usage()}
	return e.store(ctx, response, answer)
}
