package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// finishLength is the reason of an answer that its token limit has ended.
const finishLength = "length"

// chatExecution takes one model call from its booking to the last byte.
type chatExecution struct {
	gateway  *Gateway
	request  chatRequest
	identity identity
	service  string
	settings *resource.Service
	started  time.Time
	begin    coordinator.BeginRequest
	writer   answerWriter

	// content and toolCalls are the answer so far, over all attempts.
	content   strings.Builder
	toolCalls toolCallMerger
	usage     program.Usage
	finish    string
	avoid     []string
}

func (e *chatExecution) run(w http.ResponseWriter, r *http.Request) {
	limit := time.Duration((e.settings.CallSeconds + e.settings.QueueSeconds) * float64(time.Second))
	ctx, cancel := executionContext(r, e.identity.idempotencyKey, limit)
	defer cancel()
	answer, err := e.execute(ctx, w)
	e.gateway.options.Metrics.duration.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
	if err != nil {
		e.writeFailure(w, err)
		return
	}
	e.count(answer)
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

// execute returns the committed answer.
func (e *chatExecution) execute(ctx context.Context, w http.ResponseWriter) (*program.Answer, error) {
	asked := time.Now()
	response, err := e.book(ctx)
	for {
		if err != nil {
			return nil, err
		}
		if response.Answer != nil {
			e.gateway.options.Metrics.joinedCalls.Inc()
			return response.Answer, nil
		}
		// The call may be one that an earlier request with the same key has begun.
		e.begin.Admit.CallID = response.CallID
		w.Header().Set(HeaderCall, response.CallID)
		answer, retry, failure := e.attempt(ctx, w, response, asked)
		if retry == nil {
			return answer, failure
		}
		asked = time.Now()
		response, err = e.gateway.options.Coordinator.Retry(ctx, *retry)
		if err != nil && ctx.Err() != nil {
			return nil, e.abandon(response.CallID, retry.Attempt)
		}
	}
}

// book admits the call. If the guess about where the new messages begin was wrong, it is made
// again from what is stored.
func (e *chatExecution) book(ctx context.Context) (coordinator.BeginResponse, error) {
	client := e.gateway.options.Coordinator
	stop := context.AfterFunc(ctx, func() { client.Cancel(e.begin.Partition, e.begin.Admit.CallID) })
	defer stop()
	response, err := client.Begin(ctx, e.begin)
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
	response, err = client.Begin(ctx, e.begin)
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
	defer func() { e.release(target, response.CallID, failed) }()
	if e.gateway.options.Pauses.PausedSince(asked) {
		failed = false
		return nil, e.retry(response, true), nil
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

// release gives the place on the engine back and tells its owner whether it worked.
func (e *chatExecution) release(target engine.Target, callID string, failed bool) {
	e.gateway.options.Release(e.engineResource(target), owner.ReleaseRequest{Engine: target.Name, CallID: callID, Failed: failed})
}

func (e *chatExecution) engineResource(target engine.Target) resource.Engine {
	pool, known := e.gateway.options.Config.Current().Set.Pool(target.Pool)
	if known {
		for _, item := range pool.Engines {
			if item.Name == target.Name {
				return item
			}
		}
	}
	return resource.Engine{Name: target.Name, URL: target.URL}
}

// afterFailure decides what a failed attempt means.
func (e *chatExecution) afterFailure(ctx context.Context, response coordinator.BeginResponse, cause error, failed *bool) (*program.Answer, *coordinator.RetryRequest, error) {
	e.gateway.options.Metrics.retries.WithLabelValues(e.service).Inc()
	e.avoid = append(e.avoid, response.Engine.Name)
	var undelivered *engine.ErrUndelivered
	var refused *engine.ErrRefused
	switch {
	case errors.As(cause, &undelivered):
		return nil, e.retry(response, true), nil
	case errors.As(cause, &refused) && !refused.Temporary():
		*failed = false
		failure := apierr.New(apierr.InvalidRequest, apierr.Ran, "%s", refused)
		return nil, nil, e.settleFailure(ctx, response, failure, &program.Usage{})
	case e.toolCalls.begun():
		// A cut-off tool call can't be continued on another engine from the pieces already sent.
		failure := apierr.New(apierr.EngineFailed, apierr.Ran, "%s", cause)
		return nil, nil, e.settleFailure(ctx, response, failure, nil)
	}
	return nil, e.retry(response, false), nil
}

func (e *chatExecution) retry(response coordinator.BeginResponse, undelivered bool) *coordinator.RetryRequest {
	return &coordinator.RetryRequest{Begin: e.begin, Attempt: response.Attempt, Undelivered: undelivered, Avoid: e.avoid}
}

// stream passes an engine's answer on, all but its end.
func (e *chatExecution) stream(ctx context.Context, w http.ResponseWriter, target engine.Target, response coordinator.BeginResponse) error {
	resumed := e.content.Len() > 0
	if resumed && e.usage.Completion >= e.request.MaxTokens {
		// Only the end of the answer was lost.
		e.finish = finishLength
		return nil
	}
	chat := engine.ChatRequest{
		Model:      e.request.Model,
		Messages:   append(response.History, e.request.Messages...),
		MaxTokens:  e.request.MaxTokens - e.usage.Completion,
		Partial:    e.content.String(),
		Parameters: e.request.Parameters,
		Program:    coordinator.CacheID(e.identity.key),
		CallID:     response.CallID,
		Attempt:    response.Attempt,
	}
	pieces, err := e.gateway.options.Models.Chat(ctx, target, chat)
	if err != nil {
		return err
	}
	defer pieces.Close()
	if resumed {
		e.gateway.options.Logger.Emit(events.EngineResumed, events.F("call", response.CallID), events.F("engine", target.Name))
	}
	received := int64(0)
	for {
		delta, err := pieces.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			// Each piece of a cut-off attempt counts for one token at least.
			e.usage.Completion += received
			return err
		}
		if delta.Content != "" || len(delta.ToolCalls) > 0 {
			received++
			if e.writer == nil {
				e.gateway.options.Metrics.firstToken.WithLabelValues(e.service).Observe(time.Since(e.started).Seconds())
			}
		}
		e.take(w, delta)
	}
}

// take adds a piece to the answer and passes it on.
func (e *chatExecution) take(w http.ResponseWriter, delta engine.Delta) {
	e.content.WriteString(delta.Content)
	e.toolCalls.add(delta.ToolCalls)
	if delta.FinishReason != "" {
		e.finish = delta.FinishReason
	}
	if delta.Usage != nil {
		e.usage.Prompt = delta.Usage.Prompt
		e.usage.Cached = delta.Usage.Cached
		e.usage.Completion += delta.Usage.Completion
	}
	if delta.Content != "" || len(delta.ToolCalls) > 0 {
		e.ensureWriter(w).piece(delta)
	}
}

// commit assembles and stores the answer; only then does the caller get its end.
func (e *chatExecution) commit(ctx context.Context, response coordinator.BeginResponse) (*program.Answer, *coordinator.RetryRequest, error) {
	message, err := engine.NewAssistantMessage(e.content.String(), e.toolCalls.encoded())
	if err != nil {
		return nil, nil, err
	}
	answer := program.Answer{Message: message, FinishReason: e.finish, Model: e.request.Model, Usage: e.usage}
	return e.store(ctx, response, answer)
}

// store commits an answer.
func (e *chatExecution) store(ctx context.Context, response coordinator.BeginResponse, answer program.Answer) (*program.Answer, *coordinator.RetryRequest, error) {
	if answer.Usage.Total() > e.begin.Admit.Reserve {
		e.gateway.options.Logger.Emit(events.BudgetOverrun, events.F("call", response.CallID), events.F("tokens", answer.Usage.Total()))
	}
	result, err := e.gateway.options.Coordinator.Finish(context.WithoutCancel(ctx), coordinator.FinishRequest{
		Partition: e.begin.Partition,
		Complete:  program.Complete{CallID: response.CallID, Program: e.identity.key, Attempt: response.Attempt, Answer: answer},
	})
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
func (e *chatExecution) settleFailure(ctx context.Context, response coordinator.BeginResponse, failure *apierr.Error, usage *program.Usage) error {
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
func (e *chatExecution) abandon(callID string, attempt int) error {
	failure := apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the call was given up before its answer was whole")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.CallSeconds*float64(time.Second)))
	defer cancel()
	return e.settleFailure(ctx, coordinator.BeginResponse{CallID: callID, Attempt: attempt}, failure, nil)
}

// toolCallMerger assembles streamed tool calls.
type toolCallMerger struct {
	calls []toolCall
}

type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

func (m *toolCallMerger) begun() bool { return len(m.calls) > 0 }

// maxToolCalls bounds what an engine can make a node hold.
const maxToolCalls = 128

func (m *toolCallMerger) add(raw json.RawMessage) {
	var pieces []toolCall
	if len(raw) == 0 || json.Unmarshal(raw, &pieces) != nil {
		return
	}
	for _, piece := range pieces {
		index := len(m.calls)
		if piece.Index != nil {
			index = *piece.Index
		}
		if index < 0 || index >= maxToolCalls {
			continue
		}
		for len(m.calls) <= index {
			m.calls = append(m.calls, toolCall{Type: "function"})
		}
		merged := &m.calls[index]
		merged.ID += piece.ID
		merged.Function.Name += piece.Function.Name
		merged.Function.Arguments += piece.Function.Arguments
	}
}

func (m *toolCallMerger) encoded() json.RawMessage {
	if len(m.calls) == 0 {
		return nil
	}
	encoded, err := json.Marshal(m.calls)
	if err != nil {
		return nil
	}
	return encoded
}
