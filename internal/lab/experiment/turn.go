package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// simulatedTurn takes one admitted call through placement and its attempts.
type simulatedTurn struct {
	world      *simulation
	request    coordinator.BeginRequest
	call       *program.Call
	prompt     string
	answer     string
	tokens     int
	generated  int
	cached     int
	engine     string
	avoid      []string
	firstToken time.Time
}

// execute makes attempts until the answer is whole, and commits it.
func (t *simulatedTurn) execute(ctx context.Context) *apierr.Error {
	for t.generated < t.tokens {
		decision, failure := t.place(ctx)
		if failure != nil {
			return t.giveUp(failure)
		}
		t.attempt(ctx, decision)
	}
	message, err := engine.NewAssistantMessage(t.answer, nil)
	if err != nil {
		return apierr.New(apierr.Internal, apierr.Ran, "%s", err)
	}
	t.world.execute(program.Command{Complete: &program.Complete{
		CallID: t.call.ID, Program: t.request.Admit.Program, Attempt: t.call.Attempt,
		Answer: program.Answer{Message: message, Usage: program.Usage{Prompt: t.request.PromptTokens, Cached: int64(t.cached), Completion: int64(t.tokens)}},
	}})
	return nil
}

func (t *simulatedTurn) place(ctx context.Context) (scheduler.Decision, *apierr.Error) {
	if t.call.Attempt >= t.world.service.MaxAttempts {
		return scheduler.Decision{}, apierr.New(apierr.EngineFailed, apierr.NotRun, "%d engines failed in a row", t.call.Attempt).WithRetryAfter(time.Second)
	}
	summary, _ := t.world.machine.Summary(t.request.Admit.Program)
	description := coordinator.DescribeCall(t.request, t.call, summary, t.world.service, t.world.clock.Now())
	description.Avoid = t.avoid
	decision, err := t.world.nodeFor(t.request.Admit.Program.Path).scheduler.Place(ctx, description, t.world.pool, t.world.rules)
	if err != nil {
		return decision, apierr.From(err, apierr.NotRun)
	}
	return decision, nil
}

func (t *simulatedTurn) giveUp(failure *apierr.Error) *apierr.Error {
	result := t.world.execute(program.Command{Fail: &program.Fail{CallID: t.call.ID, Program: t.request.Admit.Program, Error: failure}})
	if result.Error != nil {
		return result.Error
	}
	return failure
}

// attempt runs the call at one engine, from the tokens that earlier attempts brought.
func (t *simulatedTurn) attempt(ctx context.Context, decision scheduler.Decision) {
	t.engine = decision.Engine.Name
	result := t.world.execute(program.Command{Dispatch: &program.Dispatch{
		CallID: t.call.ID, Program: t.request.Admit.Program, Attempt: t.call.Attempt + 1, Engine: t.engine, CacheService: serviceName,
	}})
	t.call = result.Call
	text := t.prompt + emulator.RenderMessage("assistant", "") + t.answer[:len(t.answer)*t.generated/t.tokens]
	if t.generated == 0 {
		text = t.prompt
	}
	blocks, tokens := emulator.PromptBlocks(text, t.world.file.Engine.BlockTokens)
	id := fmt.Sprintf("%s/%d", t.call.ID, t.call.Attempt)
	job, reached := t.world.engines[t.engine].submit(emulator.Request{
		ID: id, Program: coordinator.CacheID(t.request.Admit.Program), Blocks: blocks,
		PromptTokens: tokens, OutputTokens: t.tokens - t.generated,
	})
	lost, step := !reached, time.Duration(0)
	if reached {
		lost = t.await(ctx, job)
		step = job.pace.StepTime()
	}
	if reached && lost {
		t.world.engines[t.engine].abandon(id)
	}
	t.world.nodeFor(t.engine).lines.Release(owner.ReleaseRequest{Engine: t.engine, CallID: t.call.ID, Failed: lost, StepMicros: step.Microseconds()})
	if lost {
		t.avoid = append(t.avoid, t.engine)
		t.call = t.world.execute(program.Command{Lose: &program.LoseAttempt{
			CallID: t.call.ID, Program: t.request.Admit.Program, Attempt: t.call.Attempt, Undelivered: !reached,
		}}).Call
	}
}

// await takes the answer's tokens; it reports whether the engine was lost, or stalled, before the last.
func (t *simulatedTurn) await(ctx context.Context, job *simulatedJob) bool {
	stalled := !job.first.Wait(ctx, seconds(t.world.service.FirstTokenSeconds))
	if t.firstToken.IsZero() && job.generated > 0 {
		t.firstToken = t.world.clock.Now()
	}
	done := false
	for !stalled && !done {
		before := job.generated
		done = job.done.Wait(ctx, seconds(t.world.service.StallSeconds))
		stalled = !done && job.generated == before
	}
	t.generated += job.generated
	t.cached = max(t.cached, job.cached)
	return stalled || job.lost
}
